//! The cases: what happens, and how the rule is checked.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::base::{call, job, Deployment, Record, Worker, BULK, MIDDLE, SERVICE, URGENT, ZONES};

pub fn play(case: &str, trouble: bool, record: &Record) -> bool {
    record.line(&format!("case {case}, disruption: {trouble}"));
    match case {
        "gone" => gone(trouble, record),
        "grey" => grey(trouble, record),
        "foreign" => foreign(trouble, record),
        "ack" => ack(trouble, record),
        "pending" => pending(trouble, record),
        _ => crate::base::exit_unrunnable("no such case"),
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000u64 + number)
}

/// The time after the end of the traffic from which jobs are asked for (`finish_s`), and the time for
/// which nothing of a job runs while there is room.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);
/// The checks go on for this time beyond both, so that a late end is no break.
const PATIENCE: Duration = Duration::from_secs(15);

/// Returns whether the rule LOST is broken, after the last job was handed in: a job isn't shown as ended
/// long after `finish_s`, and nothing of it runs for 3 s, while most of the workers are idle.
fn is_lost(deployment: &Deployment, jobs: &[(&'static str, String)]) -> bool {
    let record = &deployment.record;
    if jobs.is_empty() {
        crate::base::exit_unrunnable("no job was accepted");
    }
    let until = Instant::now() + FINISH + PATIENCE;
    let mut open: Vec<_> = jobs.to_vec();
    while !open.is_empty() && Instant::now() < until {
        open.retain(|(queue, id)| {
            !["completed", "failed"].contains(&deployment.state(queue, id).as_str())
        });
        sleep_ms(500);
    }
    let mut most_in_use = 0;
    let until = Instant::now() + IDLE;
    while !open.is_empty() && Instant::now() < until {
        let running: Vec<_> = deployment.workers.iter().map(Worker::running).collect();
        most_in_use = most_in_use.max(running.iter().filter(|runs| !runs.is_empty()).count());
        open.retain(|(_, id)| !running.iter().flatten().any(|(task, _)| task.starts_with(id)));
        sleep_ms(50);
    }
    for (queue, id) in &open {
        let state = deployment.state(queue, id);
        record.line(&format!("accepted job {id} is shown as {state}; nothing of it ran for {IDLE:?}"));
    }
    record.line(&format!("{} of {} accepted jobs have ended", jobs.len() - open.len(), jobs.len()));
    record.line(&format!("at most {most_in_use} of {} workers were in use", deployment.workers.len()));
    !open.is_empty() && most_in_use * 2 < deployment.workers.len()
}

/// Eleven workers; the last one is of another kind.
const KINDS: [&str; 11] = ["a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "b"];

/// A worker crashes for good while it runs tasks; its agent and all others are sound.
fn gone(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone(), &["a"; 11]);
    deployment.warm_up();
    let mut jobs = Vec::new();
    // Two tasks for each worker: a quarter of the service is in use.
    for number in 0..11 {
        let id = id(number);
        if deployment.submit(MIDDLE, &id, &job(1, 4, 4_000, "")) {
            jobs.push((MIDDLE, id));
        }
    }
    let busy = || deployment.workers.iter().find(|worker| !worker.running().is_empty()).cloned();
    let until = Instant::now() + Duration::from_secs(3);
    while busy().is_none() && Instant::now() < until {
        sleep_ms(10);
    }
    sleep_ms(600);
    let Some(worker) = busy() else { crate::base::exit_unrunnable("nothing runs") };
    if trouble {
        worker.crash();
    }
    is_lost(&deployment, &jobs)
}

/// The worker of a kind fails all that it starts for some seconds, then is sound again.
fn grey(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone(), &KINDS);
    deployment.warm_up();
    let worker = &deployment.workers[10];
    if trouble {
        worker.set_fails_all(true);
    }
    let mut jobs = Vec::new();
    for number in 0..2 {
        deployment.submit(MIDDLE, &id(number), &job(1, 1, 1_000, "b"));
    }
    sleep_ms(5_500);
    if trouble {
        worker.set_fails_all(false);
    }
    sleep_ms(3_000);
    for number in 10..13 {
        let id = id(number);
        if deployment.submit(URGENT, &id, &job(1, 1, 1_000, "b")) {
            jobs.push((URGENT, id));
        }
    }
    is_lost(&deployment, &jobs)
}

/// Hands in more jobs for the worker of kind b than it can run at once; each needs half of it.
fn submit_in_turn(deployment: &Deployment) -> Vec<(&'static str, String)> {
    let ids = (10..16).map(id);
    let accepted = ids.filter(|id| deployment.submit(MIDDLE, id, &job(1, 4, 2_000, "b")));
    accepted.map(|id| (MIDDLE, id)).collect()
}

/// Another writer sends a liveness report with fields missing, in the name of a sound worker.
fn foreign(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone(), &KINDS);
    deployment.warm_up();
    let worker = &deployment.workers[10];
    let jobs = submit_in_turn(&deployment);
    if trouble {
        // No address, version and labels, and slots of another type.
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"zone\":\"{}\",\"slots\":\"eight\",\"state\":\"draining\",\
             \"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":32000,\"mem_mb\":131072,\"gpus\":8}},\
             \"born\":{},\"seq\":1000000}}",
            ZONES[1],
            worker.born()
        );
        let path = format!("/api/instances/{}", worker.id());
        let answer = call(worker.setup.agent, "PUT", &path, &[], &body, Duration::from_secs(1));
        record.line(&format!("another writer's report {path} {body}: {answer:?}"));
    }
    is_lost(&deployment, &jobs)
}

/// A worker crashes as an acknowledgement of ends arrives, and starts again under its id.
fn ack(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone(), &KINDS);
    deployment.warm_up();
    let worker = &deployment.workers[10];
    if trouble {
        worker.crash_on_ack(Duration::from_millis(1_500));
    }
    let jobs = submit_in_turn(&deployment);
    let until = Instant::now() + Duration::from_secs(10);
    while trouble && worker.crashes() == 0 && Instant::now() < until {
        sleep_ms(20);
    }
    is_lost(&deployment, &jobs)
}

/// A worker hangs; what waits for it isn't counted as pending.
fn pending(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone(), &KINDS);
    deployment.warm_up();
    let worker = &deployment.workers[10];
    if trouble {
        worker.set_hangs(true);
    }
    sleep_ms(100);
    for number in 0..3 {
        deployment.submit(BULK, &id(number), &job(1, 1, 1_000, "b"));
    }
    sleep_ms(5_050);
    let shown = deployment.pending(BULK);
    let begun = worker.starts().iter().filter(|(_, task, _)| task.starts_with("5c0e")).count();
    record.line(&format!("pending is shown as {shown:?}; {begun} of 3 jobs have begun"));
    if trouble {
        worker.set_hangs(false);
    }
    sleep_ms(3_000);
    let waiting = 3 - begun as u64;
    shown.is_some_and(|shown| shown * 2 < waiting)
}
