//! The capacity of every worker as a scheduling pass allocates and frees it.

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
    resource_vector::ResourceVector, //
};

/// The number of urgency levels.
const URGENCY_LEVELS: usize = ClassUrgency::Urgent as usize + 1;
/// At most one worker in this many is quarantined or probed.
const EXCLUDED_WORKER_DIVISOR: usize = 3;
/// The number of preemptions after which a job that can't be checkpointed is exempt from
/// preemption.
pub(crate) const MAX_PREEMPTIONS: u32 = 3;

/// The resources that one customer uses and is guaranteed on a worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CustomerClaim {
    pub(crate) customer: usize,
    /// The resources that are set aside for its guaranteed shapes.
    pub(crate) guaranteed: ResourceVector,
    /// The resources in use by its gangs that can't be preempted.
    pub(crate) non_preemptible: ResourceVector,
    /// The resources in use by all of its gangs.
    pub(crate) used: ResourceVector,
}

impl CustomerClaim {
    /// Returns whether the customer uses more than its guarantee on this worker.
    pub(crate) fn is_borrowing(&self) -> bool {
        self.used.accelerators() > self.guaranteed.accelerators()
            || !self.guaranteed.can_hold(&self.used)
    }
}

/// The capacity of one worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerCapacity {
    pub(crate) total: ResourceVector,
    /// The resources that are neither in use nor allocated by this pass.
    ///
    /// Components are negative where the pass has allocated resources of gangs that are still
    /// stopping.
    pub(crate) free: ResourceVector,
    /// The resources that stopping gangs still hold.
    pub(crate) releasing: ResourceVector,
    /// The resources outside all guarantees and all gangs that can't be preempted.
    pub(crate) slack: ResourceVector,
    pub(crate) claims: Vec<CustomerClaim>,
    pub(crate) rack: usize,
    pub(crate) domain: usize,
    /// Whether it may receive new work.
    pub(crate) schedulable: bool,
    /// Whether it may receive only a single task, of an idempotent job that isn't urgent.
    pub(crate) probing: bool,
    /// The distinct gangs on it that this pass has not preempted, as positions in the view.
    pub(crate) gangs: Vec<usize>,
    /// The number of members of each gang that was on it at the start of the pass.
    pub(crate) gang_members: Vec<(usize, u16)>,
    /// The reservations on it: the position among the pass's reservations, and the reserved
    /// resources.
    pub(crate) reservations: Vec<(usize, ResourceVector)>,
}

impl WorkerCapacity {
    /// Returns the number of members of a gang that were on the worker at the start of the pass.
    pub(crate) fn members_of(&self, gang: usize) -> u16 {
        let entry = self.gang_members.iter().find(|(known, _)| *known == gang);
        entry.map_or(0, |(_, members)| *members)
    }

    /// Returns the claim of a customer, which is empty if it has none.
    pub(crate) fn claim(&self, customer: usize) -> CustomerClaim {
        let claim = self.claims.iter().find(|c| c.customer == customer);
        claim.copied().unwrap_or(CustomerClaim {
            customer,
            ..CustomerClaim::default()
        })
    }

    /// Changes a customer's claim and updates the slack accordingly.
    pub(crate) fn change_claim(&mut self, customer: usize, change: impl Fn(&mut CustomerClaim)) {
        let mut claim = self.claim(customer);
        let before = claim.guaranteed.max(&claim.non_preemptible);
        change(&mut claim);
        let after = claim.guaranteed.max(&claim.non_preemptible);
        self.slack = self.slack.plus(&before).minus(&after);
        match self.claims.iter_mut().find(|c| c.customer == customer) {
            Some(known) => *known = claim,
            None => self.claims.push(claim),
        }
    }

    /// Returns the number of non-preemptible members that fit without using resources guaranteed to
    /// other customers.
    pub(crate) fn count_non_preemptible(&self, customer: usize, member: &ResourceVector) -> u16 {
        let claim = self.claim(customer);
        let unused_guarantee = claim
            .guaranteed
            .max(&claim.non_preemptible)
            .minus(&claim.non_preemptible);
        self.slack.plus(&unused_guarantee).count_fitting(member)
    }
}

/// The capacity of all workers.
#[derive(Debug, Clone)]
pub(crate) struct ClusterCapacity<'a> {
    pub(crate) workers: Vec<WorkerCapacity>,
    /// The number of racks.
    pub(crate) racks: usize,
    /// The number of free accelerators in each rack.
    pub(crate) rack_free: Vec<i64>,
    /// The number of failure domains.
    pub(crate) domains: usize,
    customers: BTreeMap<&'a CustomerName, usize>,
    /// The customer of each placed gang, by position in the view.
    pub(crate) gang_customers: Vec<usize>,
    /// The number of accelerators that each customer holds.
    pub(crate) held: Vec<i64>,
    /// The number of accelerators that each customer holds, by urgency.
    held_by_urgency: Vec<[i64; URGENCY_LEVELS]>,
    /// The number of accelerators that each customer is guaranteed.
    pub(crate) guaranteed: Vec<i64>,
}

impl<'a> ClusterCapacity<'a> {
    pub(crate) fn new(view: &ClusterView<'a>) -> Self {
        let customers: BTreeMap<_, _> = view.templates.keys().zip(0..).collect();
        let guaranteed = view.templates.values().map(|t| {
            let sizes = t.guaranteed.iter().map(GangShape::accelerators);
            i64::try_from(sizes.sum::<u64>()).unwrap_or(i64::MAX)
        });
        let mut cluster = Self {
            workers: Vec::with_capacity(view.workers.len()),
            racks: 0,
            rack_free: Vec::new(),
            domains: 0,
            held: vec![0; customers.len()],
            held_by_urgency: vec![[0; URGENCY_LEVELS]; customers.len()],
            guaranteed: guaranteed.collect(),
            gang_customers: Vec::with_capacity(view.placed.len()),
            customers,
        };
        cluster.add_workers(view);
        cluster.add_gangs(view);
        cluster
    }

