//! Cases of backend servers that restart under their name, and of late starts.

use roseridge_flow::RunOutcome;
use roseridge_model::{
    DomainName,
    DurationMs,
    RackName,
    RunKey,
    ServiceName, //
};
use roseridge_runner::{
    RunAnswer,
    RunCall,
    RunTable,
    RunnerTiming, //
};
use roseridge_wire::{
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
/// The time after which no call of an earlier agent can be carried out any more, in milliseconds.
const SETTLE_MS: u64 = 13_000;

/// A run table and the backend server behind it, which may be replaced.
pub(crate) struct RestartFixture {
    pub(crate) table: RunTable,
    pub(crate) backend: FakeBackend,
    pub(crate) now_ms: u64,
    index: u64,
    /// The number of incarnations, by which the fence of the orders grows.
    incarnations: u64,
    pub(crate) calls: Vec<RunCall>,
    /// Whether calls have no answer and are not carried out.
    pub(crate) is_down: bool,
    /// Whether acknowledgements are carried out and have no answer.
    pub(crate) loses_ack_answers: bool,
    /// Whether starts have no answer and are not carried out yet.
    holds_starts: bool,
}

impl RestartFixture {
    /// Creates a backend server and an agent that has been in contact with it for some time.
    pub(crate) fn new(incarnation: &str) -> Self {
        let list_wait = DurationMs(500);
        let mut fixture = Self {
            table: RunTable::new(instance(), RunnerTiming { list_wait }),
            backend: FakeBackend::new(incarnation),
            now_ms: 1_000,
            index: 0,
            incarnations: 1,
            calls: Vec::new(),
            is_down: false,
            loses_ack_answers: false,
            holds_starts: false,
        };
        fixture.announce();
        fixture.advance(SETTLE_MS);
        fixture
    }

    /// Lets the present incarnation report itself and answers the calls that follow.
    pub(crate) fn announce(&mut self) {
        let report = status_report(self.backend.incarnation.as_str(), 1);
        self.table.apply_status_report(report);
        self.answer_calls();
    }

    fn answer_call(&mut self, number: u64, call: &RunCall) {
        let is_held = self.holds_starts && matches!(call, RunCall::Start { .. });
        let is_lost = self.loses_ack_answers
            && matches!(call, RunCall::Renew { ends_seen, .. } if *ends_seen > 0);
        let answer = match self.is_down || is_held {
            true => RunAnswer::NoAnswer,
            false => self.backend.answer(call),
        };
        let answer = match is_lost {
            true => RunAnswer::NoAnswer,
            false => answer,
        };
        self.table.apply_answer(number, call, answer, self.now_ms);
    }

    fn answer_calls(&mut self) {
        for _ in 0..30 {
            let calls = self.table.next_calls(self.now_ms);
            if calls.is_empty() {
                return;
            }
            for (number, call) in calls {
                self.calls.push(call.clone());
                self.answer_call(number, &call);
            }
        }
    }

    pub(crate) fn advance(&mut self, elapsed_ms: u64) {
        for _ in 0..elapsed_ms / 50 {
            self.now_ms += 50;
            self.backend.advance(50);
            self.answer_calls();
        }
    }

    pub(crate) fn order(&mut self, runs: &[(RunKey, bool)]) {
        self.index += 1;
        let orders = runs.iter().map(|(run, stop)| RunOrder {
            run: *run,
            stop: *stop,
            saved: String::new(),
        });
        self.table.apply_orders(FlowOrders {
            backend: self.table.backend().cloned(),
            fence: 2 + self.incarnations,
            index: self.index,
            runs: Some(orders.collect()),
            texts: runs
                .iter()
                .map(|(run, _)| (run.task.flow, "text".to_owned()))
                .collect(),
            lease_until_ms: Some(self.backend.clock_ms + LEASE_MS),
            ..FlowOrders::default()
        });
        self.answer_calls();
    }

    /// Returns the incarnation that the next report names, and the ended ones.
    fn reported(&mut self) -> (Option<String>, Vec<String>) {
        let report = self.table.report(DurationMs(0), self.now_ms);
        let current = report.backend.map(|b| b.backend.as_str().to_owned());
        let ended = report.ended.iter().map(|id| id.as_str().to_owned());
        (current, ended.collect())
    }

    pub(crate) fn stops(&self, incarnation: &str) -> Vec<RunKey> {
        let stops = self.calls.iter().filter_map(|call| match call {
            RunCall::Stop { backend, run, .. } if backend.as_str() == incarnation => Some(*run),
            _ => None,
        });
        stops.collect()
    }

    pub(crate) fn starts(&self, incarnation: &str) -> Vec<RunKey> {
        let starts = self.calls.iter().filter_map(|call| match call {
            RunCall::Start { backend, run, .. } if backend.as_str() == incarnation => Some(*run),
            _ => None,
        });
        starts.collect()
    }

    /// Replaces the incarnation, whose runs and state are gone.
    pub(crate) fn restart(&mut self, incarnation: &str) {
        self.incarnations += 1;
        self.backend = FakeBackend::new(incarnation);
    }

    /// Carries out the starts that were sent to an incarnation, on the present one.
    fn carry_out_late_starts(&mut self, incarnation: &str) {
        let starts = self.calls.iter().filter(|call| {
            matches!(call, RunCall::Start { .. }) && call.backend().as_str() == incarnation
        });
        for start in starts {
            self.backend.answer(start);
        }
    }
}

/// Guards against a start that the later incarnation carries out after the task was placed again: it
/// has to be stopped before the leader learns of the later incarnation.
#[test]
fn start_of_an_earlier_incarnation_is_stopped_before_the_later_one_is_reported() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.holds_starts = true;
    fixture.order(&[(run(1, 1), false)]);
    fixture.restart("i-1@9");
    fixture.is_down = true;
    fixture.announce();
    fixture.is_down = false;
    fixture.announce();
    assert_eq!(fixture.stops("i-1@9"), [run(1, 1)]);
    let expected = (Some("i-1@9".to_owned()), vec!["i-1@5".to_owned()]);
    assert_eq!(fixture.reported(), expected, "the barrier is passed");
    fixture.order(&[]);
    assert_eq!(fixture.reported().1, Vec::<String>::new(), "accepted");
    fixture.carry_out_late_starts("i-1@5");
    assert!(
        fixture.backend.starts.is_empty(),
        "the late start is refused"
    );
}

