//! Guards against retries that exceed their share of the calls.

use roseridge_wire::RetryBudget;

#[test]
fn retries_are_limited_to_a_fifth_of_calls_after_the_reserve_is_spent() {
    let mut budget = RetryBudget::default();
    while budget.take_retry() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_call();
        retries += u32::from(budget.take_retry());
    }
    assert!((199..=201).contains(&retries), "{retries}");
}