    fn add_workers(&mut self, view: &ClusterView<'a>) {
        let excluded = excluded_workers(view);
        let mut racks = BTreeMap::new();
        let mut domains = BTreeMap::new();
        for worker in &view.workers {
            let next = racks.len();
            let rack = *racks
                .entry((&worker.shape.domain, &worker.shape.rack))
                .or_insert(next);
            let next = domains.len();
            let domain = *domains.entry(&worker.shape.domain).or_insert(next);
            let health = excluded.get(worker.name).copied();
            let health = health.unwrap_or(HealthState::Healthy);
            let total = ResourceVector::new(&worker.shape.total, worker.shape.slots);
            self.workers.push(WorkerCapacity {
                total,
                free: ResourceVector::new(&worker.free, worker.free_slots),
                slack: total,
                rack,
                domain,
                schedulable: worker.schedulable
                    && !matches!(health, HealthState::Quarantined { .. }),
                probing: health == HealthState::Probing,
                ..WorkerCapacity::default()
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
            let non_preemptible = !gang.stopping && !gang.rule.idempotent;
            let member = ResourceVector::from_task(&gang.gang.member);
            // Members on the same worker are usually adjacent in the list.
            for members in gang.workers.chunk_by(|a, b| a == b) {
                let count = u16::try_from(members.len()).unwrap_or(u16::MAX);
                let held = member.times(count);
                let worker = &mut self.workers[members[0]];
                worker.change_claim(customer, |claim| {
                    claim.used = claim.used.plus(&held);
                    if non_preemptible {
                        claim.non_preemptible = claim.non_preemptible.plus(&held);
                    }
                });
                if gang.stopping {
                    worker.releasing = worker.releasing.plus(&held);
                }
                match worker.gang_members.last_mut() {
                    Some((known, members)) if *known == position => *members += count,
                    _ => {
                        worker.gang_members.push((position, count));
                        worker.gangs.push(position);
                    }
                }
            }
            let count = i64::try_from(gang.workers.len()).unwrap_or(i64::MAX);
            self.adjust_held(customer, gang.rule.urgency, count * member.accelerators());
        }
    }

    /// Returns the number of workers that may receive new work.
    pub(crate) fn schedulable_workers(&self) -> usize {
        self.workers.iter().filter(|w| w.schedulable).count()
    }

    /// Returns the index of a customer.
    ///
    /// Every job in a view belongs to a customer with a template, so the default isn't reached.
    pub(crate) fn customer(&self, name: &CustomerName) -> usize {
        self.customers.get(name).copied().unwrap_or_default()
    }

    /// Adjusts the number of accelerators that a customer holds; a negative number releases them.
    pub(crate) fn adjust_held(
        &mut self,
        customer: usize,
        urgency: ClassUrgency,
        accelerators: i64,
    ) {
        self.held[customer] += accelerators;
        self.held_by_urgency[customer][urgency as usize] += accelerators;
    }

    /// Returns the number of accelerators that a customer holds with jobs of at least the given
    /// urgency.
    pub(crate) fn held_at_or_above(&self, customer: usize, urgency: ClassUrgency) -> i64 {
        self.held_by_urgency[customer][urgency as usize..]
            .iter()
            .sum()
    }

    /// Allocates one member on each worker of a placement: the resources are no longer free and
    /// count as used by the customer.
    pub(crate) fn allocate(
        &mut self,
        customer: usize,
        shape: &ResourceShape,
        non_preemptible: bool,
        placement: &[usize],
    ) {
        let member = ResourceVector::from_task(shape);
        for position in placement {
            let worker = &mut self.workers[*position];
            worker.free = worker.free.minus(&member);
            self.rack_free[worker.rack] -= member.accelerators();
            // A single task suffices to probe a worker.
            worker.schedulable &= !worker.probing;
            worker.change_claim(customer, |claim| {
                claim.used = claim.used.plus(&member);
                if non_preemptible {
                    claim.non_preemptible = claim.non_preemptible.plus(&member);
                }
            });
        }
    }
}

/// Returns the workers that are quarantined or probed.
///
/// If that is more than one worker in [`EXCLUDED_WORKER_DIVISOR`], the jobs are more likely at fault
/// than the workers, and only the first of these workers by name are returned.
fn excluded_workers<'a>(view: &ClusterView<'a>) -> BTreeMap<&'a WorkerName, HealthState> {
    let health = view.memory.health.iter();
    let states = health.map(|(name, health)| (name, health.state(view.now)));
    let max_excluded = view.workers.len() / EXCLUDED_WORKER_DIVISOR;
    let excluded = states.filter(|(_, state)| *state != HealthState::Healthy);
    excluded.take(max_excluded).collect()
}

/// Returns whether a job can't be preempted safely, or has been preempted too often already.
///
/// In the latter case it may still be preempted to reclaim a guarantee.
pub(crate) fn is_preemption_exempt(rule: &ClassRule, job: JobId, memory: &PolicyMemory) -> bool {
    match (rule.idempotent, rule.checkpointable) {
        (false, _) => true,
        (true, true) => false,
        (true, false) => memory
            .jobs
            .get(&job)
            .is_some_and(|h| h.preemptions >= MAX_PREEMPTIONS),
    }
}
