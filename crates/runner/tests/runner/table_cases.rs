//! What the book asks of a backend server and reports, case by case.

use roseridge_flow::RunEnd;
use roseridge_model::{
    DurationMs,
    FlowId,
    RunKey, //
};
use roseridge_runner::{
    RunAnswer,
    RunCall,
    RunRefusal, //
    RunTable,
    RunnerTiming,
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
    notice,
    run, //
};

const LEASE_MS: u64 = 10_000;

/// A book with its backend server, on one clock.
struct BookFixture {
    book: RunTable,
    backend: FakeBackend,
    now_ms: u64,
    index: u64,
    /// The calls that were made, in order.
    calls: Vec<RunCall>,
}

impl BookFixture {
    fn new() -> Self {
        let list_wait = DurationMs(500);
        let mut fixture = Self {
            book: RunTable::new(instance(), RunnerTiming { list_wait }),
            backend: FakeBackend::new("life-1"),
            now_ms: 1_000,
            index: 0,
            calls: Vec::new(),
        };
        fixture.book.hear(notice("life-1", 1));
        fixture.settle();
        fixture
    }

    /// Makes calls and answers them until nothing but the list that waits is left.
    fn settle(&mut self) {
        for _ in 0..20 {
            let calls = self.book.next_calls(self.now_ms);
            if calls.is_empty() {
                return;
            }
            for (number, call) in calls {
                let answer = self.backend.answer(&call);
                self.calls.push(call.clone());
                self.book.take_answer(number, &call, answer, self.now_ms);
            }
        }
    }

    fn pass(&mut self, span_ms: u64) {
        self.now_ms += span_ms;
        self.backend.pass(span_ms);
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
        self.book.take_orders(FlowOrders {
            backend: Some(self.backend.life.clone()),
            fence: 3,
            index: self.index,
            runs: Some(orders.collect()),
            texts: texts.map(|flow| (flow, "text".to_owned())).collect(),
            lease_until_ms,
            ..FlowOrders::default()
        });
        self.settle();
    }

    fn report(&mut self) -> BackendReport {
        let report = self.book.report(DurationMs(0), self.now_ms);
        report.backend.expect("a backend server")
    }

    fn starts(&self) -> usize {
        let starts = self.calls.iter();
        starts
            .filter(|call| matches!(call, RunCall::Start { .. }))
            .count()
    }
}

#[test]
fn life_is_believed_only_when_it_answers() {
    let mut fixture = BookFixture::new();
    assert_eq!(fixture.book.backend(), Some(&backend("life-1")));
    // Another writer, or a notice that was delayed, names a life that is not there.
    fixture.book.hear(notice("life-0", 99));
    fixture.settle();
    assert_eq!(fixture.book.backend(), Some(&backend("life-1")));
    fixture.backend = FakeBackend::new("life-2");
    fixture.book.hear(notice("life-2", 1));
    fixture.settle();
    assert_eq!(fixture.book.backend(), Some(&backend("life-2")));
}

#[test]
fn ordered_run_starts_once() {
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.pass(300);
    fixture.settle();
    assert_eq!(fixture.backend.starts, [run(1, 1)]);
    assert_eq!(fixture.starts(), 1);
}

#[test]
fn nothing_starts_without_a_lease() {
    let mut fixture = BookFixture::new();
    fixture.order_with_lease(&[(run(1, 1), false)], None);
    assert_eq!(fixture.starts(), 0);
    fixture.order(&[(run(1, 1), false)]);
    assert_eq!(fixture.starts(), 1);
}

#[test]
fn lease_is_passed_on_as_the_leader_gave_it() {
    let mut fixture = BookFixture::new();
    let lease_until_ms = fixture.backend.clock_ms + LEASE_MS;
    fixture.order(&[]);
    assert_eq!(fixture.backend.lease_until_ms, lease_until_ms);
    // However long the agent itself stood still, it never adds to the lease.
    fixture.pass(4_000);
    fixture.settle();
    assert_eq!(fixture.backend.lease_until_ms, lease_until_ms);
}

