//! The budget of retries.

use roseridge_wire::RetryBudget;

#[test]
fn retries_are_a_share_of_the_calls_once_the_reserve_is_used() {
    let mut budget = RetryBudget::default();
    while budget.take_retry() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_call();
        retries += u32::from(budget.take_retry());
    }
    assert!((199..=201).contains(&retries), "{retries}");
}
