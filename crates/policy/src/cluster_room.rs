//! The room on every worker while a round of decisions goes on.

use std::collections::BTreeMap;

use roseridge_model::{
    ClassRule,
    ClassUrgency,
    CustomerName,
    GangShape,
    JobId,
    ResourceShape,
    WorkerName, //
};

use crate::{
    ClusterView,
    HealthState,
    PolicyMemory,
    room::Room, //
};

/// The number of urgencies.
const URGENCIES: usize = ClassUrgency::Urgent as usize + 1;
/// At most one worker in this many is barred for its failures.
const BARRED_PART: usize = 3;
/// Stops after which work that would lose its progress is no longer stopped for others.
pub(crate) const YIELD_LIMIT: u32 = 3;

/// What one customer holds and is guaranteed on a worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CustomerClaim {
    pub(crate) customer: usize,
    /// Set aside for its guaranteed shapes.
    pub(crate) guaranteed: Room,
    /// Held by work that can't be stopped.
    pub(crate) firm: Room,
    /// Held by all of its work.
    pub(crate) used: Room,
}

impl CustomerClaim {
    /// Returns whether the customer holds more than its guarantee here.
    pub(crate) fn borrows(&self) -> bool {
        self.used.accelerators() > self.guaranteed.accelerators()
            || !self.guaranteed.can_hold(&self.used)
    }
}

/// One worker's room.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerRoom {
    pub(crate) total: Room,
    /// What nobody holds and nobody was promised; below zero where more is promised than is free.
    pub(crate) free: Room,
    /// What gangs hold that are being stopped.
    pub(crate) ending: Room,
    /// What is left beside guarantees and work that can't be stopped.
    pub(crate) slack: Room,
    pub(crate) claims: Vec<CustomerClaim>,
    pub(crate) rack: usize,
    pub(crate) domain: usize,
    pub(crate) schedulable: bool,
    /// Whether it may only receive one task of work that may be repeated.
    pub(crate) probing: bool,
    /// The gangs on it, as positions in the view, each once.
    pub(crate) gangs: Vec<usize>,
    /// The members of each gang that stood on it when the round began.
    pub(crate) shares: Vec<(usize, u16)>,
    /// The reservations that it is part of: the position in the plan, and the room kept.
    pub(crate) kept: Vec<(usize, Room)>,
}

impl WorkerRoom {
    /// Returns the members of a gang on the worker.
    pub(crate) fn share(&self, gang: usize) -> u16 {
        let found = self.shares.iter().find(|(known, _)| *known == gang);
        found.map_or(0, |(_, members)| *members)
    }

    pub(crate) fn claim(&self, customer: usize) -> CustomerClaim {
        let found = self.claims.iter().find(|c| c.customer == customer);
        found.copied().unwrap_or(CustomerClaim {
            customer,
            ..CustomerClaim::default()
        })
    }

    /// Changes a customer's claim and keeps the slack in step.
    pub(crate) fn change_claim(&mut self, customer: usize, change: impl Fn(&mut CustomerClaim)) {
        let mut claim = self.claim(customer);
        let before = claim.guaranteed.max(&claim.firm);
        change(&mut claim);
        let after = claim.guaranteed.max(&claim.firm);
        self.slack = self.slack.plus(&before).minus(&after);
        match self.claims.iter_mut().find(|c| c.customer == customer) {
            Some(known) => *known = claim,
            None => self.claims.push(claim),
        }
    }

    /// Returns how many firm members fit without touching what is guaranteed to others.
    pub(crate) fn firm_count(&self, customer: usize, member: &Room) -> u16 {
        let claim = self.claim(customer);
        let spare = claim.guaranteed.max(&claim.firm).minus(&claim.firm);
        self.slack.plus(&spare).count(member)
    }
}

/// All workers' room.
#[derive(Debug, Clone)]
pub(crate) struct ClusterRoom<'a> {
    pub(crate) workers: Vec<WorkerRoom>,
    pub(crate) racks: usize,
    /// The free accelerators of each rack.
    pub(crate) rack_free: Vec<i64>,
    pub(crate) domains: usize,
    customers: BTreeMap<&'a CustomerName, usize>,
    /// The customer of each placed gang.
    pub(crate) gang_customers: Vec<usize>,
    /// The accelerators that each customer holds, and those it is guaranteed.
    pub(crate) held: Vec<i64>,
    /// The accelerators that each customer holds with work of each urgency.
    held_by_urgency: Vec<[i64; URGENCIES]>,
    pub(crate) guaranteed: Vec<i64>,
}

impl<'a> ClusterRoom<'a> {
    pub(crate) fn new(view: &ClusterView<'a>) -> Self {
        let customers: BTreeMap<_, _> = view.templates.keys().zip(0..).collect();
        let guaranteed = view.templates.values().map(|t| {
            let sizes = t.guaranteed.iter().map(GangShape::accelerators);
            i64::try_from(sizes.sum::<u64>()).unwrap_or(i64::MAX)
        });
        let mut room = Self {
            workers: Vec::with_capacity(view.workers.len()),
            racks: 0,
            rack_free: Vec::new(),
            domains: 0,
            held: vec![0; customers.len()],
            held_by_urgency: vec![[0; URGENCIES]; customers.len()],
            guaranteed: guaranteed.collect(),
            gang_customers: Vec::with_capacity(view.placed.len()),
            customers,
        };
        room.add_workers(view);
        room.add_gangs(view);
        room
    }

