//! Cases of acknowledgements that a later incarnation under the same name may carry out.

use roseridge_flow::RunOutcome;
use roseridge_model::{
    DurationMs,
    RunKey, //
};
use roseridge_runner::RunCall;
use roseridge_wire::BackendReport;

use crate::{
    barrier_cases::RestartFixture,
    fake_backend::run, //
};

impl RestartFixture {
    /// Returns a backend server that has restarted while an acknowledgement was on its way.
    fn with_open_ack(ends_seen: u64) -> Self {
        let mut fixture = Self::new("i-1@5");
        fixture.complete_first(run(1, 1));
        fixture.acknowledge(ends_seen);
        fixture.is_down = true;
        fixture.advance(200);
        fixture.is_down = false;
        fixture.restart("i-1@9");
        fixture.announce();
        fixture
    }

    /// Carries out the acknowledgements for the earlier incarnation, on the present one.
    fn carry_out_late_acks(&mut self) {
        let acks = self
            .calls
            .iter()
            .filter(|call| matches!(call, RunCall::Renew { ends_seen, .. } if *ends_seen > 0));
        for ack in acks {
            self.backend.answer(ack);
        }
    }

    /// Tells the agent the leader's doubt about the present incarnation.
    fn doubt_completions(&mut self, hidden_until: u64) {
        let backend = self.table.backend().cloned();
        self.table.doubt_completions(backend.as_ref(), hidden_until);
    }

    /// Orders runs and returns the starts and stops that follow.
    fn order_all(&mut self, runs: &[RunKey]) -> Vec<(RunKey, &'static str)> {
        let before = self.calls.len();
        let orders: Vec<_> = runs.iter().map(|run| (*run, false)).collect();
        self.order(&orders);
        self.advance(3_000);
        let calls = self.calls[before..].iter();
        let calls = calls.filter_map(|call| match call {
            RunCall::Start { run, .. } => Some((*run, "start")),
            RunCall::Stop { run, .. } => Some((*run, "stop")),
            RunCall::Renew { .. } => None,
        });
        calls.collect()
    }

    fn backend_report(&mut self) -> Option<BackendReport> {
        self.table.report(DurationMs(0), self.now_ms).backend
    }
}

/// Guards against a backend server that gets no work for the rest of its life, because the answer to an
/// acknowledgement for an earlier incarnation was lost (`review/5`).
#[test]
fn incarnation_after_a_lost_answer_to_an_acknowledgement_gets_work() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.loses_ack_answers = true;
    fixture.complete_first(run(1, 1));
    fixture.advance(1_000);
    fixture.loses_ack_answers = false;
    fixture.restart("i-1@9");
    fixture.announce();
    fixture.order(&[(run(2, 1), false)]);
    fixture.advance(1_000);
    assert_eq!(fixture.starts("i-1@9"), [run(2, 1)]);
    assert!(!fixture.stops("i-1@9").contains(&run(2, 1)), "no trial");
}

/// Guards against a backend server that gets no work for the rest of its life, because an acknowledgement was on its
/// way when it restarted.
#[test]
fn incarnation_gets_work_after_a_stopped_run_is_listed() {
    let mut fixture = RestartFixture::with_open_ack(1);
    let report = fixture.table.report(DurationMs(0), fixture.now_ms);
    assert_eq!(report.ended, [], "the leader has to record the doubt");
    assert_eq!(report.backend.and_then(|b| b.draining), None);
    fixture.doubt_completions(1);
    let calls = fixture.order_all(&[run(2, 1), run(3, 1)]);
    assert_eq!(
        calls,
        [
            (run(2, 1), "start"),
            (run(2, 1), "stop"),
            (run(3, 1), "start")
        ]
    );
    let ends = fixture.backend_report().expect("it is current").ends;
    assert_eq!((ends[0].run, ends[0].end), (run(2, 1), RunOutcome::Stopped));
}

/// Guards against a run that ends without a trace, since its completion is deleted by an acknowledgement for the
/// earlier incarnation; its task would run twice, or its flow stay open (soak seed 3 with eight restarts).
#[test]
fn incarnation_that_an_earlier_acknowledgement_has_reached_loses_no_result() {
    let mut fixture = RestartFixture::with_open_ack(1);
    fixture.carry_out_late_acks();
    fixture.doubt_completions(1);
    let calls = fixture.order_all(&[run(2, 1), run(3, 1), run(4, 1)]);
    assert_eq!(
        calls,
        [
            (run(2, 1), "start"),
            (run(2, 1), "stop"),
            (run(3, 1), "start"),
            (run(3, 1), "stop"),
            (run(4, 1), "start"),
        ]
    );
    let report = fixture.backend_report().expect("it is current");
    let placed_elsewhere: Vec<_> = report.unstarted.iter().map(|u| u.run).collect();
    assert_eq!(placed_elsewhere, [run(2, 1)], "its completion is deleted");
    assert_eq!(report.ends[0].run, run(3, 1));
    assert_eq!(report.draining, None);
}

/// Guards against an acknowledgement that is carried out after the trial that it could have shown in.
#[test]
fn acknowledgement_that_arrives_after_a_trial_has_no_effect() {
    let mut fixture = RestartFixture::with_open_ack(5);
    fixture.doubt_completions(5);
    fixture.order_all(&[run(2, 1), run(3, 1)]);
    fixture.carry_out_late_acks();
    fixture.backend.end(run(3, 1), RunOutcome::Done);
    fixture.advance(600);
    let ends = fixture.backend_report().expect("it is current").ends;
    let ends: Vec<_> = ends.iter().map(|end| (end.run, end.end)).collect();
    let expected = [
        (run(2, 1), RunOutcome::Stopped),
        (run(3, 1), RunOutcome::Done),
    ];
    assert_eq!(ends, expected);
}

/// Guards against thousands of trials on a backend server that deletes as many completions.
#[test]
fn incarnation_that_deletes_many_completions_gets_no_work() {
    let mut fixture = RestartFixture::with_open_ack(100_000);
    fixture.carry_out_late_acks();
    fixture.doubt_completions(100_000);
    let calls = fixture.order_all(&[run(2, 1), run(3, 1)]);
    assert_eq!(
        calls,
        [
            (run(2, 1), "start"),
            (run(2, 1), "stop"),
            (run(3, 1), "stop")
        ]
    );
    let report = fixture.backend_report().expect("it is current");
    assert_eq!(report.draining, Some(DurationMs(0)), "it is not to be used");
    assert_eq!(report.unstarted.len(), 2, "placed elsewhere: {report:?}");
}
