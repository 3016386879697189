//! The task that passes reports to the leader and orders to the agents.

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
    RelayReport, //
    RelayRequest,
};

use crate::relay_agents::{
    RelayAgents,
    RelayBatch, //
};

/// The time between two looks at the timers.
const TICK: Duration = Duration::from_millis(50);
/// The time over which reports without news are gathered; it ends before a held reply does.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);
/// How long the leader holds a watch back.
const WATCH_HOLD: Duration = Duration::from_secs(1);
/// The longest time that a report may take.
const REPORT_LIMIT: Duration = Duration::from_millis(1_500);
/// The pause after a watch that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Ended calls that may wait for the relay.
const EVENT_QUEUE: usize = 16;

/// A call to the leader that ended.
enum RelayEvent {
    Reported(RelayBatch, Result<ControlReply, ControlError>),
    Watched(u64, Result<ControlReply, ControlError>),
}

struct RelayTask {
    control: ControlClient,
    agents: RelayAgents,
    events_out: Sender<RelayEvent>,
    session: u64,
    reporting: bool,
    reported_at: Instant,
    watch: u64,
    watching: bool,
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
        reporting: false,
        reported_at: Instant::now(),
        watch: 0,
        watching: false,
    };
    while !stop.is_stopping() {
        select_biased! {
            event = events_in.recv().fuse() => {
                if let Ok(event) = event {
                    task.take_event(event);
                }
            }
            call = inbox.recv().fuse() => match call {
                Ok(call) => task.take_call(call),
                Err(_) => return,
            },
            () = compio::time::sleep(TICK).fuse() => {}
        }
        task.work();
    }
}

impl RelayTask {
    fn take_call(&mut self, call: InboundCall) {
        match call {
            InboundCall::Exchange { report, reply } => {
                self.agents.take_report(report, reply, Instant::now());
            }
            InboundCall::Control { reply, .. } => {
                let _ = reply.send(Err(CallError::NotServing));
            }
            InboundCall::JoinGroup { .. } => {}
            InboundCall::Deliver { .. } => {}
        }
    }

    fn take_event(&mut self, event: RelayEvent) {
        match event {
            RelayEvent::Reported(batch, result) => {
                self.reporting = false;
                match result {
                    Ok(ControlReply::Relay(reply)) => self.agents.take_batch_reply(&batch, reply),
                    _ => self.agents.resend(&batch),
                }
            }
            RelayEvent::Watched(number, result) => {
                self.watching &= number != self.watch;
                match result {
                    Ok(ControlReply::Relay(reply)) => self.agents.take_reply(reply),
                    _ => self.agents.tell_all(),
                }
            }
        }
    }

    fn work(&mut self) {
        let now = Instant::now();
        self.agents.expire(now);
        let due = self.agents.has_urgent() || now >= self.reported_at + BATCH_INTERVAL;
        if due && !self.reporting {
            self.report(now);
        }
        if self.agents.take_changed() || !self.watching {
            self.start_watch();
        }
    }

    fn report(&mut self, now: Instant) {
        let batch = self.agents.take_unsent();
        if batch.reports.is_empty() && batch.renewals.is_empty() {
            return;
        }
        self.reporting = true;
        self.reported_at = now;
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
                .call(&call, Duration::ZERO, Instant::now() + REPORT_LIMIT)
                .await;
            // The relay is gone when nobody receives this.
            let _ = events_out.send(RelayEvent::Reported(batch, result)).await;
        })
        .detach();
    }

    /// Watches for new orders of the agents that are attached now; an older watch is ignored.
    fn start_watch(&mut self) {
        if self.agents.is_empty() {
            return;
        }
        self.watch += 1;
        self.watching = true;
        let number = self.watch;
        let call = ControlCall::Relay(RelayReport {
            session: self.session,
            request: RelayRequest::Watch(self.agents.next_change()),
        });
        let control = self.control.clone();
        let events_out = self.events_out.clone();
        compio::runtime::spawn(async move {
            let deadline = Instant::now() + WATCH_HOLD + REPORT_LIMIT;
            let result = control.call(&call, WATCH_HOLD, deadline).await;
            if result.is_err() {
                compio::time::sleep(FAILURE_PAUSE).await;
            }
            // The relay is gone when nobody receives this.
            let _ = events_out.send(RelayEvent::Watched(number, result)).await;
        })
        .detach();
    }
}
