//! The results of requests about flows while no leader can be reached.

use std::{
    cell::Cell,
    time::Duration, //
};

use compio::net::TcpListener;
use roseridge_entry::{
    CallResult,
    FlowClient, //
};
use roseridge_events::MetricSet;
use roseridge_model::DurationMs;
use roseridge_shutdown::stop_pair;
use roseridge_testutils::UnansweredAddress;
use roseridge_wire::{
    CallerAction,
    CallerRequest,
    ControlClient,
    FlowCall,
    InboundSender,
    block_on,
    serve_listener, //
};

/// A time without a reply of the leader; it exceeds the 2.4 s after which the client refuses requests
/// immediately.
const OUTAGE: Duration = Duration::from_millis(2_600);
const TIMEOUT: Duration = Duration::from_secs(3);

#[test]
fn request_after_a_long_outage_is_refused_with_a_matching_retry_time() {
    let run = async {
        let unanswered = UnansweredAddress::reserve();
        let (_stop, signal) = stop_pair();
        let control = ControlClient::new(&[unanswered.address()], "test");
        let client = FlowClient::new(control, signal, None);
        compio::time::sleep(OUTAGE).await;
        let answer = client.request(FlowCall::ReadConfig, TIMEOUT).await;
        let CallResult::NotRun { retry_after } = answer else {
            panic!("expected a request without effect, got {answer:?}");
        };
        assert!(retry_after >= DurationMs(2_600), "{retry_after:?}");
        assert!(retry_after <= DurationMs(4_000), "{retry_after:?}");
        assert!(!client.is_ready());
    };
    block_on(run).expect("an event loop");
}

#[test]
fn request_that_reached_no_leader_is_not_run() {
    let run = async {
        let unanswered = UnansweredAddress::reserve();
        let (_stop, signal) = stop_pair();
        let control = ControlClient::new(&[unanswered.address()], "test");
        let client = FlowClient::new(control, signal, None);
        let answer = client.request(FlowCall::ReadConfig, TIMEOUT).await;
        assert!(matches!(answer, CallResult::NotRun { .. }), "{answer:?}");
    };
    block_on(run).expect("an event loop");
}

fn caller_request(action: CallerAction) -> FlowCall {
    FlowCall::Caller(CallerRequest {
        host: "host".to_owned(),
        path: "/queue/5c0e7a21d94b36f8".to_owned(),
        key: None,
        action,
    })
}

/// Guards against a read that is answered with an unknown outcome. Its caller could not tell that it
/// may repeat its requests.
#[test]
fn only_a_request_with_an_effect_can_have_an_unknown_outcome() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        // The replica receives all calls and answers none.
        let (control, _inbox) = async_channel::bounded(64);
        let inbound = InboundSender {
            control: Some(control),
            relay: None,
        };
        compio::runtime::spawn(serve_listener(listener, "test".to_owned(), inbound)).detach();
        let (_stop, signal) = stop_pair();
        let client = FlowClient::new(ControlClient::new(&[address], "test"), signal, None);
        let read = client.request(caller_request(CallerAction::Read), TIMEOUT);
        let cancel = client.request(caller_request(CallerAction::Cancel), TIMEOUT);
        let (read, cancel) = futures::join!(read, cancel);
        assert!(matches!(read, CallResult::NotRun { .. }), "{read:?}");
        assert_eq!(cancel, CallResult::Unknown);
    };
    block_on(run).expect("an event loop");
}

#[test]
fn watch_without_a_leader_reports_no_group_and_ends_at_the_stop() {
    let run = async {
        let unanswered = UnansweredAddress::reserve();
        let (stop, signal) = stop_pair();
        let control = ControlClient::new(&[unanswered.address()], "test");
        let client = FlowClient::new(control, signal, None);
        let (metrics, reported) = (MetricSet::new(), Cell::new(0));
        let watch = client.watch(&metrics.flows, |_| reported.set(reported.get() + 1));
        let stopping = async {
            compio::time::sleep(Duration::from_millis(1_200)).await;
            stop.stop();
        };
        futures::join!(watch, stopping);
        assert_eq!(reported.get(), 0);
        assert!(metrics.flows.leader_silence.get() > 0.0);
    };
    block_on(run).expect("an event loop");
}
