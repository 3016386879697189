//! Single cases of the calls and reports that a run table makes.

use roseridge_flow::RunOutcome;
use roseridge_model::{
    DurationMs,
    FlowId,
    RunKey, //
};
use roseridge_runner::{
    RunAnswer,
    RunCall,
    RunRefusal,
    RunTable,
    RunnerTiming, //
};
use roseridge_wire::{
    BackendReport,
    FlowOrders,
    RunOrder, //
};

use crate::fake_backend::{
    FakeBackend,
    backend,
    instance,
    run,
    status_report, //
};

const LEASE_MS: u64 = 10_000;

/// A run table and its backend server, whose clocks advance together.
struct TableFixture {
    table: RunTable,
    backend: FakeBackend,
    /// The agent's time, in milliseconds.
    now_ms: u64,
    /// The index of the last orders.
    index: u64,
    /// All calls, in the order in which they were made.
    calls: Vec<RunCall>,
}

impl TableFixture {
    fn new() -> Self {
        let list_wait = DurationMs(500);
        let mut fixture = Self {
            table: RunTable::new(instance(), RunnerTiming { list_wait }),
            backend: FakeBackend::new("incarnation-1"),
            now_ms: 1_000,
            index: 0,
            calls: Vec::new(),
        };
        fixture
            .table
            .apply_status_report(status_report("incarnation-1", 1));
        fixture.answer_calls();
        fixture
    }

    /// Makes the due calls and answers them until none is due.
    fn answer_calls(&mut self) {
        for _ in 0..20 {
            let calls = self.table.next_calls(self.now_ms);
            if calls.is_empty() {
                return;
            }
            for (number, call) in calls {
                let answer = self.backend.answer(&call);
                self.calls.push(call.clone());
                self.table.apply_answer(number, &call, answer, self.now_ms);
            }
        }
    }

    fn advance(&mut self, elapsed_ms: u64) {
        self.now_ms += elapsed_ms;
        self.backend.advance(elapsed_ms);
    }

    fn order(&mut self, runs: &[(RunKey, bool)]) {
        self.order_with_lease(runs, Some(self.backend.clock_ms + LEASE_MS));
    }

    fn order_with_lease(&mut self, runs: &[(RunKey, bool)], lease_until_ms: Option<u64>) {
        self.index += 1;
        let texts = runs.iter().map(|(run, _)| run.task.flow);
        let orders = runs.iter().map(|(run, stop)| RunOrder {
            run: *run,
            stop: *stop,
            saved: String::new(),
        });
        self.table.apply_orders(FlowOrders {
            backend: Some(self.backend.incarnation.clone()),
            fence: 3,
            index: self.index,
            runs: Some(orders.collect()),
            texts: texts.map(|flow| (flow, "text".to_owned())).collect(),
            lease_until_ms,
            ..FlowOrders::default()
        });
        self.answer_calls();
    }

    fn report(&mut self) -> BackendReport {
        let report = self.table.report(DurationMs(0), self.now_ms);
        report.backend.expect("a current incarnation")
    }

    fn starts(&self) -> usize {
        let starts = self.calls.iter();
        starts
            .filter(|call| matches!(call, RunCall::Start { .. }))
            .count()
    }
}

#[test]
fn incarnation_becomes_current_only_after_it_answers() {
    let mut fixture = TableFixture::new();
    assert_eq!(fixture.table.backend(), Some(&backend("incarnation-1")));
    // A report of another sender or a delayed one may name an incarnation that is not running.
    fixture
        .table
        .apply_status_report(status_report("incarnation-0", 99));
    fixture.answer_calls();
    assert_eq!(fixture.table.backend(), Some(&backend("incarnation-1")));
    fixture.backend = FakeBackend::new("incarnation-2");
    fixture
        .table
        .apply_status_report(status_report("incarnation-2", 1));
    fixture.answer_calls();
    assert_eq!(fixture.table.backend(), Some(&backend("incarnation-2")));
}

#[test]
fn ordered_run_starts_once() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.advance(300);
    fixture.answer_calls();
    assert_eq!(fixture.backend.starts, [run(1, 1)]);
    assert_eq!(fixture.starts(), 1);
}

#[test]
fn nothing_starts_without_a_lease() {
    let mut fixture = TableFixture::new();
    fixture.order_with_lease(&[(run(1, 1), false)], None);
    assert_eq!(fixture.starts(), 0);
    fixture.order(&[(run(1, 1), false)]);
    assert_eq!(fixture.starts(), 1);
}

