// The views of the cluster's state.

import { button, card, durationText, el, row } from "./dom.js";
import { call, requestId } from "./api.js";

const MAX_ENDED_SHOWN = 20;

function shapeText(shape) {
  const { cores, memory_mib, accelerators } = shape.member;
  const memory = memory_mib >= 1024 ? `${Math.round(memory_mib / 1024)} GiB` : `${memory_mib} MiB`;
  return `${shape.members} \u00d7 (${accelerators} accelerators, ${cores} cores, ${memory}), adjacency ${shape.adjacency}`;
}

/** Returns the state of a worker and its severity. */
export function workerState(worker) {
  if (!worker.live) return { text: "lost", kind: "bad" };
  if (worker.quarantineState) return { text: worker.quarantineState, kind: "bad" };
  if (worker.leaving) return { text: "leaving", kind: "warn" };
  if (worker.drained) return { text: "drained", kind: "warn" };
  return { text: "live", kind: "good" };
}

const isInDoubt = (worker) => workerState(worker).kind !== "good";
const isOpen = (job) => ["waiting", "preparing", "running", "stopping"].includes(job.state);
const jobSeverity = (job) => ({ waiting: "warn", failed: "bad", unknown: "bad" })[job.state] ?? "good";

/** The start view: the configuration, the control group, workers in doubt and the jobs that have waited longest. */
export function overview(data) {
  const { status, workers, jobs, policy, rollout } = data;
  const behind = rollout.places.filter((place) => place.revision < rollout.revision);
  const oldest = Math.max(0, ...rollout.places.map((place) => place.age));
  const inDoubt = workers.filter(isInDoubt);
  const waiting = jobs.filter((job) => job.state === "waiting").sort((a, b) => a.accepted - b.accepted);
  return [
    card(
      row("Configuration in force", `revision ${status.revision}`),
      row("Arrived at", `${rollout.places.length - behind.length} of ${rollout.places.length}`, behind.length ? "warn" : "good"),
      row("Oldest sign of it", `${durationText(oldest)} ago`),
      row("Guarantees not kept", policy.degraded.length, policy.degraded.length ? "bad" : "good"),
      row("Jobs waiting", status.waiting),
      row("Jobs holding places", status.placed),
      row("Workers live", `${workers.filter((w) => w.live).length} of ${workers.length}`),
    ),
    el("h2", {}, "Control replicas"),
    card(el("ul", {}, status.replicas.map((replica) => replicaLine(replica, status)))),
    el("h2", {}, "Workers in doubt"),
    inDoubt.length === 0 ? card(el("p", { class: "good" }, "None")) : inDoubt.map(workerCard),
    el("h2", {}, "Waiting longest"),
    waiting.length === 0 ? card(el("p", { class: "good" }, "Nothing waits")) : waiting.slice(0, 5).map(jobCard),
  ];
}

function replicaLine(replica, status) {
  const behind = Math.max(0, status.commit - replica.matched);
  const [text, kind] = replica.replica === status.leader
    ? ["leader", "good"]
    : behind === 0 ? ["up to date", "good"] : [`${behind} behind`, "warn"];
  return el("li", {},
    el("div", { class: "row" }, el("h3", {}, `Replica ${replica.replica}`), el("span", { class: `tag ${kind}` }, text)),
    el("p", { class: "faint" }, replica.address),
  );
}

/** The customers with their guarantees and their current jobs. */
export function customers(data) {
  return data.templates.templates.map((template) => {
    const degraded = data.policy.degraded.filter((guarantee) => guarantee.customer === template.customer);
    const own = data.jobs.filter((job) => job.customer === template.customer);
    const count = (states) => own.filter((job) => states.includes(job.state)).length;
    const classes = Object.keys(template.classes).join(", ");
    return card(
      el("h3", {}, template.customer),
      el("p", { class: "faint" }, "Guaranteed"),
      el("ul", {}, template.guaranteed.map((shape) => el("li", {}, shapeText(shape)))),
      degraded.map((guarantee) => el("p", { class: "bad" }, `Shape ${guarantee.shape + 1} can't be kept now`)),
      row("Running", count(["preparing", "running", "stopping"])),
      row("Waiting", `${count(["waiting"])} of at most ${template.queue_limit}`),
      row("Kept in rank", template.degrade_rank),
      row("Classes", classes),
      button("Change", () => { location.hash = `#change/${encodeURIComponent(template.customer)}`; }),
    );
  });
}

