// Changes a customer's template: edit, review, confirm, and track the rollout.

import { call, requestId } from "./api.js";
import { differences, hasLeaf, leaves, pathText, withLeaf } from "./diff.js";
import { button, card, durationText, el, row } from "./dom.js";

const PENDING_KEY = "roseridge-pending-change";
const FOLLOW_INTERVAL_MS = 1000;
const CHOICES = {
  adjacency: ["worker", "rack", "domain", "any"],
  urgency: ["bulk", "normal", "urgent"],
  reserve: ["worker", "domain"],
};

/** The change that was sent and is neither accepted nor refused yet. It is stored so that it survives a page reload. */
export const pending = {
  get: () => JSON.parse(sessionStorage.getItem(PENDING_KEY) ?? "null"),
  set: (change) => sessionStorage.setItem(PENDING_KEY, JSON.stringify(change)),
  clear: () => sessionStorage.removeItem(PENDING_KEY),
};

/**
 * Starts a change of one customer's template. The change has its own container, so that an answer
 * which arrives after the operator has switched views does not modify the new view. If an earlier
 * change is still pending, it is shown instead.
 */
export function startChange(view, customer, known) {
  const container = el("div", {});
  view.replaceChildren(container);
  const sent = pending.get();
  if (sent) {
    showLostAnswer(container, null, sent, `The change of ${sent.template.customer} was sent and its answer was not seen.`);
    return;
  }
  const base = known.templates.find((template) => template.customer === customer);
  if (!base) {
    container.replaceChildren(card(el("p", { class: "bad" }, `There is no template of ${customer}.`)));
    return;
  }
  showEditor(container, { base, revision: known.revision, known, edited: base });
}

/** Shows the form for editing a template. */
function showEditor(container, draft) {
  let edited = draft.edited;
  const groups = new Map();
  for (const [key, value] of leaves(draft.edited)) {
    const path = JSON.parse(key);
    if (path[0] === "customer") continue;
    const depth = path[0] === "guaranteed" || path[0] === "classes" ? 2 : 0;
    const title = groupTitle(path);
    const hint = el("small", { class: "faint" }, hintText(path, value));
    const field = input(path, value, (leaf) => {
      edited = withLeaf(edited, path, leaf);
      hint.textContent = hintText(path, leaf);
    });
    const name = el("span", {}, pathText(path.slice(depth)), hint);
    groups.set(title, [...(groups.get(title) ?? []), el("label", {}, name, field)]);
  }
  const titleOrder = ["Limits", "Guaranteed", "Class"];
  const rank = (title) => titleOrder.indexOf(title.split(" ")[0]);
  const sortedGroups = [...groups].sort(([a], [b]) => rank(a) - rank(b));
  const form = el("form", { onsubmit: (event) => event.preventDefault() },
    sortedGroups.map(([title, lines]) => card(
      el("details", { open: rank(title) < 2 }, el("summary", {}, el("h3", {}, title)), lines))));
  container.replaceChildren(
    el("h2", {}, `Change ${draft.base.customer}`),
    el("p", { class: "faint" }, `Against revision ${draft.revision}`),
    form,
    button("Review the change", () => {
      if (form.reportValidity()) return showReview(container, { ...draft, edited });
      return undefined;
    }, "main"),
    button("Back", showCustomers),
  );
  scrollTo(0, 0);
}

function groupTitle(path) {
  if (path[0] === "guaranteed") return `Guaranteed shape ${path[1] + 1}`;
  return path[0] === "classes" ? `Class ${path[1]}` : "Limits";
}

/** Returns a duration of at least one second in larger units, or an empty text for other values. */
function hintText(path, value) {
  const isTime = String(path.at(-1)).endsWith("_ms") && Number.isFinite(value) && value >= 1000;
  return isTime ? durationText(value) : "";
}

function input(path, value, set) {
  const choices = CHOICES[path.at(-1)];
  if (typeof value === "boolean") {
    return el("input", { type: "checkbox", checked: value, onchange: (e) => set(e.target.checked) });
  }
  if (choices) {
    const options = choices.map((c) => el("option", { value: c, selected: c === value }, c));
    return el("select", { onchange: (e) => set(e.target.value) }, options);
  }
  if (typeof value === "number") {
    return el("input", {
      type: "number", inputmode: "numeric", min: 0, step: 1, required: true, value,
      oninput: (e) => { if (e.target.validity.valid) set(e.target.valueAsNumber); },
    });
  }
  return el("input", { type: "text", value: value ?? "", readonly: true });
}

function differenceList(before, after) {
  const changes = differences(before, after);
  return el("ul", {}, changes.map((change) => el("li", {},
    el("span", {}, pathText(change.path)),
    change.before === undefined ? null : el("span", { class: "old" }, String(change.before)),
    change.after === undefined ? null : el("span", { class: "new" }, String(change.after)))));
}

