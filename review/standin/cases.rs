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
        "late" => late(trouble, record),
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

/// The only worker of its rack, and the label of the rack.
const LONE: (usize, &str) = (7, "r2-2");

/// A worker crashes for good while it runs tasks; its agent and all others are sound.
fn gone(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone());
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

/// The worker of the lone rack fails all that it starts for some seconds, then is sound again.
fn grey(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone());
    deployment.warm_up();
    let worker = &deployment.workers[LONE.0];
    if trouble {
        worker.set_fails_all(true);
    }
    let mut jobs = Vec::new();
    for number in 0..2 {
        deployment.submit(MIDDLE, &id(number), &job(1, 1, 1_000, LONE.1));
    }
    sleep_ms(5_500);
    if trouble {
        worker.set_fails_all(false);
    }
    sleep_ms(3_000);
    for number in 10..13 {
        let id = id(number);
        if deployment.submit(URGENT, &id, &job(1, 1, 1_000, LONE.1)) {
            jobs.push((URGENT, id));
        }
    }
    is_lost(&deployment, &jobs)
}

/// Hands in more jobs for the worker of the lone rack than it can run at once; each needs half of it.
fn submit_in_turn(deployment: &Deployment) -> Vec<(&'static str, String)> {
    let ids = (10..16).map(id);
    let accepted = ids.filter(|id| deployment.submit(MIDDLE, id, &job(1, 4, 2_000, LONE.1)));
    accepted.map(|id| (MIDDLE, id)).collect()
}

/// Another writer sends a liveness report with fields missing, in the name of a sound worker.
fn foreign(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone());
    deployment.warm_up();
    let worker = &deployment.workers[LONE.0];
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

/// The answer to one acknowledgement is lost; some seconds later the worker crashes and starts again under
/// its id.
fn ack(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone());
    deployment.warm_up();
    let worker = &deployment.workers[LONE.0];
    if trouble {
        worker.lose_ack_answer();
    }
    // Two run at a time, for 2 s each.
    let ids = (10..22).map(id);
    let accepted = ids.filter(|id| deployment.submit(MIDDLE, id, &job(1, 4, 2_000, LONE.1)));
    let jobs: Vec<_> = accepted.map(|id| (MIDDLE, id)).collect();
    let until = Instant::now() + Duration::from_secs(10);
    while trouble && !worker.has_lost_ack_answer() && Instant::now() < until {
        sleep_ms(10);
    }
    if trouble {
        sleep_ms(4_500);
        worker.crash();
        sleep_ms(1_500);
        worker.restart();
    }
    is_lost(&deployment, &jobs)
}

/// A worker crashes for good; what waits for it isn't counted as pending.
fn pending(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone());
    deployment.warm_up();
    let worker = &deployment.workers[LONE.0];
    if trouble {
        worker.crash();
    }
    let jobs = (0..3).filter(|n| deployment.submit(BULK, &id(*n), &job(1, 1, 1_000, LONE.1)));
    let jobs = jobs.count() as u64;
    let mut is_broken = false;
    // `visible_ms` and 2 s are 5 s; the value may be 2 s old.
    sleep_ms(7_500);
    for _ in 0..3 {
        let shown = deployment.pending(BULK);
        let starts = deployment.workers.iter().flat_map(Worker::starts);
        let begun = starts.filter(|(_, task, _)| task.starts_with("5c0e7a21")).count() as u64;
        let waiting = jobs.saturating_sub(begun);
        record.line(&format!("pending is shown as {shown:?}; {waiting} of {jobs} accepted jobs haven't begun"));
        is_broken |= shown.is_some_and(|shown| shown * 2 < waiting);
        sleep_ms(1_000);
    }
    is_broken
}

/// A worker leaves starts unanswered and carries them out late; it crashes in between and starts again
/// under its id.
fn late(trouble: bool, record: &Record) -> bool {
    let deployment = Deployment::start(record.clone());
    deployment.warm_up();
    let worker = &deployment.workers[LONE.0];
    if trouble {
        worker.carry_out_late(&[2_000, 7_700, 7_900]);
    }
    deployment.submit(MIDDLE, &id(1), &job(1, 1, 1_000, LONE.1));
    let submitted = Instant::now();
    let task = format!("{}.0.0.0", id(1));
    let noted = |how: &str| {
        let ends = deployment.workers.iter().flat_map(Worker::noted);
        ends.filter(|end| end.1 == task && end.2 == how).map(|end| end.0).min()
    };
    let until = submitted + Duration::from_secs(12);
    while noted("done").is_none() && Instant::now() < until {
        sleep_ms(10);
    }
    if trouble {
        sleep_ms(300);
        worker.set_first_report(Duration::from_millis(1_000));
        worker.crash();
        // It is down for 4.5 s.
        sleep_ms(4_500);
        worker.restart();
    }
    sleep_ms(8_000);
    let Some(done_ms) = noted("done") else {
        crate::base::exit_unrunnable("the task isn't done");
    };
    let starts = deployment.workers.iter().flat_map(Worker::starts);
    let again: Vec<_> = starts.filter(|(at, known, _)| *known == task && *at > done_ms).collect();
    let state = deployment.state(MIDDLE, &id(1));
    record.line(&format!("the end `done` of {task} was taken note of at {done_ms} ms; the job is shown as {state}"));
    record.line(&format!("starts of {task} after that: {again:?}"));
    !again.is_empty()
}
