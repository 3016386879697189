//! Guards against callers that wait for a leader that no longer replies while another one leads.

use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use futures::future::join_all;
use roseridge_model::FlowSpec;
use roseridge_wire::{
    CallError,
    CallerAction,
    CallerRequest,
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply,
    FlowCall,
    FlowReply,
    block_on, //
};

use crate::fake_control::{
    CLUSTER,
    FakeControl,
    ScriptedReply,
    StallingProxy, //
};

/// The time limit of a call. It is shorter than the maximum duration of one attempt, so a call that
/// waits for the silent replica fails.
const CALL_LIMIT: Duration = Duration::from_millis(900);

fn read_call() -> ControlCall {
    ControlCall::Flow(Box::new(FlowCall::ReadConfig))
}

fn leader_reply() -> ScriptedReply {
    Some(Ok(ControlReply::Flow(FlowReply::NoConfig)))
}

async fn call(client: &ControlClient) -> Result<ControlReply, ControlError> {
    let deadline = Instant::now() + CALL_LIMIT;
    client.call(&read_call(), Duration::ZERO, deadline).await
}

/// Starts a replica that does not reply, one that leads, and one that names the silent replica as the
/// leader in its first `late_calls` replies, and then the one that leads.
async fn start_replicas(late_calls: u32) -> [FakeControl; 3] {
    let silent = FakeControl::start(|_, _| None).await;
    let leader = FakeControl::start(|_, _| leader_reply()).await;
    let (old, new) = (silent.address.to_string(), leader.address.to_string());
    let follower = FakeControl::start(move |number, _| {
        let named = match number <= late_calls {
            true => old.clone(),
            false => new.clone(),
        };
        let leader = Some(named);
        Some(Err(CallError::NotLeader { leader }))
    })
    .await;
    [silent, leader, follower]
}

#[test]
fn silent_leader_is_replaced_within_one_attempt() {
    let run = async {
        let [silent, leader, follower] = start_replicas(2).await;
        // The leader is known only from the follower.
        let client = ControlClient::new(&[silent.address, follower.address], CLUSTER);
        call(&client).await.expect("a reply");
        let calls_before = leader.calls.get();
        for _ in 0..3 {
            call(&client).await.expect("a reply");
        }
        assert_eq!(leader.calls.get(), calls_before + 3);
        assert_eq!(
            silent.calls.get(),
            1,
            "the silent replica is not used again"
        );
    };
    block_on(run).expect("an event loop");
}

/// An agent replaces its report whenever something changes. If each report had to wait anew, a silent
/// leader would be noticed only once nothing changes.
#[test]
fn calls_that_replace_each_other_do_not_prolong_the_wait() {
    let run = async {
        let [silent, leader, _] = start_replicas(0).await;
        let client = ControlClient::new(&[silent.address, leader.address], CLUSTER);
        for _ in 0..6 {
            let given_up = compio::time::timeout(Duration::from_millis(60), call(&client));
            if given_up.await.is_ok() {
                return;
            }
        }
        panic!("no call reached the leader");
    };
    block_on(run).expect("an event loop");
}

#[test]
fn concurrent_calls_share_one_search() {
    const CALLS: usize = 40;
    let run = async {
        let [silent, leader, follower] = start_replicas(3).await;
        let client = ControlClient::new(&[silent.address, follower.address], CLUSTER);
        let results = join_all((0..CALLS).map(|_| call(&client))).await;
        assert!(results.iter().all(Result::is_ok));
        // The search itself asks the leader once.
        assert_eq!(leader.calls.get() as usize, CALLS + 1);
        assert!(follower.calls.get() <= 8, "{} calls", follower.calls.get());
    };
    block_on(run).expect("an event loop");
}

fn submission() -> ControlCall {
    let request = CallerRequest {
        host: "host".to_owned(),
        path: "/queue/5c0e7a21d94b36f8".to_owned(),
        key: None,
        action: CallerAction::Submit(FlowSpec::default()),
    };
    ControlCall::Flow(Box::new(FlowCall::Caller(request)))
}

fn refusal() -> ControlReply {
    ControlReply::Flow(FlowReply::NoConfig)
}

/// A call whose silent receiver may yet carry it out is not run for certain, although the new leader
/// refuses it.
#[test]
fn refusal_by_the_new_leader_is_unknown_while_the_old_one_has_the_call() {
    let run = async {
        let [silent, leader, _] = start_replicas(0).await;
        let client = ControlClient::new(&[silent.address, leader.address], CLUSTER);
        let deadline = Instant::now() + CALL_LIMIT;
        let result = client.call(&submission(), Duration::ZERO, deadline).await;
        assert!(
            matches!(result, Err(ControlError::Unknown { .. })),
            "{result:?}"
        );
    };
    block_on(run).expect("an event loop");
}

/// The search asks other replicas, but sends them no call. A refusal that a slow leader sends
/// meanwhile is certain.
#[test]
fn late_refusal_by_the_leader_is_certain() {
    let run = async {
        let leader = FakeControl::start(|_, _| None).await;
        let follower =
            FakeControl::start(|_, _| Some(Err(CallError::NotLeader { leader: None }))).await;
        let client = ControlClient::new(&[leader.address, follower.address], CLUSTER);
        let call = submission();
        let deadline = Instant::now() + CALL_LIMIT;
        let calling = client.call(&call, Duration::ZERO, deadline);
        let answering = async {
            compio::time::sleep(Duration::from_millis(400)).await;
            leader.answer_pending(&Ok(refusal()));
        };
        let (result, ()) = futures::join!(calling, answering);
        assert_eq!(result.expect("a certain refusal"), refusal());
        assert!(follower.calls.get() >= 1, "the leader was searched");
    };
    block_on(run).expect("an event loop");
}

/// The only replica of a group must be called again at once after it has restarted.
#[test]
fn replica_that_refused_the_connection_is_called_again() {
    let run = async {
        let is_serving = Rc::new(Cell::new(false));
        let serving = Rc::clone(&is_serving);
        let replica = FakeControl::start(move |_, _| match serving.replace(true) {
            true => leader_reply(),
            false => Some(Err(CallError::NotServing)),
        })
        .await;
        let client = ControlClient::new(&[replica.address], CLUSTER);
        call(&client).await.expect("a reply");
        assert_eq!(replica.calls.get(), 2);
    };
    block_on(run).expect("an event loop");
}

/// A seed that is dark when an agent starts leads soon after, and the other seeds name it. Its agent must not
/// wait until the call ends to ask it again.
#[test]
fn replica_that_leads_after_its_silence_is_found_within_one_attempt() {
    let run = async {
        let leader = FakeControl::start(|_, _| leader_reply()).await;
        let proxy = StallingProxy::start(leader.address).await;
        let name = proxy.address.to_string();
        let follower = FakeControl::start(move |_, _| {
            let leader = Some(name.clone());
            Some(Err(CallError::NotLeader { leader }))
        })
        .await;
        proxy.stall(u32::MAX);
        let client = ControlClient::new(&[proxy.address, follower.address], CLUSTER);
        // The direct call of the only attempt fails after one second.
        let wait = Duration::from_secs(2);
        let deadline = Instant::now() + Duration::from_millis(2_500);
        let calling = read_call();
        let calling = client.call(&calling, wait, deadline);
        let recovering = async {
            compio::time::sleep(Duration::from_millis(900)).await;
            proxy.stall(3);
        };
        let (result, ()) = futures::join!(calling, recovering);
        result.expect("a reply");
    };
    block_on(run).expect("an event loop");
}
