//! Sample names, templates and jobs for the tests.

use std::collections::BTreeMap;

use roseridge_model::{
    AdjacencyRule,
    AnswerBody,
    ClassName,
    ClassRule,
    ClassUrgency,
    CustomerName,
    CustomerTemplate,
    DomainName,
    DurationMs,
    GangShape,
    JobSpec,
    RackName,
    RequestKey,
    ResourceShape,
    TaskId,
    WorkerName,
    WorkerShape, //
};

/// The number of slots of each worker.
pub(crate) const SLOTS: u16 = 3;
/// The retention of answers in the sample template, in milliseconds.
pub(crate) const RETENTION_MS: u64 = 60_000;
/// The job classes: `once` runs at most once, `again` is idempotent, and `resume` is idempotent and
/// can resume from a checkpoint.
pub(crate) const CLASSES: [&str; 3] = ["once", "again", "resume"];

pub(crate) fn customer() -> CustomerName {
    CustomerName::parse("benali").expect("a valid name")
}

pub(crate) fn key(number: u8) -> RequestKey {
    RequestKey::parse(&format!("key-{number}")).expect("a valid name")
}

pub(crate) fn worker(number: usize) -> WorkerName {
    WorkerName::parse(&format!("worker-{number}")).expect("a valid name")
}

fn member() -> ResourceShape {
    ResourceShape {
        cores: 1,
        memory_mib: 1,
        accelerators: 1,
    }
}

pub(crate) fn shape() -> WorkerShape {
    WorkerShape {
        domain: DomainName::parse("domain").expect("a valid name"),
        rack: RackName::parse("rack").expect("a valid name"),
        total: ResourceShape {
            cores: 3,
            memory_mib: 3,
            accelerators: 3,
        },
        slots: SLOTS,
        connections: 60,
    }
}

fn rule(class: &str, once_is_idempotent: bool) -> ClassRule {
    ClassRule {
        urgency: ClassUrgency::Normal,
        start_within_ms: DurationMs(1_000),
        expected_run_ms: DurationMs(1_000),
        checkpointable: class == "resume",
        idempotent: class != "once" || once_is_idempotent,
        attempt_limit: 2,
        answer_retention_ms: DurationMs(RETENTION_MS),
        preemption_order: 0,
        queue_limit: None,
        rate_per_second: None,
    }
}

/// Returns the sample template; `once_is_idempotent` simulates an operator's error that makes the
/// class `once` idempotent.
pub(crate) fn template(once_is_idempotent: bool) -> CustomerTemplate {
    let classes = CLASSES.iter().map(|class| {
        let name = ClassName::parse(class).expect("a valid name");
        (name, rule(class, once_is_idempotent))
    });
    CustomerTemplate {
        customer: customer(),
        guaranteed: Vec::new(),
        degrade_rank: 0,
        reserve: roseridge_model::LossReserve::Worker,
        queue_limit: 100,
        rate_per_second: 1_000_000,
        classes: classes.collect::<BTreeMap<_, _>>(),
    }
}

pub(crate) fn spec(class: usize, members: u16) -> JobSpec {
    JobSpec {
        class: ClassName::parse(CLASSES[class]).expect("a valid name"),
        gang: GangShape {
            members,
            member: member(),
            adjacency: AdjacencyRule::Any,
        },
        declared_run_ms: None,
        payload: "work".to_owned(),
    }
}

/// Returns an answer that is unique to the task and its attempt.
pub(crate) fn answer(task: TaskId) -> AnswerBody {
    let text = format!("answer of {task}");
    AnswerBody {
        crc32: u32::try_from(text.len()).expect("a short text"),
        text,
    }
}