/// Guards against a start of the earlier incarnation that is already carried out when the later one
/// answers for the first time.
#[test]
fn start_carried_out_before_the_barrier_is_ended() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.holds_starts = true;
    fixture.order(&[(run(1, 1), false)]);
    fixture.restart("i-1@9");
    fixture.carry_out_late_starts("i-1@5");
    assert!(fixture.backend.running.contains_key(&run(1, 1)));
    fixture.announce();
    assert!(fixture.backend.running.is_empty());
    assert_eq!(fixture.table.backend(), Some(&backend("i-1@9")));
}

/// Guards against a barrier that a stop without an answer leaves open.
#[test]
fn barrier_repeats_a_stop_without_an_answer() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.order(&[(run(1, 1), false)]);
    fixture.order(&[(run(1, 1), true)]);
    fixture.restart("i-1@9");
    fixture.table.apply_status_report(status_report("i-1@9", 1));
    // The first call to the candidate is its list; the stops after it are lost.
    for (number, call) in fixture.table.next_calls(fixture.now_ms) {
        fixture.answer_call(number, &call);
    }
    fixture.is_down = true;
    fixture.answer_calls();
    assert_eq!(fixture.reported(), (None, Vec::new()), "nothing is settled");
    fixture.is_down = false;
    fixture.advance(300);
    assert!(fixture.stops("i-1@9").len() >= 2);
    assert_eq!(fixture.reported().0.as_deref(), Some("i-1@9"));
}