    fn add_workers(&mut self, view: &ClusterView<'a>) {
        let barred = barred_workers(view);
        let mut racks = BTreeMap::new();
        let mut domains = BTreeMap::new();
        for worker in &view.workers {
            let next = racks.len();
            let rack = *racks
                .entry((&worker.shape.domain, &worker.shape.rack))
                .or_insert(next);
            let next = domains.len();
            let domain = *domains.entry(&worker.shape.domain).or_insert(next);
            let health = barred.get(worker.name).copied();
            let health = health.unwrap_or(HealthState::Healthy);
            let total = Room::new(&worker.shape.total, worker.shape.slots);
            self.workers.push(WorkerRoom {
                total,
                free: Room::new(&worker.free, worker.free_slots),
                slack: total,
                rack,
                domain,
                schedulable: worker.schedulable
                    && !matches!(health, HealthState::Quarantined { .. }),
                probing: health == HealthState::Probing,
                ..WorkerRoom::default()
            });
        }
        self.racks = racks.len();
        self.rack_free = vec![0; self.racks];
        for worker in &self.workers {
            self.rack_free[worker.rack] += worker.free.accelerators();
        }
        self.domains = domains.len();
    }

    fn add_gangs(&mut self, view: &ClusterView<'a>) {
        for (position, gang) in view.placed.iter().enumerate() {
            let customer = self.customer(gang.customer);
            self.gang_customers.push(customer);
            let firm = !gang.stopping && !gang.rule.idempotent;
            let member = Room::of_task(&gang.gang.member);
            // Members on one worker mostly follow each other.
            for members in gang.workers.chunk_by(|a, b| a == b) {
                let count = u16::try_from(members.len()).unwrap_or(u16::MAX);
                let held = member.times(count);
                let room = &mut self.workers[members[0]];
                room.change_claim(customer, |claim| {
                    claim.used = claim.used.plus(&held);
                    if firm {
                        claim.firm = claim.firm.plus(&held);
                    }
                });
                if gang.stopping {
                    room.ending = room.ending.plus(&held);
                }
                match room.shares.last_mut() {
                    Some((known, members)) if *known == position => *members += count,
                    _ => {
                        room.shares.push((position, count));
                        room.gangs.push(position);
                    }
                }
            }
            let count = i64::try_from(gang.workers.len()).unwrap_or(i64::MAX);
            self.note_held(customer, gang.rule.urgency, count * member.accelerators());
        }
    }

    /// Returns how many workers may receive work.
    pub(crate) fn open_workers(&self) -> usize {
        self.workers.iter().filter(|w| w.schedulable).count()
    }

    /// Returns the number of a customer; every job in a view belongs to a template.
    pub(crate) fn customer(&self, name: &CustomerName) -> usize {
        self.customers.get(name).copied().unwrap_or_default()
    }

    /// Counts accelerators that a customer gets, or gives back.
    pub(crate) fn note_held(&mut self, customer: usize, urgency: ClassUrgency, accelerators: i64) {
        self.held[customer] += accelerators;
        self.held_by_urgency[customer][urgency as usize] += accelerators;
    }

    /// Returns the accelerators that a customer holds with work at least as urgent.
    pub(crate) fn held_at(&self, customer: usize, urgency: ClassUrgency) -> i64 {
        self.held_by_urgency[customer][urgency as usize..]
            .iter()
            .sum()
    }

    /// Promises places: they are no longer free, and count as held by the customer.
    pub(crate) fn take(
        &mut self,
        customer: usize,
        shape: &ResourceShape,
        firm: bool,
        places: &[usize],
    ) {
        let member = Room::of_task(shape);
        for worker in places {
            let room = &mut self.workers[*worker];
            room.free = room.free.minus(&member);
            self.rack_free[room.rack] -= member.accelerators();
            // One task is enough to probe a worker.
            room.schedulable &= !room.probing;
            room.change_claim(customer, |claim| {
                claim.used = claim.used.plus(&member);
                if firm {
                    claim.firm = claim.firm.plus(&member);
                }
            });
        }
    }
}

/// Returns the workers that are quarantined or probed: where more than a part of all failed, the work
/// is more likely at fault than the workers, and only the first of them are barred.
fn barred_workers<'a>(view: &ClusterView<'a>) -> BTreeMap<&'a WorkerName, HealthState> {
    let health = view.memory.health.iter();
    let states = health.map(|(name, health)| (name, health.state(view.now)));
    let most = view.workers.len() / BARRED_PART;
    let barred = states.filter(|(_, state)| *state != HealthState::Healthy);
    barred.take(most).collect()
}

/// Returns whether work can't be stopped safely, or was stopped too often already: only the owner of a
/// guarantee may stop the latter.
pub(crate) fn is_spared(rule: &ClassRule, job: JobId, memory: &PolicyMemory) -> bool {
    match (rule.idempotent, rule.checkpointable) {
        (false, _) => true,
        (true, true) => false,
        (true, false) => memory
            .jobs
            .get(&job)
            .is_some_and(|h| h.preemptions >= YIELD_LIMIT),
    }
}
