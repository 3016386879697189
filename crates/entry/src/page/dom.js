// Creates the elements of the page. All text is inserted as text nodes, so that names are never
// interpreted as markup.

/** Creates an element with attributes, event listeners (such as `onclick`) and children. */
export function el(tag, attributes, ...children) {
  const element = document.createElement(tag);
  for (const [name, value] of Object.entries(attributes ?? {})) {
    if (name.startsWith("on")) {
      element.addEventListener(name.slice(2), value);
    } else if (value === true) {
      element.setAttribute(name, "");
    } else if (value !== false && value !== null && value !== undefined) {
      element.setAttribute(name, String(value));
    }
  }
  element.append(...children.flat(Infinity).filter((child) => child !== null && child !== undefined));
  return element;
}

/** Creates a card, the box that groups related lines. */
export function card(...children) {
  return el("section", { class: "card" }, ...children);
}

/** Creates a line with a label on the left and a value on the right. */
export function row(label, value, kind) {
  return el("div", { class: "row" }, el("span", { class: "faint" }, label),
    el("span", { class: kind ?? "" }, String(value)));
}

/** Creates a button that is disabled while its action runs. */
export function button(label, action, kind) {
  const element = el("button", { type: "button", class: kind ?? "" }, label);
  element.addEventListener("click", async () => {
    element.disabled = true;
    try {
      await action();
    } finally {
      element.disabled = false;
    }
  });
  return element;
}

/** Returns a duration in milliseconds as text in its largest units. */
export function durationText(ms) {
  const s = Math.max(0, Math.round(ms / 1000));
  if (s < 60) return `${s} s`;
  if (s < 3600) return `${Math.floor(s / 60)} min`;
  if (s < 86400) return `${Math.floor(s / 3600)} h ${Math.floor((s % 3600) / 60)} min`;
  return `${Math.floor(s / 86400)} d ${Math.floor((s % 86400) / 3600)} h`;
}