/// Guards against a barrier that is passed although a stop, whose answer was positive, has left its run
/// listed.
#[test]
fn barrier_stops_a_run_again_that_stays_listed() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.order(&[(run(1, 1), false)]);
    fixture.restart("i-1@9");
    fixture.table.apply_status_report(status_report("i-1@9", 1));
    let mut stops = 0;
    for _ in 0..20 {
        fixture.now_ms += 50;
        for (number, call) in fixture.table.next_calls(fixture.now_ms) {
            let answer = fixture.backend.answer(&call);
            stops += usize::from(matches!(call, RunCall::Stop { .. }));
            if stops < 3 {
                fixture.backend.running.insert(run(1, 1), String::new());
                assert_eq!(fixture.table.backend(), Some(&backend("i-1@5")));
            }
            let now_ms = fixture.now_ms;
            fixture.table.apply_answer(number, &call, answer, now_ms);
        }
    }
    assert_eq!(stops, 3);
    assert_eq!(fixture.reported().0.as_deref(), Some("i-1@9"));
}

/// Guards against a gang of which only some members are stopped: all of them have been started on the
/// earlier incarnation, more than there are stops in flight at a time.
#[test]
fn barrier_stops_all_members_of_a_gang() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.holds_starts = true;
    let gang: Vec<_> = (1..=9).map(|flow| (run(flow, 1), false)).collect();
    fixture.order(&gang);
    fixture.restart("i-1@9");
    fixture.announce();
    let runs: Vec<_> = gang.iter().map(|(run, _)| *run).collect();
    assert_eq!(fixture.stops("i-1@9"), runs);
    fixture.carry_out_late_starts("i-1@5");
    assert!(fixture.backend.running.is_empty());
}

/// Guards against an incarnation that counts as ended as soon as a list names another one: starts that
/// were sent to it may still be carried out.
#[test]
fn list_of_a_later_incarnation_ends_nothing_before_the_barrier() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.order(&[(run(1, 1), false)]);
    fixture.restart("i-1@9");
    fixture.advance(1_000);
    assert_eq!(fixture.reported(), (None, Vec::new()));
    let calls = fixture.calls.len();
    fixture.advance(1_000);
    assert_eq!(
        fixture.calls.len(),
        calls,
        "the later one gets no such call"
    );
    fixture.announce();
    assert_eq!(fixture.reported().0.as_deref(), Some("i-1@9"));
    assert_eq!(fixture.stops("i-1@9"), [run(1, 1)]);
}

/// Guards against starts that are compared by their order: a clock may be stepped back.
#[test]
fn incarnation_with_an_earlier_start_replaces_the_current_one() {
    let mut fixture = RestartFixture::new("i-1@9");
    fixture.order(&[(run(1, 1), false)]);
    fixture.restart("i-1@5");
    fixture.announce();
    assert_eq!(fixture.reported().0.as_deref(), Some("i-1@5"));
    assert_eq!(fixture.stops("i-1@5"), [run(1, 1)]);
    // A late report of the ended incarnation changes nothing.
    fixture
        .table
        .apply_status_report(status_report("i-1@9", 99));
    fixture.answer_calls();
    assert_eq!(fixture.reported().0.as_deref(), Some("i-1@5"));
}

/// Guards against a profile that is carried over from the earlier incarnation.
#[test]
fn later_incarnation_is_reported_with_its_own_profile() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.order(&[(run(1, 1), false)]);
    fixture.restart("i-1@9");
    let mut moved = status_report("i-1@9", 1);
    moved.profile.rack = RackName::parse("r-7").ok();
    moved.profile.domain = DomainName::parse("elsewhere").expect("a name");
    moved.profile.shape.accelerators = 2;
    fixture.table.apply_status_report(moved.clone());
    fixture.answer_calls();
    let report = fixture.table.report(DurationMs(0), fixture.now_ms);
    let report = report.backend.expect("a current incarnation");
    assert_eq!(report.profile, Some(moved.profile));
    assert!(report.running.is_empty() && report.ends.is_empty());
    assert_eq!(report.known_orders, 0, "its orders start anew");
}

