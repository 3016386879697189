//! Jobs that run through entries, an agent and a fake backend server, over real sockets.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use hyper::Method;
use roseridge_fake::FakePayload;
use roseridge_model::answer::MAX_ANSWER_BYTES;
use roseridge_testutils::cases;
use serde_json::{
    Value,
    json, //
};

use crate::{
    entry_fixture::{
        EntryFixture,
        TestReply,
        run,
        send_keyed, //
    },
    worker_fixture::WorkerFixture, //
};

/// The run time of a task that does not complete during a test, in milliseconds.
const LONG_RUN_MS: u64 = 600_000;
const SHORT_RUN_MS: u64 = 50;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 600;

fn body(class: &str, run_ms: u64, answer: &str) -> String {
    let payload = FakePayload {
        run_ms,
        answer: answer.to_owned(),
        fail: None,
    };
    let gang = json!({"members": 1, "member": {"cores": 1, "memory_mib": 1, "accelerators": 1}});
    json!({"class": class, "gang": gang, "payload": payload.to_text()}).to_string()
}

async fn submit(to: SocketAddr, key: &str, body: String) -> TestReply {
    let path = "/v1/jobs?wait_ms=30000";
    send_keyed(to, Method::POST, path, "tuglink-token", (key, Some(body))).await
}

async fn request(to: SocketAddr, method: Method, path: &str) -> TestReply {
    send_keyed(to, method, path, "tuglink-token", ("", None)).await
}

fn parsed(reply: &TestReply) -> Value {
    serde_json::from_str(&reply.body).expect("a JSON body")
}

/// Submits a job, waits until it is in a state and returns its path.
async fn submit_until(entry: &EntryFixture, key: &str, body: String, state: &str) -> String {
    let token = "tuglink-token";
    let callers = entry.callers;
    let reply = send_keyed(callers, Method::POST, "/v1/jobs", token, (key, Some(body))).await;
    assert_eq!(reply.status, 202, "{}", reply.body);
    let path = reply.headers["location"]
        .to_str()
        .expect("a path")
        .to_owned();
    wait_for_state(callers, &path, state).await;
    path
}

async fn wait_for_state(callers: SocketAddr, path: &str, state: &str) {
    let mut last_body = String::new();
    for _ in 0..MAX_POLLS {
        last_body = request(callers, Method::GET, path).await.body;
        if last_body.contains(state) {
            return;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("{path} returned {last_body}, expected {state}");
}

/// The answer must be available at every entry, and the agent must switch to another relay when its
/// entry stops, without starting a task twice.
#[test]
fn every_entry_returns_the_whole_answer_and_the_task_starts_once() {
    run(async {
        let first = EntryFixture::start().await;
        first.wait_for_text("/readyz", "ready").await;
        let second = first.start_without_replica().await;
        let worker = WorkerFixture::start(&[second.internal, first.internal]).await;
        let done = submit(
            second.callers,
            "one",
            body("tug-assignment", SHORT_RUN_MS, "gate B4"),
        )
        .await;
        assert_eq!(done.status, 200, "{}", done.body);
        assert_eq!(parsed(&done)["answers"][0]["text"], "gate B4");
        let path = format!("/v1/jobs/{}", parsed(&done)["job"]);
        let reread = request(first.callers, Method::GET, &path).await;
        assert_eq!(parsed(&reread), parsed(&done));
        // The agent loses its relay and attaches to the other one.
        second.finish().await;
        let other = submit(
            first.callers,
            "two",
            body("tug-assignment", SHORT_RUN_MS, "gate B5"),
        )
        .await;
        assert_eq!(
            parsed(&other)["answers"][0]["text"],
            "gate B5",
            "{}",
            other.body
        );
        worker.stop.stop();
        assert_eq!(worker.wait_for_stop().await, [1, 1]);
        first.finish().await;
    });
}

#[test]
fn answer_over_the_limit_fails_the_job() {
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let worker = WorkerFixture::start(&[entry.internal]).await;
        let long = "x".repeat(MAX_ANSWER_BYTES + 1);
        let reply = submit(
            entry.callers,
            "long",
            body("tug-assignment", SHORT_RUN_MS, &long),
        )
        .await;
        assert_eq!(reply.status, 422, "{}", reply.body);
        assert!(reply.body.contains("over the limit"), "{}", reply.body);
        worker.stop.stop();
        assert_eq!(worker.wait_for_stop().await, [1]);
        entry.finish().await;
    });
}

