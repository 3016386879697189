//! A worker that starts again under its id while an acknowledgement is on its way, and whose agent is restarted a few
//! seconds later, gets no more work.

#[path = "../6/common.rs"]
mod common;

use common::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

const FIRST: &str = "/lohu930/5c0e7a21d94b36f8";
const SECOND: &str = "/lohu930/6d1f8b32ea5c4709";
const STEPS: &str = "{\"count\":1,\"cpu\":13000,\"mem_mb\":38000,\"gpus\":1,\"estimate_ms\":1000,\"requires\":\"b\"}";
/// `finish_s`, after which jobs are asked for.
const FINISH_MS: u64 = 14_000;

fn main() {
    let folder = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no folder"));
    let record = Record::create(&format!("{folder}/record.txt"));
    let trouble = has_trouble();
    let mut deployment = Deployment::start_with(&record, 8, |n| if n == 0 { "b" } else { "a" });
    // The worker crashes as it receives the acknowledgement of its first end.
    let has_crashed = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&has_crashed);
    let worker = deployment.workers[0].clone();
    *deployment.workers[0].late.lock().unwrap() = Some(Arc::new(move |path: &str, body: &Json| {
        if trouble
            && path == "/api/hold"
            && body.num("ack_cursor") > 0
            && !flag.swap(true, Ordering::SeqCst)
        {
            worker.crash();
            return Some(0);
        }
        None
    }));
    if !deployment.submit(FIRST, STEPS) {
        cannot_run("the first job is not accepted");
    }
    for _ in 0..40 {
        if deployment.state_of(FIRST) == "completed" {
            break;
        }
        sleep_ms(200);
    }
    if trouble {
        if !has_crashed.load(Ordering::SeqCst) {
            sleep_ms(1000);
        }
        sleep_ms(2000);
        deployment.workers[0].restart();
        sleep_ms(2000);
        deployment.signal("agent-0", "-TERM");
        deployment.wait_end("agent-0");
        deployment.run("agent-0");
    }
    // Longer than any call may be on its way.
    sleep_ms(20_000);
    if !deployment.submit(SECOND, STEPS) {
        cannot_run("the second job is not accepted");
    }
    let submitted = record.now_ms();
    while record.now_ms() < submitted + FINISH_MS {
        sleep_ms(1000);
        if deployment.state_of(SECOND) == "completed" {
            break;
        }
    }
    let task = "6d1f8b32ea5c4709.0.0.0";
    let mut idle = !deployment.seen().iter().any(|run| run.task == task);
    for _ in 0..30 {
        sleep_ms(100);
        idle &= !deployment.seen().iter().any(|run| run.task == task);
    }
    let state = deployment.state_of(SECOND);
    let breaks: Vec<_> = (idle && state != "completed")
        .then(|| format!("LOST: the job is {state} {FINISH_MS} ms after its acknowledgement and for 3 s more; its task has not started, no worker has anything to do, and the worker with its label reports ready with room for it"))
        .into_iter()
        .collect();
    finish(&record, deployment, &breaks)
}
