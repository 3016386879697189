//! Refused callers: when they are told to return, and who goes first.

use roseridge_dispatch::{
    RefusedFlow,
    ReturnList, //
};
use roseridge_model::{
    DurationMs,
    FlowId, //
};

use crate::small_site::customer;

/// The time of the refusals, in milliseconds.
const NOW_MS: u64 = 1_000_000;
/// A capacity of four workers, in thousandths.
const FOUR_WORKERS: u64 = 4_000;

/// A flow of eight seconds on one worker.
fn refused(flow: u64) -> RefusedFlow {
    RefusedFlow {
        flow: FlowId(flow),
        rank: 1,
        work: DurationMs(8_000),
        patience: DurationMs(30_000),
    }
}

fn record(list: &mut ReturnList, owner: usize, flow: u64, now_ms: u64) -> u64 {
    let wait = (DurationMs(500), FOUR_WORKERS);
    let customer = customer(owner);
    list.record(Some(&customer), refused(flow), wait, now_ms).0
}

/// Guards against all callers returning at the same time after a burst.
#[test]
fn returns_are_spread_over_the_capacity() {
    let mut list = ReturnList::default();
    let told: Vec<_> = (0..5)
        .map(|flow| record(&mut list, 0, flow, NOW_MS))
        .collect();
    // Each flow occupies the four workers for two seconds.
    assert_eq!(told, [1_000, 3_000, 5_000, 7_000, 9_000]);
}

/// Guards against newcomers that take the place of callers who return when they were told.
#[test]
fn returns_go_before_newcomers_of_their_customer() {
    let mut list = ReturnList::default();
    record(&mut list, 0, 1, NOW_MS);
    record(&mut list, 0, 2, NOW_MS);
    let ahead = |flow, owner, rank| {
        list.work_ahead(Some(&customer(owner)), FlowId(flow), rank)
            .0
    };
    assert_eq!(ahead(9, 0, 1), 16_000);
    assert_eq!(ahead(2, 0, 1), 8_000);
    assert_eq!(ahead(1, 0, 1), 0);
    // Other customers and more urgent ranks don't wait for them.
    assert_eq!(ahead(9, 1, 1), 0);
    assert_eq!(ahead(9, 0, 0), 0);
}

/// Guards against a caller who loses its turn because it is refused twice.
#[test]
fn second_refusal_keeps_the_place() {
    let mut list = ReturnList::default();
    record(&mut list, 0, 1, NOW_MS);
    record(&mut list, 0, 2, NOW_MS + 10);
    record(&mut list, 0, 1, NOW_MS + 1_000);
    let owner = customer(0);
    assert_eq!(list.work_ahead(Some(&owner), FlowId(1), 1).0, 0);
    assert_eq!(list.work_ahead(Some(&owner), FlowId(2), 1).0, 8_000);
}

/// Guards against capacity that is kept for callers who never return.
#[test]
fn callers_who_never_return_are_forgotten() {
    let mut list = ReturnList::default();
    record(&mut list, 0, 1, NOW_MS);
    list.expire(NOW_MS + 1_900);
    assert_eq!(list.len(), 1);
    list.expire(NOW_MS + 2_001);
    assert!(list.is_empty());
}

/// Guards against expecting callers whose time has run out when they could be served.
#[test]
fn callers_who_give_up_earlier_are_not_expected() {
    let mut list = ReturnList::default();
    let owner = customer(0);
    let impatient = RefusedFlow {
        patience: DurationMs(3_000),
        ..refused(1)
    };
    let wait = (DurationMs(3_200), FOUR_WORKERS);
    let told = list.record(Some(&owner), impatient, wait, NOW_MS);
    assert_eq!(told, DurationMs(4_000));
    assert!(list.is_empty());
}

/// Guards against memory that grows with the refusals of one customer.
#[test]
fn returns_of_a_customer_are_bounded() {
    let mut list = ReturnList::default();
    for flow in 0..10_000 {
        let owner = customer(0);
        let small = RefusedFlow {
            work: DurationMs(0),
            ..refused(flow)
        };
        list.record(Some(&owner), small, (DurationMs(500), FOUR_WORKERS), NOW_MS);
    }
    assert_eq!(list.len(), 64);
}

/// Guards against returns that are refused by a new leader: its list is empty, and nobody goes first.
#[test]
fn new_leader_takes_returns_like_newcomers() {
    let mut list = ReturnList::default();
    record(&mut list, 0, 1, NOW_MS);
    let next = ReturnList::default();
    let owner = customer(0);
    assert_eq!(next.work_ahead(Some(&owner), FlowId(1), 1), DurationMs(0));
    assert_eq!(next.work_ahead(Some(&owner), FlowId(9), 1), DurationMs(0));
}