/// Guards against a barrier that is passed by stops which a third incarnation carried out.
#[test]
fn incarnation_that_ends_during_the_barrier_leaves_it_to_the_next() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.holds_starts = true;
    fixture.order(&[(run(1, 1), false)]);
    fixture.restart("i-1@7");
    fixture.table.apply_status_report(status_report("i-1@7", 1));
    let calls = fixture.table.next_calls(fixture.now_ms);
    for (number, call) in &calls {
        fixture.calls.push(call.clone());
        fixture.answer_call(*number, call);
    }
    let stops = fixture.table.next_calls(fixture.now_ms);
    fixture.restart("i-1@9");
    for (number, call) in &stops {
        fixture.calls.push(call.clone());
        fixture.answer_call(*number, call);
    }
    fixture.answer_calls();
    assert_eq!(fixture.reported().0, None, "no incarnation has passed");
    fixture.restart("i-1@11");
    fixture.announce();
    assert_eq!(fixture.reported().0.as_deref(), Some("i-1@11"));
    assert_eq!(fixture.stops("i-1@11"), [run(1, 1)]);
    fixture.carry_out_late_starts("i-1@5");
    assert!(fixture.backend.running.is_empty());
}

/// Guards against late starts after an announced shutdown, which ends the incarnation at once, and
/// after a second restart in a row.
#[test]
fn starts_of_all_recent_incarnations_are_stopped() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.holds_starts = true;
    fixture.order(&[(run(1, 1), false)]);
    fixture
        .table
        .record_shutdown_notice(&backend("i-1"), fixture.now_ms);
    fixture.is_down = true;
    fixture.advance(1_500);
    assert_eq!(fixture.reported(), (None, vec!["i-1@5".to_owned()]));
    fixture.is_down = false;
    fixture.restart("i-1@7");
    fixture.announce();
    fixture.restart("i-1@9");
    fixture.announce();
    assert_eq!(fixture.stops("i-1@7"), [run(1, 1)]);
    assert_eq!(fixture.stops("i-1@9"), [run(1, 1)]);
    fixture.carry_out_late_starts("i-1@5");
    assert!(fixture.backend.running.is_empty());
}

/// Guards against further calls on installations whose backend servers change their name.
#[test]
fn incarnation_with_another_name_needs_no_barrier() {
    for (earlier, later) in [("i-1", "i-2"), ("i-1@5", "i-2@9")] {
        let mut fixture = RestartFixture::new(earlier);
        fixture.order(&[(run(1, 1), false)]);
        fixture.restart(later);
        fixture.advance(600);
        assert_eq!(fixture.reported(), (None, vec![earlier.to_owned()]));
        fixture.table.apply_status_report(status_report(later, 1));
        let calls = fixture.table.next_calls(fixture.now_ms);
        assert!(
            matches!(calls.as_slice(), [(_, RunCall::Renew { .. })]),
            "one list: {calls:?}"
        );
        let (number, call) = &calls[0];
        fixture.answer_call(*number, call);
        assert_eq!(fixture.reported().0.as_deref(), Some(later));
        fixture.answer_calls();
        assert!(fixture.stops(later).is_empty());
    }
}

/// Guards against a report from another writer that restarts the barrier or replaces its incarnation.
#[test]
fn report_of_an_unknown_incarnation_does_not_end_the_barrier() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.order(&[(run(1, 1), false)]);
    fixture.restart("i-1@9");
    fixture.table.apply_status_report(status_report("i-1@9", 1));
    let calls = fixture.table.next_calls(fixture.now_ms);
    for (number, call) in &calls {
        fixture.answer_call(*number, call);
    }
    fixture
        .table
        .apply_status_report(status_report("i-1@77", 1));
    fixture.table.apply_status_report(status_report("i-1", 1));
    fixture.answer_calls();
    assert_eq!(fixture.reported().0.as_deref(), Some("i-1@9"));
}

