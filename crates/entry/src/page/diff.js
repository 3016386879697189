// Computes the differences between templates.

/** Returns the leaves of a value as a map from their paths, encoded as JSON arrays, to their values. */
export function leaves(value, path = [], result = new Map()) {
  if (value !== null && typeof value === "object") {
    for (const [name, child] of Object.entries(value)) {
      const key = Array.isArray(value) ? Number(name) : name;
      leaves(child, [...path, key], result);
    }
  } else {
    result.set(JSON.stringify(path), value);
  }
  return result;
}

/** Returns `{ path, before, after }` for each leaf that differs. A missing leaf is undefined. */
export function differences(before, after) {
  const old = leaves(before ?? {});
  const now = leaves(after ?? {});
  const paths = new Set([...old.keys(), ...now.keys()]);
  return [...paths]
    .filter((path) => old.get(path) !== now.get(path))
    .map((path) => ({ path: JSON.parse(path), before: old.get(path), after: now.get(path) }));
}

/** Returns a copy of a value with one leaf set. */
export function withLeaf(value, path, leaf) {
  if (path.length === 0) return leaf;
  const copy = Array.isArray(value) ? [...value] : { ...value };
  copy[path[0]] = withLeaf(value?.[path[0]], path.slice(1), leaf);
  return copy;
}

/** Returns whether a value has a leaf at a path. */
export function hasLeaf(value, path) {
  return leaves(value).has(JSON.stringify(path));
}

/** Returns a path as text for the operator. */
export function pathText(path) {
  return path
    .map((part) => (typeof part === "number" ? String(part + 1) : part.replaceAll("_", " ")))
    .join(" \u203a ");
}
