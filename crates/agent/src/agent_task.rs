//! The asynchronous task that owns the agent's state.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use async_channel::Sender;
use compio::net::TcpListener;
use futures::{
    FutureExt,
    select_biased, //
};
use log::{
    info,
    warn, //
};
use roseridge_events as events;
use roseridge_http::{
    ServerLimits,
    serve_http, //
};
use roseridge_model::{
    AnswerBody,
    IncarnationId,
    WorkerShape, //
    backend_api::{
        BackendAnnouncement,
        BackendList, //
    },
};
use roseridge_shutdown::StopSignal;
use roseridge_wire::AgentReport;

use crate::{
    AgentConfig,
    AgentError,
    BackendLimits,
    CallBreaker,
    LeaseState,
    TaskAction,
    TaskTable, //
    agent_config::NoRelaySnafu,
    agent_event::{
        AgentEvent,
        ExchangeResult, //
    },
    announce::handle_backend_request,
    backend_client::{
        BackendClient,
        BackendError, //
    },
    backend_watch::{
        LeaseEnd,
        MAX_BACKEND_LEASE,
        watch_backend, //
    },
    known_revision::KnownRevision,
    lease_clock::LeaseClock,
    relay_session::RelaySession,
};

/// The interval at which the lease is checked when no event arrives.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum number of concurrent exchanges: one that waits for orders and one that reports new
/// phases.
const MAX_EXCHANGES: usize = 2;
/// The capacity of the agent's event queue.
const EVENT_QUEUE_CAPACITY: usize = 256;
/// The maximum number of concurrent calls to the backend server, not counting the watch of its list.
const MAX_CALLS: usize = 16;
/// The time for which a restarted agent keeps tasks running if the backend server reports no lease.
const RESTART_GRACE: Duration = Duration::from_secs(3);
/// The time for which a stopping agent without tasks tries to report to the leader that it leaves.
const LEAVE_REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// The time, after the stop limit, in which the agent stops its remaining tasks and reports them.
const FORCED_STOP_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause after an action that failed.
const ACTION_RETRY_PAUSE: Duration = Duration::from_millis(100);

struct AgentTask {
    config: AgentConfig,
    incarnation: IncarnationId,
    table: TaskTable,
    session: RelaySession,
    events_out: Sender<AgentEvent>,
    backend: Option<BackendClient>,
    shape: Option<WorkerShape>,
    /// The time of the last list, if one has been received.
    listed_at: Option<Instant>,
    /// Whether the leader knows this incarnation.
    is_known: bool,
    /// Whether the agent is stopping or the backend server is leaving.
    is_leaving: bool,
    /// The number of the last report.
    sequence: u64,
    /// The open exchanges by number of the report, with the time at which each was sent.
    open_exchanges: BTreeMap<u64, Instant>,
    lease: LeaseClock,
    lease_end: LeaseEnd,
    /// Whether the expiry of the current lease has been logged.
    has_logged_expiry: bool,
    revision: KnownRevision,
    breaker: CallBreaker,
    /// The number of the first report that said that the agent is leaving.
    leave_reported_in: Option<u64>,
    /// The number of the newest report that the leader has committed.
    acknowledged: u64,
    /// Whether the stop limit has passed, so that all tasks are stopped.
    is_stop_forced: bool,
}

/// Runs an agent until the stop signal; it then takes no new tasks and waits for its tasks to end.
///
/// Tasks that have not ended at the stop limit of the configuration are stopped.
///
/// # Errors
///
/// Returns an [`AgentError`] if the configuration is invalid.
pub async fn run_agent(
    config: AgentConfig,
    listener: TcpListener,
    stop: StopSignal,
) -> Result<(), AgentError> {
    if config.relays.is_empty() {
        return NoRelaySnafu.fail();
    }
    let (events_out, events_in) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
    let announced = events_out.clone();
    let (serve_stop, serve_signal) = roseridge_shutdown::stop_pair();
    let handler = move |request| handle_backend_request(announced.clone(), request);
    let serving = serve_http(listener, ServerLimits::default(), serve_signal, handler);
    compio::runtime::spawn(serving).detach();
    let mut task = AgentTask::new(config, events_out);
    let mut stop_deadline = None;
    let mut leave_report_deadline = None;
    loop {
        select_biased! {
            event = events_in.recv().fuse() => {
                if let Ok(event) = event {
                    task.handle_event(event);
                }
            }
            () = compio::time::sleep(POLL_INTERVAL).fuse() => {}
        }
        if stop.is_stopping() && stop_deadline.is_none() {
            task.is_leaving = true;
            stop_deadline = Some(Instant::now() + task.config.stop_limit);
            leave_report_deadline = Some(Instant::now() + LEAVE_REPORT_TIMEOUT);
        }
        task.send_due();
        match stop_deadline {
            Some(_) if task.is_done() => break,
            // Without tasks, only the report that the agent leaves is due. If it can't be delivered,
            // the expiry of the lease has the same effect.
            Some(_) if task.table.is_empty() && leave_report_deadline < Some(Instant::now()) => {
                break;
            }
            Some(deadline) if Instant::now() >= deadline + FORCED_STOP_TIMEOUT => break,
            Some(deadline) if Instant::now() >= deadline => task.is_stop_forced = true,
            _ => {}
        }
    }
    serve_stop.stop();
    events_in.close();
    Ok(())
}

