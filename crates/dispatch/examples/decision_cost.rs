//! Measures the duration of a scheduling pass with full queues.
//!
//!     cargo run --release -p roseridge-dispatch --example decision_cost -- [WORKERS...]
//!
//! Every worker is full. Of ten waiting flows, two are urgent gangs, five have large tasks and three have
//! a wide step of small tasks. Prints two lines for each size, for a pass and for an admission check of a
//! wide step of the lowest rank: the number of workers, running tasks and waiting flows, and the minimum,
//! median and maximum duration in milliseconds.

#[path = "../tests/runner/small_site.rs"]
#[expect(dead_code, reason = "only the tests use the other items")]
mod small_site;

use std::time::Instant;

use small_site::{
    SmallSite,
    gang,
    step, //
};

/// The default numbers of workers.
const SIZES: [usize; 5] = [11, 74, 160, 240, 590];
/// The number of measured passes.
const PASSES: usize = 21;
/// The number of workers in a rack, as at the users' larger installations.
const WORKERS_PER_RACK: usize = 7;
/// The number of waiting flows for ten workers.
const WAITING_PER_TEN_WORKERS: usize = 4;

fn main() {
    let given = std::env::args().skip(1);
    let given: Vec<usize> = given.filter_map(|text| text.parse().ok()).collect();
    let sizes = if given.is_empty() { &SIZES[..] } else { &given };
    println!("workers  running  waiting  decision     min ms  median ms      max ms");
    for workers in sizes {
        measure(*workers);
    }
}

fn measure(workers: usize) {
    let mut racks = vec![WORKERS_PER_RACK; workers / WORKERS_PER_RACK];
    racks.push(workers % WORKERS_PER_RACK);
    let mut site = SmallSite::new(&racks);
    for flow in 0..workers as u64 {
        site.submit(flow + 1, 2, 0, vec![step(8, 1)]);
    }
    site.decide();
    let running: usize = site.flows.backends.values().map(|b| b.runs.len()).sum();
    let waiting = workers * WAITING_PER_TEN_WORKERS / 10;
    for number in 0..waiting as u64 {
        let flow = 1_000_000 + number;
        match number % 10 {
            0 | 1 => site.submit(flow, 0, 1, vec![gang(3, 4)]),
            2..=6 => site.submit(flow, 1, 2, vec![step(4, 8)]),
            _ => site.submit(flow, 2, 2, vec![step(20, 1)]),
        }
    }
    for name in ["pass", "admission"] {
        let mut durations: Vec<f64> = (0..PASSES)
            .map(|_| {
                site.advance_clock(10);
                let start = Instant::now();
                // The decision is not applied, so that every pass finds the same state.
                match name {
                    "pass" => drop(site.preview_decision()),
                    _ => drop(site.check_admission(2, vec![step(39, 1)])),
                }
                start.elapsed().as_secs_f64() * 1_000.0
            })
            .collect();
        durations.sort_by(f64::total_cmp);
        println!(
            "{workers:7}  {running:7}  {waiting:7}  {name:<9}  {:8.2}  {:9.2}  {:10.2}",
            durations[0],
            durations[PASSES / 2],
            durations[PASSES - 1]
        );
    }
}
