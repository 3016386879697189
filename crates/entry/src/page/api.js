// Calls the HTTP interface of the entry that served the page.

const TOKEN_KEY = "roseridge-token";
const CALL_TIMEOUT_MS = 10000;

export const token = {
  get: () => sessionStorage.getItem(TOKEN_KEY) ?? "",
  set: (text) => sessionStorage.setItem(TOKEN_KEY, text),
  clear: () => sessionStorage.removeItem(TOKEN_KEY),
};

/**
 * Calls the entry and returns `{ kind, body }`. The kind is "done", "token" (the token was refused),
 * "refused" (the call had no effect; the body is the problem) or "lost" (it is unknown whether the
 * call had an effect).
 */
export async function call(method, path, body) {
  const controller = new AbortController();
  const timer = setTimeout(() => controller.abort(), CALL_TIMEOUT_MS);
  try {
    const response = await fetch(path, {
      method,
      headers: { authorization: `Bearer ${token.get()}` },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: controller.signal,
      cache: "no-store",
    });
    const answer = await response.json();
    if (response.ok) return { kind: "done", body: answer };
    if (response.status === 401) return { kind: "token", body: answer };
    return { kind: answer.not_run || method === "GET" ? "refused" : "lost", body: answer };
  } catch (error) {
    return { kind: "lost", body: { type: "lost", detail: "no answer from the entry" } };
  } finally {
    clearTimeout(timer);
  }
}

/** Returns a new random request id. */
export function requestId() {
  const bytes = crypto.getRandomValues(new Uint8Array(12));
  return "page-" + Array.from(bytes, (byte) => byte.toString(16).padStart(2, "0")).join("");
}

/** Reads all data that the views display. Returns the first failed answer if there is one. */
export async function readCluster() {
  const paths = ["/v1/status", "/v1/templates", "/v1/jobs", "/v1/workers", "/v1/policy", "/v1/rollout"];
  const answers = await Promise.all(paths.map((path) => call("GET", path)));
  const failed = answers.find((answer) => answer.kind !== "done");
  if (failed) return failed;
  const [status, templates, jobs, workers, policy, rollout] = answers.map((answer) => answer.body);
  for (const { worker, until } of policy.quarantined) {
    const quarantined = workers.find((w) => w.worker === worker);
    if (quarantined) quarantined.quarantineState = until > Date.now() ? "quarantined" : "being probed";
  }
  return { kind: "done", body: { status, templates, jobs, workers, policy, rollout, at: Date.now() } };
}