/// Checks that a stopping agent waits for a short task to complete and checkpoints a long one.
fn check_leaving((class, run_ms, state, checkpoints): (&'static str, u64, &'static str, usize)) {
    run(async move {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let worker = WorkerFixture::start(&[entry.internal]).await;
        let job = body(class, run_ms, "whole");
        let path = submit_until(&entry, "leaving", job, "\"running\"").await;
        worker.stop.stop();
        wait_for_state(entry.callers, &path, state).await;
        assert_eq!(worker.backend.checkpoint_counts().len(), checkpoints);
        assert_eq!(worker.wait_for_stop().await, [1]);
        entry.finish().await;
    });
}

cases! {
    check_leaving:
    leaving_agent_waits_for_a_short_task = ("tug-assignment", 1_000, "\"done\"", 0),
    leaving_agent_checkpoints_a_long_task = ("study", LONG_RUN_MS, "\"waiting\"", 1),
}

#[test]
fn leaving_backend_server_gets_no_new_work() {
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let worker = WorkerFixture::start(&[entry.internal]).await;
        let first = submit(
            entry.callers,
            "one",
            body("tug-assignment", SHORT_RUN_MS, "one"),
        )
        .await;
        assert_eq!(first.status, 200, "{}", first.body);
        worker.backend.leave();
        entry
            .wait_for_text("/metrics", r#"roseridge_workers{lease="leaving"} 1"#)
            .await;
        let second = body("tug-assignment", SHORT_RUN_MS, "two");
        submit_until(&entry, "two", second, "\"waiting\"").await;
        worker.stop.stop();
        assert_eq!(worker.wait_for_stop().await, [1]);
        entry.finish().await;
    });
}

/// A job that is cancelled while running must be reported as cancelled, and one that is cancelled
/// while waiting as not run.
#[test]
fn each_of_many_cancelled_jobs_reports_its_actual_outcome() {
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let worker = WorkerFixture::start(&[entry.internal]).await;
        let mut paths = Vec::new();
        for number in 0..8 {
            let job = body("tug-assignment", LONG_RUN_MS, "never");
            paths.push(submit_until(&entry, &format!("run-{number}"), job, "\"running\"").await);
        }
        for number in 0..8 {
            let job = body("tug-assignment", LONG_RUN_MS, "never");
            paths.push(submit_until(&entry, &format!("wait-{number}"), job, "\"waiting\"").await);
        }
        // The waiting jobs are cancelled first, so that none of them is placed when a running job
        // is cancelled.
        for path in paths.iter().rev() {
            let reply = request(entry.callers, Method::DELETE, path).await;
            assert!([202, 409].contains(&reply.status), "{}", reply.body);
        }
        for (number, path) in paths.iter().enumerate() {
            let expected = match number {
                0..8 => "/problems/cancelled",
                _ => "\"not_run\":true",
            };
            wait_for_state(entry.callers, path, expected).await;
        }
        worker.stop.stop();
        assert_eq!(worker.wait_for_stop().await, [1; 8]);
        entry.finish().await;
    });
}

/// An agent that is killed and restarted must find its task running and must not start it again.
#[test]
fn restarted_agent_keeps_running_tasks() {
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let worker = WorkerFixture::start(&[entry.internal]).await;
        let job = body("tug-assignment", 3_000, "kept");
        let path = submit_until(&entry, "kept", job, "\"running\"").await;
        let worker = worker.restart_agent().await;
        wait_for_state(entry.callers, &path, "\"done\"").await;
        worker.stop.stop();
        assert_eq!(worker.wait_for_stop().await, [1]);
        entry.finish().await;
    });
}

/// The backend server must stop the tasks of an agent that was killed and does not return.
#[test]
fn backend_server_stops_the_tasks_of_a_killed_agent() {
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let worker = WorkerFixture::start(&[entry.internal]).await;
        let job = body("tug-assignment", LONG_RUN_MS, "never");
        let path = submit_until(&entry, "dead", job, "\"running\"").await;
        let backend = worker.kill_agent();
        for _ in 0..MAX_POLLS {
            if backend.running_count() == 0 {
                break;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        assert_eq!(backend.running_count(), 0);
        // The leader does not know whether the task completed, so it does not run it again.
        wait_for_state(entry.callers, &path, "outcome-unknown").await;
        entry.finish().await;
    });
}
