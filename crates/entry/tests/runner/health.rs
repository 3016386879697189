//! The liveness and readiness checks for the load balancer.

use std::time::{
    Duration,
    Instant, //
};

use hyper::Method;
use roseridge_entry::{
    ControlAnswer,
    ReadyState, //
};
use roseridge_model::ConfigRevision;
use roseridge_testutils::cases;

use crate::entry_fixture::{
    EntryFixture,
    run,
    send, //
};

/// Whether an entry is stopping, the age of the control group's last reply in seconds, and the
/// expected state.
struct ReadyCase {
    stopping: bool,
    answer_age_s: Option<u64>,
    state: ReadyState,
}

fn check(case: ReadyCase) {
    let answered_at = Instant::now();
    let now = answered_at + Duration::from_secs(case.answer_age_s.unwrap_or_default());
    let answer = case.answer_age_s.map(|_| ControlAnswer {
        at: answered_at,
        revision: ConfigRevision(1),
    });
    assert_eq!(ReadyState::evaluate(case.stopping, answer, now), case.state);
}

cases! { check:
    fresh_answer = ReadyCase { stopping: false, answer_age_s: Some(5), state: ReadyState::Ready },
    old_answer = ReadyCase { stopping: false, answer_age_s: Some(6), state: ReadyState::NoLeader },
    no_answer = ReadyCase { stopping: false, answer_age_s: None, state: ReadyState::NoLeader },
    stopping = ReadyCase { stopping: true, answer_age_s: Some(0), state: ReadyState::Stopping },
    stopping_without_answer = ReadyCase {
        stopping: true, answer_age_s: None, state: ReadyState::Stopping,
    },
}

#[test]
fn entry_with_a_leader_is_ready() {
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let live = send(entry.callers, Method::GET, "/livez", "", None).await;
        assert_eq!((live.status, live.body.as_str()), (200, "live\n"));
        let ready = send(entry.callers, Method::GET, "/readyz", "", None).await;
        assert_eq!((ready.status, ready.body.as_str()), (200, "ready\n"));
        entry.finish().await;
    });
}

#[test]
fn entry_without_a_leader_is_live_but_not_ready() {
    run(async {
        let entry = EntryFixture::start_in_group(3).await;
        let ready = send(entry.callers, Method::GET, "/readyz", "", None).await;
        assert_eq!((ready.status, ready.body.as_str()), (503, "no leader\n"));
        let live = send(entry.callers, Method::GET, "/livez", "", None).await;
        assert_eq!(live.status, 200);
        entry.finish().await;
    });
}