/// Guards against another writer's report with a different service, and against its report number.
#[test]
fn report_with_another_service_changes_nothing() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.order(&[]);
    let mut foreign = status_report("i-1@5", 1_000_000);
    foreign.profile.service = ServiceName::parse("other").expect("a name");
    foreign.profile.shape.accelerators = 0;
    assert!(!fixture.table.apply_status_report(foreign));
    let mut own = status_report("i-1@5", 2);
    own.profile.shape.accelerators = 3;
    assert!(fixture.table.apply_status_report(own.clone()));
    let report = fixture.table.report(DurationMs(0), fixture.now_ms);
    let report = report.backend.expect("a current incarnation");
    assert_eq!(report.profile, Some(own.profile));
}

/// Guards against a first report from another writer whose service would shut out the own one.
#[test]
fn wrong_service_can_be_corrected_before_the_leader_accepts_it() {
    let list_wait = DurationMs(500);
    let mut table = RunTable::new(instance(), RunnerTiming { list_wait });
    let mut fake = FakeBackend::new("i-1");
    let mut foreign = status_report("i-1", 1);
    foreign.profile.service = ServiceName::parse("other").expect("a name");
    table.apply_status_report(foreign);
    for (number, call) in table.next_calls(1_000) {
        table.apply_answer(number, &call, fake.answer(&call), 1_000);
    }
    assert!(table.apply_status_report(status_report("i-1", 2)));
    let report = table.report(DurationMs(0), 1_000).backend;
    let profile = report.and_then(|report| report.profile);
    assert_eq!(profile, Some(status_report("i-1", 2).profile));
}

/// Guards against a stop that is answered but leaves its run listed, and against a run that reappears.
#[test]
fn unordered_run_is_stopped_until_it_is_no_longer_listed() {
    let mut fixture = RestartFixture::new("i-1");
    fixture.order(&[]);
    let late = run(4, 1);
    for round in 1..=3 {
        // Each time the run reappears, for instance by a further late start.
        fixture.backend.running.insert(late, String::new());
        fixture.advance(700);
        assert!(
            !fixture.backend.running.contains_key(&late),
            "round {round}"
        );
        assert_eq!(fixture.stops("i-1").len(), round);
    }
    // A stop that has no effect is repeated, at a bounded rate.
    let renewals_keep_it = |fixture: &mut RestartFixture| {
        for _ in 0..40 {
            fixture.now_ms += 50;
            for (number, call) in fixture.table.next_calls(fixture.now_ms) {
                fixture.calls.push(call.clone());
                let answer = fixture.backend.answer(&call);
                fixture.backend.running.insert(late, String::new());
                let now_ms = fixture.now_ms;
                fixture.table.apply_answer(number, &call, answer, now_ms);
            }
        }
    };
    renewals_keep_it(&mut fixture);
    let repeated = fixture.stops("i-1").len() - 3;
    assert!((3..=5).contains(&repeated), "{repeated} stops in 2 s");
}

/// Guards against a late start that outlives its agent and its leader: a new agent finds it in the
/// list and stops it with the orders of the new leader.
#[test]
fn late_start_is_stopped_by_a_restarted_agent_under_a_new_leader() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.holds_starts = true;
    fixture.order(&[(run(1, 1), false)]);
    let start = fixture
        .calls
        .iter()
        .find(|c| matches!(c, RunCall::Start { .. }));
    let start = start.cloned().expect("a start");
    let list_wait = DurationMs(500);
    fixture.table = RunTable::new(instance(), RunnerTiming { list_wait });
    fixture.announce();
    // The backend server has seen a higher term; the agent learns it from the first orders.
    fixture.order(&[]);
    fixture.advance(200);
    fixture.order(&[]);
    fixture.advance(8_000);
    fixture.backend.answer(&start);
    assert!(fixture.backend.running.contains_key(&run(1, 1)));
    fixture.advance(1_000);
    assert!(fixture.backend.running.is_empty());
}

/// Guards against a run that starts although its stop was answered, while it is reported as unstarted.
#[test]
fn run_that_starts_after_its_stop_is_stopped_again() {
    let mut fixture = RestartFixture::new("i-1");
    fixture.holds_starts = true;
    fixture.order(&[(run(1, 1), false)]);
    fixture.order(&[(run(1, 1), true)]);
    fixture.advance(1_000);
    fixture.backend.running.insert(run(1, 1), String::new());
    fixture.advance(1_200);
    assert!(fixture.backend.running.is_empty());
}