#[test]
fn lease_is_forwarded_unchanged() {
    let mut fixture = TableFixture::new();
    let lease_until_ms = fixture.backend.clock_ms + LEASE_MS;
    fixture.order(&[]);
    assert_eq!(fixture.backend.lease_until_ms, lease_until_ms);
    // The agent does not extend the lease, however long it has stalled.
    fixture.advance(4_000);
    fixture.answer_calls();
    assert_eq!(fixture.backend.lease_until_ms, lease_until_ms);
}

#[test]
fn unanswered_start_is_retried() {
    let mut fixture = TableFixture::new();
    fixture.order(&[]);
    fixture.index += 1;
    let order = RunOrder {
        run: run(1, 1),
        stop: false,
        saved: String::new(),
    };
    fixture.table.apply_orders(FlowOrders {
        backend: Some(backend("incarnation-1")),
        fence: 3,
        index: fixture.index,
        runs: Some(vec![order]),
        texts: vec![(FlowId(1), "text".to_owned())],
        lease_until_ms: Some(fixture.backend.clock_ms + LEASE_MS),
        ..FlowOrders::default()
    });
    for (number, call) in fixture.table.next_calls(fixture.now_ms) {
        let answer = RunAnswer::NoAnswer;
        fixture
            .table
            .apply_answer(number, &call, answer, fixture.now_ms);
    }
    assert!(fixture.backend.starts.is_empty());
    fixture.advance(200);
    fixture.answer_calls();
    assert_eq!(fixture.backend.starts, [run(1, 1)]);
}

#[test]
fn completion_is_reported_until_acknowledged() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.backend.end(run(1, 1), RunOutcome::Done);
    fixture.advance(600);
    fixture.answer_calls();
    for _ in 0..2 {
        assert_eq!(fixture.report().ends.len(), 1);
    }
    let seen = |call: &RunCall| match call {
        RunCall::Renew { ends_seen, .. } => *ends_seen,
        _ => 0,
    };
    assert!(fixture.calls.iter().all(|call| seen(call) == 0));
    fixture.table.apply_orders(FlowOrders {
        backend: Some(backend("incarnation-1")),
        ends_seen: 1,
        ..FlowOrders::default()
    });
    assert!(fixture.report().ends.is_empty());
    fixture.advance(600);
    fixture.answer_calls();
    assert!(
        fixture.backend.ended.is_empty(),
        "the backend server may forget the completion"
    );
}

#[test]
fn completed_run_is_not_restarted_by_stale_orders() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.backend.end(run(1, 1), RunOutcome::Done);
    fixture.advance(600);
    fixture.answer_calls();
    fixture.order(&[(run(1, 1), false)]);
    assert_eq!(fixture.backend.starts, [run(1, 1)]);
}

#[test]
fn ordered_stop_reaches_the_backend_server() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.order(&[(run(1, 1), true)]);
    fixture.advance(600);
    fixture.answer_calls();
    let ends = fixture.report().ends;
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].end, RunOutcome::Stopped);
}

#[test]
fn run_stopped_before_its_start_is_reported_unstarted() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), true)]);
    fixture.advance(600);
    fixture.answer_calls();
    let report = fixture.report();
    assert_eq!(report.unstarted.len(), 1);
    // A delayed start is refused from then on.
    let late = RunCall::Start {
        backend: backend("incarnation-1"),
        fence: 3,
        run: run(1, 1),
        text: String::new(),
        saved: String::new(),
        lease_until_ms: u64::MAX,
    };
    let answer = fixture.backend.answer(&late);
    assert_eq!(answer, RunAnswer::Refused(RunRefusal::OldRun));
}

#[test]
fn draining_backend_server_starts_nothing_new() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    let mut report = status_report("incarnation-1", 2);
    report.draining = Some(DurationMs(2_000));
    fixture.table.apply_status_report(report);
    fixture.order(&[(run(1, 1), false), (run(2, 1), false)]);
    fixture.advance(600);
    fixture.answer_calls();
    assert_eq!(fixture.backend.starts, [run(1, 1)]);
    let unstarted = fixture.report().unstarted;
    assert_eq!(unstarted.len(), 1);
    assert_eq!(unstarted[0].run, run(2, 1));
}

#[test]
fn later_reports_do_not_end_draining() {
    let mut fixture = TableFixture::new();
    let mut report = status_report("incarnation-1", 5);
    report.draining = Some(DurationMs(2_000));
    fixture.table.apply_status_report(report);
    fixture
        .table
        .apply_status_report(status_report("incarnation-1", 4));
    fixture
        .table
        .apply_status_report(status_report("incarnation-1", 6));
    assert!(fixture.report().draining.is_some());
}