#[test]
fn unanswered_start_is_sent_again() {
    let mut fixture = BookFixture::new();
    fixture.order(&[]);
    fixture.index += 1;
    let order = RunOrder {
        run: run(1, 1),
        stop: false,
        saved: String::new(),
    };
    fixture.book.take_orders(FlowOrders {
        backend: Some(backend("life-1")),
        fence: 3,
        index: fixture.index,
        runs: Some(vec![order]),
        texts: vec![(FlowId(1), "text".to_owned())],
        lease_until_ms: Some(fixture.backend.clock_ms + LEASE_MS),
        ..FlowOrders::default()
    });
    for (number, call) in fixture.book.next_calls(fixture.now_ms) {
        let answer = RunAnswer::NoAnswer;
        fixture
            .book
            .take_answer(number, &call, answer, fixture.now_ms);
    }
    assert!(fixture.backend.starts.is_empty());
    fixture.pass(200);
    fixture.settle();
    assert_eq!(fixture.backend.starts, [run(1, 1)]);
}

#[test]
fn end_is_reported_until_the_leader_took_note() {
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.backend.end(run(1, 1), RunEnd::Done);
    fixture.pass(600);
    fixture.settle();
    for _ in 0..2 {
        assert_eq!(fixture.report().ends.len(), 1);
    }
    let seen = |call: &RunCall| match call {
        RunCall::Renew { ends_seen, .. } => *ends_seen,
        _ => 0,
    };
    assert!(fixture.calls.iter().all(|call| seen(call) == 0));
    fixture.book.take_orders(FlowOrders {
        backend: Some(backend("life-1")),
        ends_seen: 1,
        ..FlowOrders::default()
    });
    assert!(fixture.report().ends.is_empty());
    fixture.pass(600);
    fixture.settle();
    assert!(fixture.backend.ended.is_empty(), "it may be forgotten now");
}

#[test]
fn ended_run_is_not_started_again_by_old_orders() {
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.backend.end(run(1, 1), RunEnd::Done);
    fixture.pass(600);
    fixture.settle();
    fixture.order(&[(run(1, 1), false)]);
    assert_eq!(fixture.backend.starts, [run(1, 1)]);
}

#[test]
fn ordered_stop_reaches_the_backend_server() {
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.order(&[(run(1, 1), true)]);
    fixture.pass(600);
    fixture.settle();
    let ends = fixture.report().ends;
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].end, RunEnd::Stopped);
}

#[test]
fn run_that_is_stopped_before_its_start_is_proved_unstarted() {
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), true)]);
    fixture.pass(600);
    fixture.settle();
    let report = fixture.report();
    assert_eq!(report.unstarted.len(), 1);
    // A start that comes late is refused by then.
    let late = RunCall::Start {
        backend: backend("life-1"),
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
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    let mut leaving = notice("life-1", 2);
    leaving.draining = Some(DurationMs(2_000));
    fixture.book.hear(leaving);
    fixture.order(&[(run(1, 1), false), (run(2, 1), false)]);
    fixture.pass(600);
    fixture.settle();
    assert_eq!(fixture.backend.starts, [run(1, 1)]);
    let unstarted = fixture.report().unstarted;
    assert_eq!(unstarted.len(), 1);
    assert_eq!(unstarted[0].run, run(2, 1));
}

#[test]
fn late_notice_does_not_end_the_draining() {
    let mut fixture = BookFixture::new();
    let mut leaving = notice("life-1", 5);
    leaving.draining = Some(DurationMs(2_000));
    fixture.book.hear(leaving);
    fixture.book.hear(notice("life-1", 4));
    fixture.book.hear(notice("life-1", 6));
    assert!(fixture.report().draining.is_some());
}

#[test]
fn run_that_was_not_ordered_is_stopped() {
    let mut fixture = BookFixture::new();
    fixture.order(&[]);
    fixture.backend.running.insert(run(9, 1), String::new());
    fixture.pass(600);
    fixture.settle();
    fixture.pass(600);
    fixture.settle();
    assert!(fixture.backend.running.is_empty());
}

#[test]
fn restarted_agent_stops_nothing_before_it_has_orders() {
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    let list_wait = DurationMs(500);
    fixture.book = RunTable::new(instance(), RunnerTiming { list_wait });
    fixture.book.hear(notice("life-1", 9));
    fixture.settle();
    assert_eq!(
        fixture.book.backend(),
        None,
        "it refuses the term of before the restart"
    );
    // The reply to the first report tells the leader's term.
    fixture.book.take_orders(FlowOrders {
        fence: 3,
        ..FlowOrders::default()
    });
    fixture.pass(600);
    fixture.settle();
    assert!(fixture.backend.running.contains_key(&run(1, 1)));
    assert_eq!(fixture.report().running.len(), 1);
    fixture.order(&[(run(1, 1), false)]);
    assert_eq!(fixture.backend.starts, [run(1, 1)], "it found its run");
}