/// Guards against a backend server that is down and gets a connection every 100 ms, and against a
/// pause that outlasts its return.
#[test]
fn attempts_on_a_backend_server_that_is_down_back_off() {
    let mut fixture = RestartFixture::new("i-1");
    fixture.order(&[(run(1, 1), false)]);
    fixture.is_down = true;
    fixture.advance(1_500);
    let before = fixture.calls.len();
    fixture.advance(10_000);
    let attempts = fixture.calls.len() - before;
    assert!((9..=21).contains(&attempts), "{attempts} attempts in 10 s");
    fixture.is_down = false;
    let report = status_report("i-1", 2);
    assert!(fixture.table.apply_status_report(report));
    fixture.answer_calls();
    assert!(
        fixture.calls.len() > before + attempts,
        "at once after a report"
    );
}

/// Guards against a barrier that keeps connecting to an incarnation which is down.
#[test]
fn stops_of_a_barrier_back_off_too() {
    let mut fixture = RestartFixture::new("i-1@5");
    let runs: Vec<_> = (1..=9).map(|flow| (run(flow, 1), false)).collect();
    fixture.order(&runs);
    fixture.restart("i-1@9");
    fixture.table.apply_status_report(status_report("i-1@9", 1));
    for (number, call) in fixture.table.next_calls(fixture.now_ms) {
        fixture.answer_call(number, &call);
    }
    fixture.is_down = true;
    fixture.advance(1_500);
    let before = fixture.calls.len();
    fixture.advance(10_000);
    let attempts = fixture.calls.len() - before;
    assert!((9..=21).contains(&attempts), "{attempts} attempts in 10 s");
    fixture.is_down = false;
    fixture.table.apply_status_report(status_report("i-1@9", 2));
    fixture.answer_calls();
    assert_eq!(fixture.reported().0.as_deref(), Some("i-1@9"));
}

/// Guards against a run that is taken as not running because its row, or a row that may be its own,
/// can't be read.
#[test]
fn unreadable_row_proves_nothing_about_a_run() {
    let mut fixture = RestartFixture::new("i-1");
    fixture.order(&[(run(1, 1), false)]);
    for _ in 0..100 {
        fixture.now_ms += 50;
        for (number, call) in fixture.table.next_calls(fixture.now_ms) {
            let mut answer = fixture.backend.answer(&call);
            if let RunAnswer::Done {
                list: Some(list), ..
            } = &mut answer
            {
                list.unreadable_running = list.running.len();
                list.running.clear();
            }
            assert!(!matches!(call, RunCall::Stop { .. }));
            let now_ms = fixture.now_ms;
            fixture.table.apply_answer(number, &call, answer, now_ms);
        }
    }
    fixture.backend.end(run(1, 1), RunOutcome::Done);
    fixture.answer_calls();
    let report = fixture.table.report(DurationMs(0), fixture.now_ms);
    let report = report.backend.expect("a current incarnation");
    assert!(report.unstarted.is_empty());
    assert_eq!(report.ends.len(), 1);
}

impl RestartFixture {
    /// Ends a run and lets the leader acknowledge its completion, which has number one.
    pub(crate) fn complete_first(&mut self, run: RunKey) {
        self.order(&[(run, false)]);
        self.backend.end(run, RunOutcome::Done);
        self.advance(600);
        self.acknowledge(1);
    }

    /// Applies orders that acknowledge completions, without answering the calls that follow.
    pub(crate) fn acknowledge(&mut self, ends_seen: u64) {
        self.index += 1;
        self.table.apply_orders(FlowOrders {
            backend: self.table.backend().cloned(),
            fence: 2 + self.incarnations,
            index: self.index,
            runs: Some(Vec::new()),
            lease_until_ms: Some(self.backend.clock_ms + LEASE_MS),
            ends_seen,
            ..FlowOrders::default()
        });
    }