/** The waiting jobs, the placed jobs and the most recently ended jobs. */
export function jobs(data) {
  const group = (title, shown) => [
    el("h2", {}, `${title} (${shown.length})`),
    shown.length === 0 ? card(el("p", { class: "faint" }, "None")) : shown.map(jobCard),
  ];
  const waiting = data.jobs.filter((job) => job.state === "waiting").sort((a, b) => a.accepted - b.accepted);
  const placed = data.jobs.filter((job) => isOpen(job) && job.state !== "waiting");
  const ended = data.jobs.filter((job) => !isOpen(job)).slice(0, MAX_ENDED_SHOWN);
  return [...group("Waiting", waiting), ...group("Holding places", placed), ...group("Ended lately", ended)];
}

function jobCard(job) {
  const now = Date.now();
  const times = {
    waiting: `for ${durationText(now - job.accepted)}`,
    running: `for ${durationText(now - (job.first_start ?? now))}`,
  };
  const explanation = el("p", {});
  const details = el("details", { "data-key": `job-${job.job}` },
    el("summary", {}, el("span", { class: "faint" }, times[job.state] ?? "More")),
    row("Key", job.key),
    row("Accepted", new Date(job.accepted).toLocaleString()),
    row("Attempts", job.attempts),
    row("Workers", job.workers.join(", ") || "none"),
    explanation,
  );
  details.addEventListener("toggle", () => { if (details.open) explain(job, explanation); });
  return card(
    el("div", { class: "row" }, el("h3", {}, `${job.job} \u00b7 ${job.customer} \u00b7 ${job.class}`),
      el("span", { class: `tag ${jobSeverity(job)}` }, job.state)),
    details,
  );
}

async function explain(job, explanation) {
  const answer = await call("GET", `/v1/jobs/${job.job}/explain`);
  explanation.textContent = answer.kind === "done" ? answer.body.text : "";
}

/** The workers, with those in doubt first. */
export function workers(data) {
  const sorted = [...data.workers].sort((a, b) => Number(isInDoubt(b)) - Number(isInDoubt(a)));
  return sorted.map(workerCard);
}

function workerCard(worker) {
  const { text, kind } = workerState(worker);
  const message = el("p", { class: "faint", role: "status" });
  return card(
    el("div", { class: "row" }, el("h3", {}, worker.worker), el("span", { class: `tag ${kind}` }, text)),
    el("p", { class: "faint" }, `${worker.shape.domain} \u00b7 ${worker.shape.rack}`),
    row("Tasks", worker.tasks.length),
    row("Accelerators free", `${worker.free_accelerators} of ${worker.shape.total.accelerators}`),
    drainControl(worker, message),
    message,
  );
}

/**
 * Creates the button that drains a worker or undoes the drain, after a confirmation. If the answer is
 * lost, the request can be resent with the same request id.
 */
function drainControl(worker, message) {
  const drained = !worker.drained;
  const request = requestId();
  const container = el("div", { "data-key": `drain-${worker.worker}` });
  const showConfirmation = () => container.replaceChildren(
    button(drained ? `Confirm: no new work for ${worker.worker}` : `Confirm: open ${worker.worker}`, send, "main"));
  const send = async () => {
    message.textContent = "Sending\u2026";
    const answer = await call("POST", "/v1/drains", { request, worker: worker.worker, drained });
    if (answer.kind === "done") {
      message.textContent = drained ? "It receives no new work." : "It receives new work.";
      container.replaceChildren();
    } else if (answer.kind === "lost") {
      message.textContent = `Not known whether it took effect: ${answer.body.detail}`;
      container.replaceChildren(button("Resend the same request", send, "main"));
    } else {
      message.textContent = `Nothing was done: ${answer.body.detail}`;
    }
  };
  container.replaceChildren(button(drained ? "Drain" : "Undo the drain", showConfirmation));
  return container;
}
