//! Placement on idle capacity of units that wait for a place by their preferences.

use roseridge_model::{
    RackName,
    StepSpec, //
};

use crate::small_site::{
    SmallSite,
    gang,
    step, //
};

/// Creates racks of two workers, each of which has a run of a size on one of them.
fn racks_with_one_run(racks: usize, accelerators: u32) -> SmallSite {
    let mut site = SmallSite::new(&vec![2; racks]);
    for rack in 0..racks {
        let name = format!("rack-{rack}");
        let data_rack = Some(RackName::parse(&name).expect("the name is valid"));
        let long_run = StepSpec {
            data_rack,
            ..step(1, accelerators)
        };
        site.submit(100 + rack as u64, 1, 0, vec![long_run]);
    }
    site.decide();
    site
}

/// Guards against a gang that waits for the last long runs on every rack while most workers are free.
#[test]
fn rack_bound_gang_crosses_racks_on_idle_capacity() {
    let mut site = racks_with_one_run(4, 2);
    site.submit(1, 1, 0, vec![gang(2, 8)]);
    site.decide();
    assert!(site.places(1).is_empty(), "a rack may become free soon");
    site.advance_clock(2_000);
    site.decide();
    assert_eq!(site.places(1).len(), 2);
}

/// Guards against gangs that run slowly across racks although the capacity is needed by others.
#[test]
fn rack_bound_gang_keeps_waiting_while_half_of_the_capacity_is_in_use() {
    let mut site = racks_with_one_run(4, 8);
    site.submit(1, 1, 0, vec![gang(2, 8)]);
    site.advance_clock(2_000);
    site.decide();
    assert!(site.places(1).is_empty());
}