#[test]
fn run_without_an_order_is_stopped() {
    let mut fixture = TableFixture::new();
    fixture.order(&[]);
    fixture.backend.running.insert(run(9, 1), String::new());
    fixture.advance(600);
    fixture.answer_calls();
    fixture.advance(600);
    fixture.answer_calls();
    assert!(fixture.backend.running.is_empty());
}

/// A restarted agent finds runs listed before it has orders for them, and must not stop them as runs
/// without an order.
#[test]
fn restarted_agent_stops_nothing_before_it_has_orders() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    let list_wait = DurationMs(500);
    fixture.table = RunTable::new(instance(), RunnerTiming { list_wait });
    fixture
        .table
        .apply_status_report(status_report("incarnation-1", 9));
    fixture.answer_calls();
    assert_eq!(
        fixture.table.backend(),
        None,
        "the backend server refuses a term below the one it has seen"
    );
    // The reply to the first report carries the leader's term.
    fixture.table.apply_orders(FlowOrders {
        fence: 3,
        ..FlowOrders::default()
    });
    fixture.advance(600);
    fixture.answer_calls();
    assert!(fixture.backend.running.contains_key(&run(1, 1)));
    assert_eq!(fixture.report().running.len(), 1);
    fixture.order(&[(run(1, 1), false)]);
    assert_eq!(
        fixture.backend.starts,
        [run(1, 1)],
        "the restarted agent takes over the run"
    );
}

#[test]
fn run_is_abandoned_on_an_unhealthy_backend_server() {
    let mut fixture = TableFixture::new();
    fixture.backend.is_unhealthy = true;
    fixture.order(&[(run(1, 1), false)]);
    for _ in 0..8 {
        fixture.advance(200);
        fixture.answer_calls();
    }
    assert_eq!(fixture.report().unstarted.len(), 1);
}

#[test]
fn answer_of_another_incarnation_ends_the_current_one() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.backend = FakeBackend::new("incarnation-2");
    fixture.advance(600);
    fixture.answer_calls();
    assert_eq!(fixture.table.backend(), None);
    let report = fixture.table.report(DurationMs(0), fixture.now_ms);
    assert_eq!(report.ended, [backend("incarnation-1")]);
}

#[test]
fn announced_shutdown_takes_effect_once_answers_stop() {
    let mut fixture = TableFixture::new();
    fixture.order(&[]);
    fixture
        .table
        .record_shutdown_notice(&backend("incarnation-1"), fixture.now_ms);
    fixture.advance(600);
    for (number, call) in fixture.table.next_calls(fixture.now_ms) {
        let answer = RunAnswer::NoAnswer;
        fixture
            .table
            .apply_answer(number, &call, answer, fixture.now_ms);
    }
    assert_eq!(fixture.table.backend(), None);
}

/// A notice may come from another sender than the backend server. An incarnation that still answers
/// one second later stays in use.
#[test]
fn shutdown_notice_of_an_answering_incarnation_is_revoked() {
    let mut fixture = TableFixture::new();
    fixture.order(&[]);
    fixture
        .table
        .record_shutdown_notice(&backend("incarnation-1"), fixture.now_ms);
    for _ in 0..3 {
        fixture.advance(600);
        fixture.answer_calls();
    }
    fixture.order(&[(run(1, 1), false)]);
    assert_eq!(
        fixture.backend.starts,
        [run(1, 1)],
        "the incarnation is still current and used"
    );
}

#[test]
fn highest_fence_is_kept() {
    let mut fixture = TableFixture::new();
    fixture.order(&[]);
    fixture.table.apply_orders(FlowOrders {
        backend: Some(backend("incarnation-1")),
        fence: 2,
        ..FlowOrders::default()
    });
    fixture.advance(600);
    fixture.answer_calls();
    assert_eq!(fixture.backend.fence, 3);
}

#[test]
fn report_carries_progress_and_age_of_the_list() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    // Without a completion, the waiting renewal is answered at the end of its wait.
    fixture.advance(500);
    fixture.answer_calls();
    fixture.now_ms += 250;
    let report = fixture.report();
    let running: Vec<_> = report.running.iter().map(|r| (r.run, r.percent)).collect();
    assert_eq!(running, [(run(1, 1), 50)]);
    assert_eq!(report.listed_ago, DurationMs(250));
}

