//! The task that forwards reports of agents to the leader and orders of the leader to the agents.

use std::time::{
    Duration,
    Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use futures::{
    FutureExt,
    select_biased, //
};
use roseridge_shutdown::StopSignal;
use roseridge_wire::{
    CallError,
    ControlCall,
    ControlClient,
    ControlError,
    ControlReply,
    InboundCall,
    RelayReport,
    RelayRequest, //
};

use crate::relay_agents::{
    RelayAgents,
    RelayBatch, //
};

/// The interval at which timers are checked.
const TICK: Duration = Duration::from_millis(50);
/// The time over which reports without changes are collected into a batch. It is shorter than the
/// maximum delay of a reply to an agent.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum time for which the leader delays its reply to a watch until there are new orders.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// The maximum time that sending a batch to the leader may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause after a failed watch.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The capacity of the queue of results of calls to the leader.
const EVENT_QUEUE: usize = 16;

/// The result of a call to the leader.
enum RelayEvent {
    /// The result of sending a batch.
    Reported(RelayBatch, Result<ControlReply, ControlError>),
    /// The number and the result of a watch.
    Watched(u64, Result<ControlReply, ControlError>),
}

/// The relay between the attached agents and the leader.
struct RelayTask {
    control: ControlClient,
    agents: RelayAgents,
    events_out: Sender<RelayEvent>,
    session: u64,
    is_reporting: bool,
    last_batch_at: Instant,
    last_watch: u64,
    is_watching: bool,
}

/// Runs the relay until the stop.
pub(crate) async fn run_relay(
    control: ControlClient,
    inbox: Receiver<InboundCall>,
    stop: StopSignal,
) {
    let (events_out, events_in) = async_channel::bounded(EVENT_QUEUE);
    let mut task = RelayTask {
        control,
        agents: RelayAgents::default(),
        events_out,
        session: rand::random(),
        is_reporting: false,
        last_batch_at: Instant::now(),
        last_watch: 0,
        is_watching: false,
    };
    while !stop.is_stopping() {
        select_biased! {
            event = events_in.recv().fuse() => {
                if let Ok(event) = event {
                    task.handle_event(event);
                }
            }
            call = inbox.recv().fuse() => match call {
                Ok(call) => task.handle_call(call),
                Err(_) => return,
            },
            () = compio::time::sleep(TICK).fuse() => {}
        }
        task.advance();
    }
}

impl RelayTask {
    fn handle_call(&mut self, call: InboundCall) {
        match call {
            InboundCall::Exchange { report, reply, .. } => {
                self.agents.accept_report(report, reply, Instant::now());
            }
            InboundCall::Control { reply, .. } => {
                let _ = reply.send(Err(CallError::NotServing));
            }
            InboundCall::JoinGroup { .. } => {}
            InboundCall::Deliver { .. } => {}
        }
    }

    fn handle_event(&mut self, event: RelayEvent) {
        match event {
            RelayEvent::Reported(batch, result) => {
                self.is_reporting = false;
                match result {
                    Ok(ControlReply::Relay(reply)) => self.agents.apply_batch_reply(&batch, reply),
                    _ => self.agents.resend(&batch),
                }
            }
            RelayEvent::Watched(number, result) => {
                self.is_watching &= number != self.last_watch;
                match result {
                    Ok(ControlReply::Relay(reply)) => self.agents.apply_reply(reply),
                    _ => self.agents.request_full_update(),
                }
            }
        }
    }

    /// Sends the replies and starts the calls to the leader that are due.
    fn advance(&mut self) {
        let now = Instant::now();
        self.agents.expire(now);
        let is_due = self.agents.has_urgent() || now >= self.last_batch_at + BATCH_INTERVAL;
        if is_due && !self.is_reporting {
            self.send_batch(now);
        }
        if self.agents.take_changed() || !self.is_watching {
            self.start_watch();
        }
    }

    /// Starts a call that sends all unsent reports and renewals to the leader, if there are any.
    fn send_batch(&mut self, now: Instant) {
        let batch = self.agents.next_batch();
        if batch.reports.is_empty() && batch.renewals.is_empty() {
            return;
        }
        self.is_reporting = true;
        self.last_batch_at = now;
        let call = ControlCall::Relay(RelayReport {
            session: self.session,
            request: RelayRequest::Report {
                reports: batch.reports.clone(),
                renewals: batch.renewals.clone(),
            },
        });
        let control = self.control.clone();
        let events_out = self.events_out.clone();
        compio::runtime::spawn(async move {
            let result = control
                .call(&call, Duration::ZERO, Instant::now() + REPORT_TIMEOUT)
                .await;
            // Sending fails only if the relay has stopped.
            let _ = events_out.send(RelayEvent::Reported(batch, result)).await;
        })
        .detach();
    }

    /// Starts a watch for new orders for the currently attached agents. It replaces the previous
    /// watch.
    fn start_watch(&mut self) {
        if self.agents.is_empty() {
            return;
        }
        self.last_watch += 1;
        self.is_watching = true;
        let number = self.last_watch;
        let call = ControlCall::Relay(RelayReport {
            session: self.session,
            request: RelayRequest::Watch(self.agents.next_change()),
        });
        let control = self.control.clone();
        let events_out = self.events_out.clone();
        compio::runtime::spawn(async move {
            let deadline = Instant::now() + WATCH_WAIT + REPORT_TIMEOUT;
            let result = control.call(&call, WATCH_WAIT, deadline).await;
            if result.is_err() {
                compio::time::sleep(WATCH_RETRY_DELAY).await;
            }
            // Sending fails only if the relay has stopped.
            let _ = events_out.send(RelayEvent::Watched(number, result)).await;
        })
        .detach();
    }
}