#[test]
fn unhealthy_backend_server_gives_the_run_up() {
    let mut fixture = BookFixture::new();
    fixture.backend.is_unhealthy = true;
    fixture.order(&[(run(1, 1), false)]);
    for _ in 0..8 {
        fixture.pass(200);
        fixture.settle();
    }
    assert_eq!(fixture.report().unstarted.len(), 1);
}

#[test]
fn other_life_that_answers_ends_the_known_one() {
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.backend = FakeBackend::new("life-2");
    fixture.pass(600);
    fixture.settle();
    assert_eq!(fixture.book.backend(), None);
    let report = fixture.book.report(DurationMs(0), fixture.now_ms);
    assert_eq!(report.ended, [backend("life-1")]);
}

#[test]
fn farewell_counts_when_the_backend_server_no_longer_answers() {
    let mut fixture = BookFixture::new();
    fixture.order(&[]);
    fixture
        .book
        .hear_farewell(&backend("life-1"), fixture.now_ms);
    fixture.pass(600);
    for (number, call) in fixture.book.next_calls(fixture.now_ms) {
        let answer = RunAnswer::NoAnswer;
        fixture
            .book
            .take_answer(number, &call, answer, fixture.now_ms);
    }
    assert_eq!(fixture.book.backend(), None);
}

#[test]
fn farewell_of_another_writer_ends_nothing() {
    let mut fixture = BookFixture::new();
    fixture.order(&[]);
    fixture
        .book
        .hear_farewell(&backend("life-1"), fixture.now_ms);
    for _ in 0..3 {
        fixture.pass(600);
        fixture.settle();
    }
    fixture.order(&[(run(1, 1), false)]);
    assert_eq!(
        fixture.backend.starts,
        [run(1, 1)],
        "it is still there and in use"
    );
}

#[test]
fn higher_fence_is_kept() {
    let mut fixture = BookFixture::new();
    fixture.order(&[]);
    fixture.book.take_orders(FlowOrders {
        backend: Some(backend("life-1")),
        fence: 2,
        ..FlowOrders::default()
    });
    fixture.pass(600);
    fixture.settle();
    assert_eq!(fixture.backend.fence, 3);
}

#[test]
fn report_tells_how_far_runs_are_and_how_old_that_is() {
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    // Nothing has ended, so the list that waits is answered after its wait.
    fixture.pass(500);
    fixture.settle();
    fixture.now_ms += 250;
    let report = fixture.report();
    let running: Vec<_> = report.running.iter().map(|r| (r.run, r.percent)).collect();
    assert_eq!(running, [(run(1, 1), 50)]);
    assert_eq!(report.listed_ago, DurationMs(250));
}

/// The looks at a backend server in a second while nobody takes note of an end: one each 50 ms.
const MOST_LOOKS: usize = 20;

#[test]
fn end_that_nobody_takes_note_of_is_not_looked_at_without_pause() {
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.backend.end(run(1, 1), RunEnd::Done);
    fixture.settle();
    let holds = |calls: &[RunCall]| {
        let holds = calls.iter().filter(|c| matches!(c, RunCall::Renew { .. }));
        holds.count()
    };
    let before = holds(&fixture.calls);
    for _ in 0..1_000 {
        fixture.pass(1);
        fixture.settle();
    }
    let looks = holds(&fixture.calls) - before;
    assert!(looks <= MOST_LOOKS, "{looks} looks");
}

#[test]
fn end_that_was_taken_note_of_is_told_at_once() {
    let mut fixture = BookFixture::new();
    fixture.order(&[(run(1, 1), false)]);
    fixture.backend.end(run(1, 1), RunEnd::Done);
    fixture.settle();
    let ends_seen = fixture.report().ends[0].number;
    fixture.book.take_orders(FlowOrders {
        backend: Some(fixture.backend.life.clone()),
        fence: 3,
        ends_seen,
        ..FlowOrders::default()
    });
    let calls = fixture.book.next_calls(fixture.now_ms);
    let tells = |call: &RunCall| match call {
        RunCall::Renew {
            ends_seen: told, ..
        } => *told == ends_seen,
        _ => false,
    };
    assert!(calls.iter().any(|(_, call)| tells(call)), "{calls:?}");
}