/// Guards against a lease that ends after an agent was frozen, because the leader learns late that its backend
/// server has been reached again.
#[test]
fn regained_contact_is_reported_at_once() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.advance(3_000);
    let report = fixture.report();
    assert_eq!(report.listed_ago, DurationMs(3_000));
    fixture.answer_calls();
    assert!(fixture.table.has_unreported_changes());
}

/// The maximum number of renewals per second while a completion is unacknowledged: one every 50 ms.
const MAX_RENEWALS_PER_SECOND: usize = 20;

/// A backend server that lists a completion answers a renewal without a wait. Renewals without a pause
/// would follow one another in a busy loop until the leader acknowledges the completion.
#[test]
fn unacknowledged_completion_does_not_cause_busy_polling() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.backend.end(run(1, 1), RunOutcome::Done);
    fixture.answer_calls();
    let count_renewals = |calls: &[RunCall]| {
        let matching = calls.iter().filter(|c| matches!(c, RunCall::Renew { .. }));
        matching.count()
    };
    let initial = count_renewals(&fixture.calls);
    for _ in 0..1_000 {
        fixture.advance(1);
        fixture.answer_calls();
    }
    let renewals = count_renewals(&fixture.calls) - initial;
    assert!(renewals <= MAX_RENEWALS_PER_SECOND, "{renewals} renewals");
}

/// The pause between renewals must not delay an acknowledgement.
#[test]
fn acknowledgement_is_forwarded_at_once() {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.backend.end(run(1, 1), RunOutcome::Done);
    fixture.answer_calls();
    let ends_seen = fixture.report().ends[0].number;
    fixture.table.apply_orders(FlowOrders {
        backend: Some(fixture.backend.incarnation.clone()),
        fence: 3,
        ends_seen,
        ..FlowOrders::default()
    });
    let calls = fixture.table.next_calls(fixture.now_ms);
    let acknowledges = |call: &RunCall| match call {
        RunCall::Renew {
            ends_seen: sent, ..
        } => *sent == ends_seen,
        _ => false,
    };
    assert!(
        calls.iter().any(|(_, call)| acknowledges(call)),
        "{calls:?}"
    );
}

/// Starts two runs that end, and hides the completion of the first one.
fn fixture_with_hidden_completion() -> TableFixture {
    let mut fixture = TableFixture::new();
    fixture.order(&[(run(1, 1), false), (run(2, 1), false)]);
    fixture.backend.end(run(1, 1), RunOutcome::Done);
    fixture.backend.end(run(2, 1), RunOutcome::Done);
    fixture
}

/// A completion whose number was skipped may stand for a run that is done. Reporting that run as
/// unstarted would run its task twice.
#[test]
fn skipped_completion_keeps_its_run_in_doubt() {
    let mut fixture = fixture_with_hidden_completion();
    let hidden = fixture.backend.ended.remove(&1).expect("a completion");
    for _ in 0..3 {
        fixture.advance(500);
        fixture.answer_calls();
        let report = fixture.report();
        assert_eq!(report.ends.len(), 1);
        assert!(report.unstarted.is_empty(), "{:?}", report.unstarted);
    }
    fixture.backend.ended.insert(1, hidden);
    fixture.advance(500);
    fixture.answer_calls();
    let report = fixture.report();
    assert_eq!(report.ends.len(), 2);
    assert!(report.unstarted.is_empty());
}

/// A completion that stays away must not keep its task waiting forever.
#[test]
fn skipped_completion_that_stays_away_ends_the_doubt() {
    let mut fixture = fixture_with_hidden_completion();
    fixture.backend.ended.remove(&1);
    for _ in 0..12 {
        fixture.advance(500);
        fixture.answer_calls();
    }
    let unstarted = fixture.report().unstarted;
    assert_eq!(unstarted.len(), 1);
    assert_eq!(unstarted[0].run, run(1, 1));
}

/// The completion of a run may be left out of a list of the maximum length, for as long as the
/// leader acknowledges none of those that are listed.
#[test]
fn truncated_list_proves_nothing_about_a_run() {
    let mut fixture = fixture_with_hidden_completion();
    let hidden = fixture.backend.ended.remove(&2).expect("a completion");
    fixture.backend.is_list_truncated = true;
    for _ in 0..12 {
        fixture.advance(500);
        fixture.answer_calls();
        assert!(fixture.report().unstarted.is_empty());
    }
    fixture.backend.is_list_truncated = false;
    fixture.backend.ended.insert(2, hidden);
    fixture.advance(500);
    fixture.answer_calls();
    assert_eq!(fixture.report().ends.len(), 2);
}