impl AgentTask {
    fn new(config: AgentConfig, events_out: Sender<AgentEvent>) -> Self {
        let incarnation = IncarnationId(rand::random());
        let session = RelaySession::new(&config.relays, &config.cluster);
        Self {
            config,
            incarnation,
            table: TaskTable::new(incarnation),
            session,
            events_out,
            backend: None,
            shape: None,
            listed_at: None,
            is_known: false,
            is_leaving: false,
            sequence: 0,
            open_exchanges: BTreeMap::new(),
            lease: LeaseClock::default(),
            lease_end: LeaseEnd::default(),
            has_logged_expiry: false,
            revision: KnownRevision::default(),
            breaker: CallBreaker::default(),
            leave_reported_in: None,
            acknowledged: 0,
            is_stop_forced: false,
        }
    }

    /// Returns whether no task is left and the leader knows that the agent is leaving.
    fn is_done(&self) -> bool {
        let is_reported = self
            .leave_reported_in
            .is_some_and(|report| self.acknowledged >= report);
        self.shape.is_none() || (self.table.is_empty() && is_reported)
    }

    fn handle_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Announced(announcement) => self.handle_announcement(announcement),
            AgentEvent::Listed(address, list) => self.handle_list(address, &list),
            AgentEvent::Exchanged(exchange) => self.handle_exchange(exchange),
            AgentEvent::ActionDone(address, action, result) if self.is_backend(address) => {
                self.handle_action_result(&action, result);
            }
            // The action was sent to a backend server that has been replaced.
            AgentEvent::ActionDone(_, action, _) => self.table.action_failed(&action),
        }
    }

    fn handle_announcement(&mut self, announcement: BackendAnnouncement) {
        self.is_leaving |= announcement.leaving;
        self.shape = Some(announcement.shape);
        let address = announcement.address;
        if self.is_backend(address) {
            return;
        }
        match BackendClient::new(address) {
            Ok(client) => {
                info!("{}", events::BACKEND_ANNOUNCED.line(address));
                let watch = watch_backend(
                    client.clone(),
                    LeaseEnd::clone(&self.lease_end),
                    self.events_out.clone(),
                );
                compio::runtime::spawn(watch).detach();
                self.backend = Some(client);
            }
            Err(error) => warn!("{}", events::BACKEND_FAILED.line(error)),
        }
    }

    fn handle_list(&mut self, address: SocketAddr, list: &BackendList) {
        if !self.is_backend(address) {
            return;
        }
        self.table.apply_list(list);
        if self.listed_at.replace(Instant::now()).is_none() {
            // Tasks of an earlier incarnation keep running for the rest of the lease that it granted.
            let remaining = list.lease_left_ms.map(Duration::from_millis);
            self.lease
                .inherit(Instant::now() + remaining.unwrap_or(RESTART_GRACE));
        }
    }

    /// Returns whether the current backend server has the address.
    fn is_backend(&self, address: SocketAddr) -> bool {
        let backend = self.backend.as_ref();
        backend.is_some_and(|b| b.address() == address)
    }

    fn handle_exchange(&mut self, exchange: ExchangeResult) {
        self.open_exchanges.remove(&exchange.sequence);
        let orders = match exchange.result {
            Ok(orders) => orders,
            Err(_) => {
                self.session.switch_relay(exchange.relay);
                return;
            }
        };
        if orders.incarnation != self.incarnation {
            return;
        }
        if orders.known && orders.renewed >= exchange.sequence {
            self.lease.renew(exchange.sent_at, self.config.lease);
            self.has_logged_expiry = false;
        }
        if orders.fenced {
            self.start_incarnation();
            return;
        }
        if self.is_known && !orders.known && orders.renewed >= exchange.sequence {
            self.table.reset_acknowledgements();
        }
        if orders.renewed > 0 {
            self.revision.record(orders.revision, Instant::now());
            self.is_known = orders.known;
            self.acknowledged = self.acknowledged.max(orders.renewed);
            self.table.acknowledge(orders.renewed);
        }
        if let Some(list) = orders.orders {
            self.table.apply_orders(orders.orders_index, list);
        }
    }

    /// Starts a new incarnation, because the leader took this one for an earlier one.
    fn start_incarnation(&mut self) {
        self.incarnation = IncarnationId(rand::random());
        self.is_known = false;
        self.lease.start_incarnation();
        self.table.start_incarnation(self.incarnation);
    }

    fn handle_action_result(
        &mut self,
        action: &TaskAction,
        result: Result<Option<AnswerBody>, BackendError>,
    ) {
        match result {
            Ok(Some(body)) => self.table.apply_answer(action.task(), body),
            Ok(None) => self.table.action_done(action),
            Err(BackendError::Refused { .. }) => self.table.action_refused(action),
            Err(BackendError::OversizedAnswer { task }) => self.table.record_oversized_answer(task),
            Err(error) => {
                warn!("{}", events::BACKEND_FAILED.line(&error));
                match error {
                    BackendError::InvalidAnswer { task } => self.table.record_invalid_answer(task),
                    _ => {
                        self.breaker.record_unanswered(Instant::now());
                        self.table.action_failed(action);
                        return;
                    }
                }
            }
        }
        self.breaker.record_answered();
    }

    /// Logs the expiry of the lease once, starts the due actions and sends the due reports.
    fn send_due(&mut self) {
        let now = Instant::now();
        self.lease_end.set(self.lease.end());
        if self.lease.has_expired(now) && !self.has_logged_expiry {
            let details = format_args!("{}, {}", self.config.worker, self.revision);
            warn!("{}", events::LEASE_EXPIRED.line(details));
            self.has_logged_expiry = true;
        }
        let lease = match self.is_stop_forced {
            true => LeaseState::Expired,
            false => self.lease.state(now),
        };
        if let Some(backend) = self.backend.clone().filter(|_| self.listed_at.is_some()) {
            for action in self.table.next_actions(lease, self.limits(now)) {
                self.start_action(backend.clone(), action);
            }
        }
        self.send_reports();
    }

    /// Returns the current limits of the backend server; the watch of its list takes one connection.
    fn limits(&self, now: Instant) -> BackendLimits {
        let shape = self.shape.as_ref();
        let connections = shape.map_or(0, |s| usize::from(s.connections));
        let max_calls = connections.saturating_sub(1).min(MAX_CALLS);
        BackendLimits {
            slots: shape.map_or(0, |s| usize::from(s.slots)),
            calls: self.breaker.allowed_calls(now, max_calls),
        }
    }

    fn start_action(&self, backend: BackendClient, action: TaskAction) {
        let orders_index = self.table.orders_index();
        let address = backend.address();
        let events_out = self.events_out.clone();
        compio::runtime::spawn(async move {
            let result = backend.act(&action, orders_index).await;
            match result {
                Ok(_) => {}
                Err(_) => compio::time::sleep(ACTION_RETRY_PAUSE).await,
            }
            // Sending fails only after the agent has stopped.
            let _ = events_out
                .send(AgentEvent::ActionDone(address, action, result))
                .await;
        })
        .detach();
    }

    /// Returns whether the agent reports, which renews the lease of its worker.
    ///
    /// It doesn't after some time without contact with the backend server, which has stopped its tasks by then.
    /// The lease ends unless contact is back before. An agent that is leaving reports that anyway.
    fn may_report(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < MAX_BACKEND_LEASE;
        match self.is_leaving {
            true => self.listed_at.is_some(),
            false => self.listed_at.is_some_and(is_recent),
        }
    }

    /// Keeps one exchange open, and reports new phases at once in a second one.
    fn send_reports(&mut self) {
        let Some(shape) = self.shape.clone().filter(|_| self.may_report()) else {
            return;
        };
        let is_report_due = self.open_exchanges.is_empty()
            || (self.table.has_unreported_phases() && self.open_exchanges.len() < MAX_EXCHANGES);
        if !is_report_due {
            return;
        }
        self.sequence += 1;
        if self.is_leaving {
            self.leave_reported_in.get_or_insert(self.sequence);
        }
        let report = AgentReport {
            worker: self.config.worker.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            known_orders: self.table.orders_index(),
            known_revision: self.revision.revision(),
            announce: (!self.is_known).then_some(shape),
            statuses: self.table.report(self.sequence),
            leaving: self.is_leaving,
        };
        self.open_exchanges.insert(self.sequence, Instant::now());
        self.session.send(report, self.events_out.clone());
    }
}
