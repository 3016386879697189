//! Calls to whichever replica leads.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use rand::RngExt;
use roseridge_ledger::RefusalReason;
use roseridge_model::{
    FastMap,
    FastSet, //
};
use snafu::Snafu;

use crate::{
    CallError, CallerAction, ControlCall, ControlReply, FlowCall, FlowReply, LinkError,
    RetryBudget, RpcLink,
    detour::{
        CallAttempt,
        RelayPaths,
        try_both, //
    },
};

/// The longest time that one attempt may take, besides the wait that the call asks for.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(1_000);
/// The longest first pause between two attempts, in milliseconds; it doubles each time.
const FIRST_PAUSE_MS: u64 = 40;
/// The longest pause between two attempts, in milliseconds.
const PAUSE_MAX_MS: u64 = 320;
/// The time without a reply, besides the wait that the call asks for, after which a detour is tried.
const DETOUR_AFTER: Duration = Duration::from_millis(300);
/// How long a replica that did not reply is passed over although others name it as the leader.
const NAMED_SILENCE: Duration = Duration::from_secs(1);
/// How long a replica that did not reply is passed over when the next one in turn is chosen.
const SILENCE_MEMORY: Duration = Duration::from_secs(5);

/// Why a call to the control group has no answer.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// The call had no effect.
    #[snafu(display("not run: {source}"))]
    NotRun {
        /// The last error.
        source: LinkError,
    },
    /// Whether the call took effect is not known.
    #[snafu(display("outcome unknown: {source}"))]
    Unknown {
        /// The last error.
        source: LinkError,
    },
}

/// Finds the leader and calls it, again while the deadline allows.
///
/// Every call is idempotent: a job by its key, a change by its request, the rest by nature. Attempts
/// are made with back-off, jitter and a [`RetryBudget`]; a replica that has too much work is not
/// asked again.
#[derive(Debug, Clone)]
pub struct ControlClient {
    links: Rc<RefCell<Vec<RpcLink>>>,
    cluster: Rc<str>,
    current: Rc<Cell<usize>>,
    /// When a link was last without a reply, by its place.
    silent: Rc<RefCell<FastMap<usize, Instant>>>,
    budget: Rc<Cell<RetryBudget>>,
    /// Processes that pass calls on to the leader when it can't be reached from here.
    relays: Rc<RefCell<RelayPaths>>,
    /// The members of the control group, as the leader or a replica named them last.
    members: Rc<RefCell<FastSet<SocketAddr>>>,
    members_only: bool,
}

impl ControlClient {
    /// Makes a client of the control group at these internal addresses.
    pub fn new(addresses: &[SocketAddr], cluster: &str) -> Self {
        let links = addresses.iter().map(|a| RpcLink::new(*a, cluster));
        Self {
            links: Rc::new(RefCell::new(links.collect())),
            cluster: cluster.into(),
            current: Rc::new(Cell::new(0)),
            silent: Rc::default(),
            budget: Rc::default(),
            relays: Rc::default(),
            members: Rc::default(),
            members_only: false,
        }
    }

    /// Returns a client with the same links for a process that passes calls on.
    ///
    /// It takes no detours and calls known members of the control group only: a seed may be another
    /// process that passes calls on, and a call could go round for ever.
    pub fn for_relay(&self) -> Self {
        Self {
            current: Rc::new(Cell::new(self.current.get())),
            relays: Rc::default(),
            members_only: true,
            ..self.clone()
        }
    }

    /// Names the processes that pass calls on, in place of those that were known.
    pub fn set_relays(&self, addresses: &[SocketAddr]) {
        self.relays.borrow_mut().learn(addresses, &self.cluster);
    }

