//! Measures one round of decisions with full queues.
//!
//!     cargo run --release -p roseridge-dispatch --example decision_cost -- [WORKERS...]
//!
//! Every worker is full; of each ten waiting flows two are urgent gangs, five single large tasks and
//! three wide steps of small ones. One line a size: the number of workers, running tasks, waiting flows,
//! and the least, middle and longest of the rounds in milliseconds.

#[path = "../tests/runner/small_site.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod small_site;

use std::time::Instant;

use small_site::{
    SmallSite,
    gang,
    step, //
};

const SIZES: [usize; 4] = [11, 74, 240, 590];
const ROUNDS: usize = 21;
/// Workers a rack, as on the users' grown sites.
const RACK: usize = 7;
/// Waiting flows for each ten workers.
const WAITING_PER_TEN: usize = 4;

fn main() {
    let given = std::env::args().skip(1);
    let given: Vec<usize> = given.filter_map(|text| text.parse().ok()).collect();
    let sizes = if given.is_empty() { &SIZES[..] } else { &given };
    println!("workers  running  waiting  least ms  middle ms  longest ms");
    for workers in sizes {
        measure(*workers);
    }
}

fn measure(workers: usize) {
    let mut racks = vec![RACK; workers / RACK];
    racks.push(workers % RACK);
    let mut site = SmallSite::new(&racks);
    for flow in 0..workers as u64 {
        site.submit(flow + 1, 2, 0, vec![step(8, 1)]);
    }
    site.decide();
    let running: usize = site.flows.backends.values().map(|b| b.runs.len()).sum();
    let waiting = workers * WAITING_PER_TEN / 10;
    for number in 0..waiting as u64 {
        let flow = 1_000_000 + number;
        match number % 10 {
            0 | 1 => site.submit(flow, 0, 1, vec![gang(3, 4)]),
            2..=6 => site.submit(flow, 1, 2, vec![step(4, 8)]),
            _ => site.submit(flow, 2, 2, vec![step(20, 1)]),
        }
    }
    let mut took: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            site.pass(10);
            let begun = Instant::now();
            // What is decided does not take effect, so that every round finds the same.
            site.judge_round();
            begun.elapsed().as_secs_f64() * 1_000.0
        })
        .collect();
    took.sort_by(f64::total_cmp);
    println!(
        "{workers:7}  {running:7}  {waiting:7}  {:8.2}  {:9.2}  {:10.2}",
        took[0],
        took[ROUNDS / 2],
        took[ROUNDS - 1]
    );
}
