// Controls the page: switches views, asks for the token and refreshes the data regularly.

import { readCluster, token } from "./api.js";
import { pending, startChange } from "./change.js";
import { button, card, durationText, el } from "./dom.js";
import { customers, jobs, overview, workers } from "./views.js";

const REFRESH_MS = 3000;
const VIEWS = { overview, customers, jobs, workers };

const view = document.getElementById("view");
const tabs = document.getElementById("tabs");
const summary = document.getElementById("summary");

let data = null;
let problem = "";

function currentView() {
  const [name, argument] = location.hash.slice(1).split("/");
  return { name: name || "overview", argument: decodeURIComponent(argument ?? "") };
}

function renderTabs(name) {
  tabs.hidden = false;
  tabs.replaceChildren(...Object.keys(VIEWS).map((key) => el("a", {
    href: `#${key}`, "aria-current": key === name ? "page" : null,
  }, key[0].toUpperCase() + key.slice(1))));
}

function renderSummary() {
  if (problem) {
    summary.className = "bad";
    summary.textContent = problem;
  } else if (data) {
    summary.className = "";
    summary.textContent = `revision ${data.status.revision}, read ${durationText(Date.now() - data.at)} ago`;
  }
}

function showSignIn(message) {
  tabs.hidden = true;
  const field = el("input", { type: "password", autocomplete: "off", "aria-label": "Operator's token", required: true });
  const form = el("form", {
    onsubmit: (event) => {
      event.preventDefault();
      token.set(field.value);
      start();
    },
  }, el("label", {}, field), el("button", { class: "main" }, "Sign in"));
  view.replaceChildren(card(el("h3", {}, "Operator's token"),
    el("p", { class: "faint" }, "It stays in this tab and is forgotten when the tab closes."),
    message ? el("p", { class: "bad" }, message) : null, form));
}

/** Returns whether the view has an open detail or a pending confirmation that a refresh would discard. */
function isBusy() {
  return [...view.querySelectorAll("[data-key]")].some((element) =>
    element.open || element.querySelector("button.main"));
}

function render() {
  const { name, argument } = currentView();
  const show = VIEWS[name];
  renderTabs(show ? name : "customers");
  if (!data) return;
  if (show) {
    view.replaceChildren(...show(data).flat(Infinity));
  } else if (name === "change") {
    startChange(view, argument, data.templates);
  }
}

async function refresh() {
  const answer = await readCluster();
  if (answer.kind === "token") {
    token.clear();
    showSignIn(answer.body.detail);
    return false;
  }
  problem = answer.kind === "done" ? "" : answer.body.detail;
  if (answer.kind === "done") data = answer.body;
  renderSummary();
  return true;
}

async function keepFresh() {
  const isShown = () => token.get() && document.visibilityState === "visible" && VIEWS[currentView().name];
  if (isShown() && (await refresh()) && VIEWS[currentView().name] && !isBusy()) render();
  setTimeout(keepFresh, REFRESH_MS);
}

async function start() {
  if (!token.get()) {
    showSignIn("");
    return;
  }
  view.replaceChildren(card(el("p", {}, "Reading\u2026")));
  if (!(await refresh())) return;
  if (!data) {
    view.replaceChildren(card(el("p", { class: "bad" }, problem)), button("Try again", start, "main"));
    return;
  }
  const sent = pending.get();
  if (sent) location.hash = `#change/${encodeURIComponent(sent.template.customer)}`;
  render();
}

addEventListener("hashchange", () => { scrollTo(0, 0); render(); });
setInterval(renderSummary, 1000);
start();
setTimeout(keepFresh, REFRESH_MS);