    /// Calls the leader, and calls again after an error until the deadline.
    ///
    /// `wait` is the time that the call itself asks the leader to hold its reply back.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] that tells whether the call may have taken effect.
    pub async fn call(
        &self,
        call: &ControlCall,
        wait: Duration,
        deadline: Instant,
    ) -> Result<ControlReply, ControlError> {
        self.update_budget(|budget| budget.record_call());
        let mut ambiguous = false;
        let mut most_pause_ms = FIRST_PAUSE_MS;
        loop {
            let Some((number, link)) = self.link() else {
                let source = CallError::NotServing.into();
                return Err(ControlError::NotRun { source });
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            let limit = remaining.min(ATTEMPT_LIMIT + wait);
            let attempt = self.attempt((number, &link), call, wait, limit).await;
            let source = match attempt.result {
                Ok(reply) if refuses_submission(call, &reply) && (ambiguous || attempt.is_open) => {
                    let source = CallError::OutcomeUnknown.into();
                    return Err(ControlError::Unknown { source });
                }
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            ambiguous |= !source.is_without_effect();
            let pause_ms = rand::rng().random_range(most_pause_ms / 2..=most_pause_ms);
            let pause = Duration::from_millis(pause_ms);
            let last = Instant::now() + pause >= deadline
                || is_overloaded(&source)
                || !self.update_budget(RetryBudget::take_retry);
            match source {
                source if ambiguous && may_arrive_late(call, &source) => {
                    return Err(ControlError::Unknown { source });
                }
                LinkError::Answered {
                    source: CallError::Refused { .. } | CallError::MemberRefused { .. },
                } => return Err(ControlError::NotRun { source }),
                source => {
                    // The next call goes elsewhere too, also when this one has no time left.
                    self.turn(number, &source);
                    match last {
                        true if ambiguous => return Err(ControlError::Unknown { source }),
                        true => return Err(ControlError::NotRun { source }),
                        false => {}
                    }
                }
            }
            compio::time::sleep(pause).await;
            most_pause_ms = (most_pause_ms * 2).min(PAUSE_MAX_MS);
        }
    }

    /// Makes one attempt, with a detour beside it when the direct way is silent.
    async fn attempt(
        &self,
        (place, link): (usize, &RpcLink),
        call: &ControlCall,
        wait: Duration,
        limit: Duration,
    ) -> CallAttempt {
        let Some(relay) = self.relays.borrow_mut().next() else {
            let result = link.control(call.clone(), limit).await;
            return CallAttempt::direct(result);
        };
        let now = Instant::now();
        let patience = match self.is_silent(place, now, SILENCE_MEMORY) {
            true => Duration::ZERO,
            false => DETOUR_AFTER + wait,
        };
        let direct = link.control(call.clone(), limit);
        let detour = || {
            let (relay, call) = (relay.clone(), call.clone());
            async move { relay.control(call, limit).await }
        };
        let attempt = try_both(direct, detour, patience).await;
        if attempt.relay_failed {
            self.relays.borrow_mut().turn();
        }
        match (&attempt.result, attempt.by_detour) {
            (Ok(_), false) => {
                self.silent.borrow_mut().remove(&place);
            }
            (Ok(_), true) => self.leave_silent(place),
            (Err(_), _) => {}
        }
        attempt
    }

    /// Notes that a replica was silent while a relay reached the leader, and asks another one next.
    fn leave_silent(&self, place: usize) {
        let now = Instant::now();
        self.silent.borrow_mut().insert(place, now);
        let length = self.links.borrow().len();
        if self.current.get() % length == place {
            self.current.set(self.next_after(place, length, now));
        }
    }

    fn update_budget<T>(&self, update: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budget = self.budget.get();
        let result = update(&mut budget);
        self.budget.set(budget);
        result
    }

    /// Returns the link for the next attempt with its place in the list, if any may be used.
    fn link(&self) -> Option<(usize, RpcLink)> {
        let (links, members) = (self.links.borrow(), self.members.borrow());
        let (first, length) = (self.current.get(), links.len());
        let may_use =
            |place: &usize| !self.members_only || members.contains(&links[*place].address());
        let place = (0..length)
            .map(|step| (first + step) % length)
            .find(may_use)?;
        self.current.set(place);
        Some((place, links[place].clone()))
    }

    /// Chooses the replica for the next attempt: the one that was named, or the next in turn.
    ///
    /// One that did not reply lately is passed over even if it is named: until the others have chosen
    /// another leader they go on naming it.
    fn turn(&self, failed: usize, error: &LinkError) {
        let now = Instant::now();
        match error {
            LinkError::Unreachable { .. } | LinkError::NoReply { .. } => {
                self.silent.borrow_mut().insert(failed, now);
            }
            _ => {
                self.silent.borrow_mut().remove(&failed);
            }
        }
        let named = match error {
            LinkError::Answered {
                source: CallError::NotLeader { leader: Some(name) },
            } => name.parse().ok().map(|address| {
                self.members.borrow_mut().insert(address);
                self.place_of(address)
            }),
            _ => None,
        };
        let length = self.links.borrow().len();
        match named.filter(|place| !self.is_silent(*place, now, NAMED_SILENCE)) {
            Some(named) => self.current.set(named),
            // Another call that failed meanwhile may have moved on already.
            None if self.current.get() % length != failed => {}
            None => self.current.set(self.next_after(failed, length, now)),
        }
    }

    fn is_silent(&self, place: usize, now: Instant, memory: Duration) -> bool {
        let silent = self.silent.borrow();
        silent.get(&place).is_some_and(|at| now < *at + memory)
    }

    /// Returns the next place in turn that replied lately, or the next one if none did.
    fn next_after(&self, failed: usize, length: usize, now: Instant) -> usize {
        let mut others = (1..length).map(|step| (failed + step) % length);
        let replying = others.find(|place| !self.is_silent(*place, now, SILENCE_MEMORY));
        replying.unwrap_or((failed + 1) % length)
    }

    /// Adds the processes that are not known yet, as new settings name them.
    pub fn add_seeds(&self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.place_of(*address);
        }
    }

    /// Takes the members of the control group, in place of those that were known.
    pub fn set_members(&self, addresses: &[SocketAddr]) {
        if !addresses.is_empty() {
            *self.members.borrow_mut() = addresses.iter().copied().collect();
            self.add_seeds(addresses);
        }
    }

    /// Returns the place of a replica's link; one that the settings don't name is added.
    fn place_of(&self, address: SocketAddr) -> usize {
        let mut links = self.links.borrow_mut();
        let known = links.iter().position(|link| link.address() == address);
        known.unwrap_or_else(|| {
            links.push(RpcLink::new(address, &self.cluster));
            links.len() - 1
        })
    }
}

/// Returns whether a refused submission may still be accepted, by an earlier attempt without a reply
/// that is on its way; a key that stands for another job rules that out.
fn may_arrive_late(call: &ControlCall, error: &LinkError) -> bool {
    match error {
        LinkError::Answered {
            source: CallError::Refused { reason },
        } => {
            let is_final = matches!(reason, RefusalReason::KeyReused { .. });
            matches!(call, ControlCall::Submit { .. }) && !is_final
        }
        _ => false,
    }
}

/// Returns whether a flow is refused; an earlier attempt without a reply may still be accepted.
fn refuses_submission(call: &ControlCall, reply: &ControlReply) -> bool {
    let submits = |call: &FlowCall| match call {
        FlowCall::Caller(request) => matches!(request.action, CallerAction::Submit(_)),
        _ => false,
    };
    matches!(call, ControlCall::Flow(call) if submits(call))
        && *reply != ControlReply::Flow(FlowReply::Accepted)
}

fn is_overloaded(error: &LinkError) -> bool {
    let overloaded = CallError::Overloaded;
    matches!(error, LinkError::Answered { source } if *source == overloaded)
}
