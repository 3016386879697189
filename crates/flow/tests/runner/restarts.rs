//! Backend servers that restart under their name: the fences of their incarnations, and doubts about completions.

use roseridge_flow::{
    FlowChange,
    RunOutcome, //
};
use roseridge_model::BackendId;

use crate::small_site::{
    SmallSite,
    backend,
    profile,
    run,
    step,
    task, //
};

/// The time after which the record of a lost backend server is removed, in milliseconds.
const RETENTION_MS: u64 = 300_000;
/// The time after which no call is carried out any more, in milliseconds.
const LATE_CALL_MS: u64 = 13_000;

fn announce_restarted(site: &mut SmallSite, incarnation: usize, hidden_ends: u64) -> BackendId {
    site.apply(FlowChange::AnnounceRestarted {
        backend: backend(incarnation),
        profile: profile(0),
        hidden_ends,
    });
    backend(incarnation)
}

/// Guards against calls for an earlier incarnation that a later one still carries out, and against a backend server
/// that refuses all calls when it returns after its record was removed.
#[test]
fn fences_grow_with_each_incarnation_and_outlive_the_record() {
    let mut site = SmallSite::new(1);
    let instance = profile(0).instance;
    let first = site.flows.fences.of_instance(&instance);
    assert!(first > 0);
    site.announce(0, 0);
    assert_eq!(site.flows.fences.of_instance(&instance), first, "known");
    site.announce(7, 0);
    let second = site.flows.fences.of_instance(&instance);
    assert!(second > first);
    site.lose(7);
    site.advance(RETENTION_MS);
    site.apply(FlowChange::Expire);
    assert!(site.flows.backends.is_empty());
    assert_eq!(site.flows.fences.of_instance(&instance), second);
}

/// Guards against an incarnation that is trusted because of a completion from before it ignored earlier calls, and
/// against a successor that is trusted while acknowledgements for the incarnations before it are under way.
#[test]
fn doubt_lasts_until_a_run_ordered_there_is_listed() {
    let mut site = SmallSite::new(1);
    site.submit(1, vec![step(2)]);
    let later = announce_restarted(&mut site, 7, 16);
    assert_eq!(site.flows.doubts.hidden_ends(&later), 16);
    let (first, second) = (task(1, 0, 0), task(1, 0, 1));
    site.end(7, 1, run(first, 9), RunOutcome::Stopped);
    assert_eq!(site.flows.doubts.hidden_ends(&later), 16, "not ordered");
    site.place(&[(first, 7)]);
    site.end(7, 2, run(first, 1), RunOutcome::Stopped);
    let doubts = &site.flows.doubts;
    assert_eq!(
        (doubts.hidden_ends(&later), doubts.inherited_ends(&later)),
        (0, 16)
    );
    site.advance(LATE_CALL_MS);
    site.place(&[(second, 7)]);
    site.end(7, 3, run(second, 1), RunOutcome::Done);
    assert_eq!(site.flows.doubts.inherited_ends(&later), 0);
}
