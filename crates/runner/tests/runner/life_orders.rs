//! Every order, up to a bound, of the events in the life of one backend server.
//!
//! The kinds of event are few; what breaks is their order. Random days seldom have three of them within the seconds in
//! which a call may be carried out late.

use std::{
    num::NonZero,
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    thread, //
};

use crate::server_life::{
    CallFault::{
        Copied,
        Late, //
    },
    CallKind::{
        Ack,
        Start, //
    },
    LateCallRule::{
        self,
        AtOnce,
        InUse, //
    },
    LifeEvent::{
        self,
        CarryOut,
        ChangeLeader,
        Fault,
        RestartAgent,
        RestartBoth,
        RestartServer,
        Submit,
        Wait, //
    },
    ServerLife, //
};

/// The environment variable with another number of events in a row, for longer plays by hand.
const BOUND_VARIABLE: &str = "ROSERIDGE_LIFE_EVENTS";
/// The number of orders that are shown if any breaks a rule.
const MAX_SHOWN: usize = 12;

/// Returns the sequence of events with a number, in the numbering of all sequences of a length.
fn sequence(events: &[LifeEvent], length: u32, number: usize) -> Vec<LifeEvent> {
    let digit = |place| number / events.len().pow(place) % events.len();
    (0..length).map(|place| events[digit(place)]).collect()
}

/// Plays all sequences of `bound` events after a first one, and returns those that break a rule.
fn broken_orders(
    late_rule: LateCallRule,
    first: &[LifeEvent],
    events: &[LifeEvent],
    bound: u32,
) -> Vec<String> {
    let bound = std::env::var(BOUND_VARIABLE).map_or(bound, |text| text.parse().expect("a number"));
    let count = events.len().pow(bound);
    let next = AtomicUsize::new(0);
    let play_all = || {
        let mut broken = Vec::new();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= count {
                return broken;
            }
            let order = [first, &sequence(events, bound, number)].concat();
            let mut life = ServerLife::new(late_rule);
            order.iter().for_each(|event| life.play(*event));
            let breaks = life.finish();
            if !breaks.is_empty() {
                broken.push(format!("{order:?}: {breaks:?}"));
            }
        }
    };
    let threads = thread::available_parallelism().map_or(1, NonZero::get);
    thread::scope(|scope| {
        let players: Vec<_> = (0..threads).map(|_| scope.spawn(play_all)).collect();
        let broken = players.into_iter().map(|player| player.join());
        broken
            .flat_map(|broken| broken.expect("no panic"))
            .collect()
    })
}

/// Names each set of events of which every order is played.
macro_rules! cases {
    ($($(#[$attributes:meta])* $name:ident: $rule:expr, $first:expr, $events:expr, $bound:expr;)*) => {
        $(
            $(#[$attributes])*
            #[test]
            fn $name() {
                let mut broken = broken_orders($rule, &$first, &$events, $bound);
                broken.sort_by_key(String::len);
                let (count, shown) = (broken.len(), MAX_SHOWN.min(broken.len()));
                assert!(broken.is_empty(), "{count} orders: {:#?}", &broken[..shown]);
            }
        )*
    };
}

cases! {
    /// Guards against completions that an acknowledgement for an earlier incarnation deletes, and against a backend
    /// server that gets no work any more (`review/9`, `review/12`).
    acknowledgements_in_every_order:
        AtOnce, [Fault(Ack, Late), Submit],
        [Submit, Fault(Ack, Copied), CarryOut, RestartServer, RestartAgent, RestartBoth, ChangeLeader, Wait],
        3;

    /// Guards against runs of an earlier incarnation that begin on a later one while that is in use.
    starts_in_every_order_on_incarnations_in_use:
        InUse, [Fault(Start, Late), Submit],
        [Submit, Fault(Start, Copied), CarryOut, RestartServer, RestartAgent, RestartBoth, ChangeLeader, Wait],
        3;

    /// As before, with starts that the later incarnation carries out before any call of its own (`review/2`, `review/6`).
    starts_in_every_order:
        AtOnce, [Fault(Start, Late), Submit],
        [Submit, Fault(Start, Copied), CarryOut, RestartServer, RestartAgent, RestartBoth, ChangeLeader, Wait],
        3;
}