/** Shows the differences and the effect of an edited template, and asks for confirmation. */
async function showReview(container, draft) {
  if (differences(draft.base, draft.edited).length === 0) {
    container.replaceChildren(card(el("p", {}, "Nothing differs from the version in force.")),
      button("Edit", () => showEditor(container, draft)), button("Back", showCustomers));
    return;
  }
  const change = { request: requestId(), base: draft.revision, template: draft.edited };
  const effect = el("div", {}, el("p", { class: "faint" }, "Asking for the effect\u2026"));
  container.replaceChildren(
    el("h2", {}, `Review: ${draft.base.customer}`),
    card(el("h3", {}, "Difference"), differenceList(draft.base, draft.edited)),
    card(el("h3", {}, "Effect"), effect),
    button("Confirm the change", () => send(container, draft, change), "main"),
    button("Edit", () => showEditor(container, draft)),
    button("Back", showCustomers),
  );
  scrollTo(0, 0);
  await showEffect(effect, change);
}

async function showEffect(effect, change) {
  const answer = await call("POST", "/v1/template-checks", change);
  if (answer.kind !== "done") {
    effect.replaceChildren(el("p", { class: "bad" }, `The effect is not known: ${answer.body.detail}`));
    return;
  }
  effect.replaceChildren(...answer.body.lines.map((line) => el("p", { class: line.kind }, line.text)));
}

async function send(container, draft, change) {
  pending.set(change);
  container.replaceChildren(card(el("p", { role: "status" }, "Sending\u2026")));
  const answer = await call("POST", "/v1/templates", change);
  if (answer.kind === "done") {
    pending.clear();
    await showRollout(container, change, answer.body.revision);
  } else if (answer.kind === "lost") {
    showLostAnswer(container, draft, change, answer.body.detail);
  } else if (answer.body.type === "/problems/revision-conflict") {
    pending.clear();
    await showConflict(container, draft);
  } else if (answer.body.type === "/problems/no-leader" || answer.kind === "token") {
    showLostAnswer(container, draft, change, `Nothing was done: ${answer.body.detail}`);
  } else {
    pending.clear();
    showRefusal(container, draft, answer.body.detail);
  }
}

function showRefusal(container, draft, detail) {
  container.replaceChildren(
    card(el("h3", { class: "bad" }, "Refused, nothing was changed"), el("p", {}, detail)),
    ...(draft ? [button("Edit", () => showEditor(container, draft), "main")] : []),
    button("Back", showCustomers),
  );
}

/** Offers to resend a change whose answer was lost or that was not carried out. */
function showLostAnswer(container, draft, change, detail) {
  container.replaceChildren(
    card(
      el("h3", { class: "warn" }, "No answer"),
      el("p", {}, detail),
      el("p", {}, "It may or may not be in force. A resend carries the same request id, so that the change is made once at most."),
      row("Request", change.request),
    ),
    button("Resend the same request", () => send(container, draft, change), "main"),
    button("Forget it", () => { pending.clear(); showCustomers(); }),
  );
}

/** Shows the conflicting changes of another operator and offers to reapply this change to them. */
async function showConflict(container, draft) {
  const answer = await call("GET", "/v1/templates");
  if (answer.kind !== "done" || !draft) {
    showRefusal(container, draft, "Another change was made first. Look at the version in force before you change it.");
    return;
  }
  const known = answer.body;
  const others = known.templates
    .map((now) => [now, draft.known.templates.find((t) => t.customer === now.customer)])
    .filter(([now, before]) => differences(before, now).length > 0);
  const base = known.templates.find((t) => t.customer === draft.base.customer);
  const reapply = () => {
    const applicable = differences(draft.base, draft.edited).filter((d) => hasLeaf(base, d.path));
    const edited = applicable.reduce((value, d) => withLeaf(value, d.path, d.after), base);
    return showReview(container, { base, revision: known.revision, known, edited });
  };
  container.replaceChildren(
    card(el("h3", { class: "warn" }, "Another operator was first"),
      el("p", {}, `Your change was made against revision ${draft.revision}; revision ${known.revision} is in force. Nothing of yours was changed.`)),
    ...others.map(([now, before]) => card(el("h3", {}, `Their change of ${now.customer}`), differenceList(before, now))),
    card(el("h3", {}, "Your change"), differenceList(draft.base, draft.edited)),
    button("Make my change on top of theirs", reapply, "main"),
    button("Back", showCustomers),
  );
  scrollTo(0, 0);
}

/** Shows the rollout of the revision until it is in force everywhere. */
async function showRollout(container, change, revision) {
  const progress = el("div", {});
  container.replaceChildren(
    card(el("h3", { class: "good" }, `Revision ${revision} is accepted`),
      el("p", {}, `The change of ${change.template.customer} can't be lost any more.`), progress),
    button("Done", showCustomers, "main"),
  );
  while (progress.isConnected) {
    const answer = await call("GET", "/v1/rollout");
    if (answer.kind === "done") {
      const behind = answer.body.places.filter((place) => place.revision < revision);
      const total = answer.body.places.length;
      progress.replaceChildren(
        row("In force at", `${total - behind.length} of ${total}`),
        ...behind.slice(0, 10).map((place) => row(place.name, `revision ${place.revision}`, "warn")),
        ...(total > 0 && behind.length === 0 ? [el("p", { class: "good" }, "In force everywhere")] : []),
      );
      if (total > 0 && behind.length === 0) return;
    }
    await new Promise((done) => setTimeout(done, FOLLOW_INTERVAL_MS));
  }
}

function showCustomers() {
  location.hash = "#customers";
  dispatchEvent(new HashChangeEvent("hashchange"));
}
