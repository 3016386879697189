//! What the gate answers while no leader can be heard.

use std::{
    cell::Cell,
    time::Duration, //
};

use roseridge_entry::{
    FlowClient,
    GateAnswer, //
};
use roseridge_events::MetricSet;
use roseridge_model::DurationMs;
use roseridge_shutdown::stop_pair;
use roseridge_testutils::UnansweredAddress;
use roseridge_wire::{
    ControlClient,
    FlowCall,
    block_on, //
};

/// Longer than the gate waits for a leader that it has not heard.
const SILENCE: Duration = Duration::from_millis(2_600);
const LIMIT: Duration = Duration::from_secs(3);

#[test]
fn request_after_a_long_silence_is_refused_with_a_time_that_follows_it() {
    let run = async {
        let nobody = UnansweredAddress::take();
        let (_stop, signal) = stop_pair();
        let control = ControlClient::new(&[nobody.address()], "test");
        let gate = FlowClient::new(control, signal, None);
        compio::time::sleep(SILENCE).await;
        let answer = gate.request(FlowCall::ReadConfig, LIMIT).await;
        let GateAnswer::NotRun { retry_after } = answer else {
            panic!("{answer:?} is not certain");
        };
        assert!(retry_after >= DurationMs(2_600), "{retry_after:?}");
        assert!(retry_after <= DurationMs(4_000), "{retry_after:?}");
        assert!(!gate.is_ready());
    };
    block_on(run).expect("an event loop");
}

#[test]
fn request_that_nobody_took_is_not_run() {
    let run = async {
        let nobody = UnansweredAddress::take();
        let (_stop, signal) = stop_pair();
        let control = ControlClient::new(&[nobody.address()], "test");
        let gate = FlowClient::new(control, signal, None);
        let answer = gate.request(FlowCall::ReadConfig, LIMIT).await;
        assert!(matches!(answer, GateAnswer::NotRun { .. }), "{answer:?}");
    };
    block_on(run).expect("an event loop");
}

#[test]
fn watch_tells_of_no_group_and_ends_with_the_stop() {
    let run = async {
        let nobody = UnansweredAddress::take();
        let (stop, signal) = stop_pair();
        let control = ControlClient::new(&[nobody.address()], "test");
        let gate = FlowClient::new(control, signal, None);
        let (metrics, told) = (MetricSet::new(), Cell::new(0));
        let watch = gate.watch(&metrics.flows, |_| told.set(told.get() + 1));
        let stopping = async {
            compio::time::sleep(Duration::from_millis(1_200)).await;
            stop.stop();
        };
        futures::join!(watch, stopping);
        assert_eq!(told.get(), 0);
        assert!(metrics.flows.leader_silence.get() > 0.0);
    };
    block_on(run).expect("an event loop");
}
