//! Draining of workers: a drain outlasts a restart of the agent, and a resend has no effect.

use roseridge_ledger::{
    CommandOutcome,
    DrainChange,
    LedgerChange,
    LedgerCommand,
    LedgerState,
    RefusalReason, //
};
use roseridge_model::{
    DomainName,
    IncarnationId,
    RackName,
    RequestKey,
    ResourceShape,
    UnixMillis,
    WorkerName,
    WorkerShape, //
};
use roseridge_testutils::cases;

fn worker() -> WorkerName {
    WorkerName::parse("worker-1").expect("a valid name")
}

fn apply(ledger: &mut LedgerState, change: LedgerChange) -> CommandOutcome {
    let at = UnixMillis(ledger.applied);
    ledger.apply(ledger.applied + 1, LedgerCommand { at, change })
}

fn announce(ledger: &mut LedgerState, incarnation: u64) {
    let shape = WorkerShape {
        domain: DomainName::parse("domain-1").expect("a valid name"),
        rack: RackName::parse("rack-1").expect("a valid name"),
        total: ResourceShape {
            cores: 8,
            memory_mib: 8,
            accelerators: 8,
        },
        slots: 8,
        connections: 60,
    };
    let change = LedgerChange::AnnounceWorker {
        worker: worker(),
        incarnation: IncarnationId(incarnation),
        shape,
        found: Vec::new(),
        leaving: false,
    };
    assert_eq!(apply(ledger, change), CommandOutcome::Applied);
}

fn drain(ledger: &mut LedgerState, request: &str, drained: bool) -> CommandOutcome {
    let change = DrainChange {
        request: RequestKey::parse(request).expect("a valid key"),
        worker: worker(),
        drained,
    };
    apply(ledger, LedgerChange::DrainWorker(change))
}

/// Drain requests in the order of arrival, and whether the worker is drained after them.
struct DrainCase {
    requests: &'static [(&'static str, bool)],
    drained: bool,
}

fn check(case: DrainCase) {
    let mut ledger = LedgerState::default();
    announce(&mut ledger, 1);
    for (request, drained) in case.requests {
        assert_eq!(
            drain(&mut ledger, request, *drained),
            CommandOutcome::Applied
        );
    }
    announce(&mut ledger, 2);
    assert_eq!(ledger.is_drained(&worker()), case.drained);
    let view = ledger.view(UnixMillis(0));
    assert_eq!(view.workers[0].schedulable, !case.drained);
}

cases! { check:
    not_drained_by_default = DrainCase { requests: &[], drained: false },
    worker_is_drained = DrainCase { requests: &[("a", true)], drained: true },
    drain_is_cancelled = DrainCase { requests: &[("a", true), ("b", false)], drained: false },
    late_resend_changes_nothing = DrainCase {
        requests: &[("a", true), ("b", false), ("a", true)],
        drained: false,
    },
    worker_is_drained_again = DrainCase {
        requests: &[("a", true), ("b", false), ("c", true)],
        drained: true,
    },
}

/// Guards against drain records of workers that don't exist.
#[test]
fn unknown_worker_is_refused() {
    let mut ledger = LedgerState::default();
    let refused = CommandOutcome::Refused(RefusalReason::UnknownWorker);
    assert_eq!(drain(&mut ledger, "a", true), refused);
    assert!(!ledger.is_drained(&worker()));
}