    /// Returns the acknowledged numbers and the leases of the renewals since a call.
    fn renewals_since(&self, call: usize) -> Vec<(u64, bool)> {
        let renewals = self.calls[call..].iter().filter_map(|call| match call {
            RunCall::Renew {
                ends_seen,
                lease_until_ms,
                ..
            } => Some((*ends_seen, lease_until_ms.is_some())),
            _ => None,
        });
        renewals.collect()
    }
}

/// Guards against acknowledgements that are sent over and over, of which one reaches a later incarnation.
#[test]
fn acknowledgement_is_sent_until_it_is_answered() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.complete_first(run(1, 1));
    let before = fixture.calls.len();
    fixture.advance(2_000);
    let acknowledged: Vec<_> = fixture
        .renewals_since(before)
        .into_iter()
        .filter(|(ends_seen, _)| *ends_seen > 0)
        .collect();
    assert_eq!(acknowledged.len(), 1, "{acknowledged:?}");
}

/// Guards against an attempt on a backend server that was down whose acknowledgement and lease a later
/// incarnation carries out.
#[test]
fn attempts_after_a_failure_only_request_a_list() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.complete_first(run(1, 1));
    fixture.is_down = true;
    let before = fixture.calls.len();
    fixture.advance(3_000);
    let renewals = fixture.renewals_since(before);
    assert!(renewals.len() > 2, "{renewals:?}");
    assert!(
        renewals[1..].iter().all(|renewal| *renewal == (0, false)),
        "{renewals:?}"
    );
    fixture.is_down = false;
    let before = fixture.calls.len();
    fixture.advance(2_000);
    let renewals = fixture.renewals_since(before);
    assert!(renewals.contains(&(1, true)), "sent again: {renewals:?}");
}

/// Guards against a backend server that gets no work any more after a restart that no acknowledgement preceded.
#[test]
fn incarnation_after_an_answered_acknowledgement_gets_work() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.complete_first(run(1, 1));
    fixture.advance(200);
    fixture.restart("i-1@9");
    fixture.announce();
    fixture.order(&[(run(2, 1), false)]);
    fixture.advance(1_000);
    assert_eq!(fixture.starts("i-1@9"), [run(2, 1)]);
}

/// Guards against a changed capacity that the leader never learns of, because the announcement of the change was
/// lost after the report with it was answered.
#[test]
fn profile_is_reported_until_the_leader_has_it_in_force() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.order(&[]);
    let reports_profile = |fixture: &mut RestartFixture| {
        let report = fixture.table.report(DurationMs(0), fixture.now_ms);
        report.backend.is_some_and(|b| b.profile.is_some())
    };
    assert!(!reports_profile(&mut fixture), "it is in force");
    let mut report = status_report("i-1@5", 2);
    report.profile.shape.accelerators -= 1;
    fixture.table.apply_status_report(report);
    assert!(reports_profile(&mut fixture));
    let orders = |wants_profile, fixture: &RestartFixture| FlowOrders {
        backend: fixture.table.backend().cloned(),
        lease_until_ms: Some(fixture.backend.clock_ms + LEASE_MS),
        wants_profile,
        ..FlowOrders::default()
    };
    let not_in_force = orders(true, &fixture);
    fixture.table.apply_orders(not_in_force);
    assert!(reports_profile(&mut fixture));
    let in_force = orders(false, &fixture);
    fixture.table.apply_orders(in_force);
    assert!(!reports_profile(&mut fixture));
}

/// Guards against an acknowledgement that waits for a completion and is repeated by other renewals meanwhile, of
/// which a later incarnation may carry out one.
#[test]
fn acknowledgement_is_answered_at_once() {
    let mut fixture = RestartFixture::new("i-1@5");
    fixture.complete_first(run(1, 1));
    let before = fixture.calls.len();
    fixture.advance(2_000);
    let waits = fixture.calls[before..]
        .iter()
        .filter_map(|call| match call {
            RunCall::Renew {
                ends_seen, wait, ..
            } if *ends_seen > 0 => Some(*wait),
            _ => None,
        });
    assert_eq!(waits.collect::<Vec<_>>(), [DurationMs(0)]);
}
