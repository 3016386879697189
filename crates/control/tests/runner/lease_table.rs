//! Guards against leases that expire too early or never, or that another incarnation renews.

use roseridge_control::LeaseTable;
use roseridge_model::{
    IncarnationId,
    WorkerName, //
};

const DURATION_MS: u64 = 11_000;
const FIRST: IncarnationId = IncarnationId(1);
const SECOND: IncarnationId = IncarnationId(2);

fn worker(number: u32) -> WorkerName {
    WorkerName::parse(&format!("worker-{number}")).expect("a name")
}

#[test]
fn a_lease_expires_after_its_duration_without_renewal() {
    let mut table = LeaseTable::new(DURATION_MS);
    table.start(&worker(1), FIRST, 0);
    table.start(&worker(2), FIRST, 0);
    table.renew(&worker(2), FIRST, 5_000);
    assert_eq!(table.take_expired(DURATION_MS - 1), []);
    assert_eq!(table.take_expired(DURATION_MS), [(worker(1), FIRST)]);
    assert_eq!(
        table.take_expired(DURATION_MS + 4_999).len(),
        1,
        "returned again"
    );
    table.end(&worker(1));
    assert_eq!(
        table.take_expired(DURATION_MS + 5_000),
        [(worker(2), FIRST)]
    );
}

#[test]
fn another_incarnation_does_not_renew_a_lease() {
    let mut table = LeaseTable::new(DURATION_MS);
    table.start(&worker(1), FIRST, 0);
    table.renew(&worker(1), SECOND, 10_000);
    assert_eq!(table.take_expired(DURATION_MS), [(worker(1), FIRST)]);
    table.start(&worker(1), SECOND, DURATION_MS);
    table.renew(&worker(1), FIRST, 2 * DURATION_MS - 1);
    assert_eq!(table.take_expired(2 * DURATION_MS), [(worker(1), SECOND)]);
}

#[test]
fn a_lease_that_was_not_started_is_not_renewed() {
    let mut table = LeaseTable::new(DURATION_MS);
    table.renew(&worker(1), FIRST, 0);
    assert_eq!(table.take_expired(u64::MAX), []);
}
