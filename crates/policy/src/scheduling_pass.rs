//! The state of one scheduling pass and the steps that change it.

use roseridge_model::{
    ClassUrgency,
    DurationMs,
    FastSet,
    GangShape,
    JobId,
    UnixMillis,
    WorkerName, //
};

use crate::{
    ClusterView,
    PolicyDecision,
    WaitReason,
    WaitingJob,
    admission::fits_workers,
    cluster_capacity::ClusterCapacity,
    guarantee::{
        GuaranteePlan,
        replan_all, //
    },
    placement::find_placement,
    preemption::{
        PreemptionPlan,
        PreemptionRight,
        plan_preemption, //
    },
    reservation::{
        ActiveReservation,
        LARGE_GANG_ACCELERATORS,
        expected_end,
        plan_reservation,
        ready_at,
        reservation_limit, //
    },
    resource_vector::ResourceVector, //
};

/// A gang is migrated only if it has run for at least this time and is expected to run for at least
/// this time again.
const MIN_MIGRATION_RUN: DurationMs = DurationMs(300_000);

/// A reservation is moved to other workers only if they are expected to be free at least this much
/// sooner.
const MIN_RESERVATION_GAIN: DurationMs = DurationMs(600_000);
/// The number of reservations, counted from the first, that a pass may move to other workers.
const MAX_MOVED_RESERVATIONS: usize = 1;

/// The needs of a waiting job, as computed from the state of the pass.
#[derive(Debug)]
pub(crate) struct JobNeed<'a> {
    pub(crate) waiting: &'a WaitingJob<'a>,
    /// The index of its customer.
    pub(crate) customer: usize,
    /// The resources of one member.
    pub(crate) member: ResourceVector,
    /// Whether it can't be preempted once it has started.
    pub(crate) non_preemptible: bool,
    /// Whether it fits within its customer's guarantee, together with the accelerators that the
    /// customer holds on any worker with jobs of at least the same urgency.
    pub(crate) within_guarantee: bool,
    /// Whether only workers that the customer's guarantee is set aside on are considered.
    pub(crate) guaranteed_only: bool,
    /// The workers that the job avoids, as positions in the view.
    pub(crate) avoided_workers: Vec<usize>,
    /// The conservative estimate of the time at which it ends if it starts now.
    pub(crate) expected_end_at: UnixMillis,
    /// The conservative estimate of its run time.
    pub(crate) run_estimate: DurationMs,
}

impl JobNeed<'_> {
    pub(crate) fn avoids(&self, worker: usize) -> bool {
        self.avoided_workers.contains(&worker)
    }
}

/// The properties that determine whether a job can be placed: customer, gang shape, whether it is
/// non-preemptible, whether it is urgent, and the magnitude of its run time.
///
/// If a job can't be placed, other jobs with the same key are skipped.
type NeedKey = (usize, GangShape, bool, bool, u32);

/// One scheduling pass.
#[derive(Debug)]
pub(crate) struct SchedulingPass<'v, 'a> {
    pub(crate) view: &'v ClusterView<'a>,
    pub(crate) cluster: ClusterCapacity<'a>,
    /// The reservations; released ones keep their index and have an empty placement.
    pub(crate) reservations: Vec<ActiveReservation>,
    pub(crate) decisions: Vec<PolicyDecision>,
    pub(crate) wait_reasons: Vec<(JobId, WaitReason)>,
    /// The plan of all guarantees, if this pass replanned them to place a job.
    pub(crate) replanned: Option<GuaranteePlan>,
    /// The number of replans that were tried to place a job.
    replans: u32,
    /// The gangs that this pass preempts, as positions in the view.
    preempted: FastSet<usize>,
    /// The needs for which no placement was found.
    unplaceable: FastSet<NeedKey>,
    /// The needs for which no preemption was found.
    without_preemption: FastSet<(NeedKey, PreemptionRight)>,
}

impl<'v, 'a> SchedulingPass<'v, 'a> {
    pub(crate) fn new(view: &'v ClusterView<'a>, cluster: ClusterCapacity<'a>) -> Self {
        Self {
            view,
            cluster,
            reservations: Vec::new(),
            decisions: Vec::new(),
            wait_reasons: Vec::new(),
            replanned: None,
            replans: 0,
            preempted: FastSet::default(),
            unplaceable: FastSet::default(),
            without_preemption: FastSet::default(),
        }
    }

    /// Returns the needs of a waiting job in the current state of the pass.
    pub(crate) fn need(&self, waiting: &'v WaitingJob<'a>) -> JobNeed<'v> {
        let history = self.view.memory.jobs.get(&waiting.job);
        let failed_on = history.into_iter().flat_map(|h| &h.failed_on);
        let position = |name: &WorkerName| {
            self.view
                .workers
                .binary_search_by(|w| w.name.cmp(name))
                .ok()
        };
        let failed_on: Vec<_> = failed_on.filter_map(position).collect();
        let run_time_ratio = self
            .view
            .memory
            .run_time_ratio(waiting.customer, waiting.class);
        let run_estimate = run_time_ratio.estimate(waiting.run_time());
        let customer = self.cluster.customer(waiting.customer);
        let member = ResourceVector::from_task(&waiting.gang.member);
        let requested = member.times(waiting.gang.members).accelerators();
        let held = self
            .cluster
            .held_at_or_above(customer, waiting.rule.urgency);
        JobNeed {
            waiting,
            customer,
            member,
            guaranteed_only: false,
            within_guarantee: held + requested <= self.cluster.guaranteed[customer],
            non_preemptible: !waiting.rule.idempotent,
            avoided_workers: self.avoided_workers(waiting, failed_on),
            expected_end_at: self.view.now.plus(run_estimate),
            run_estimate,
        }
    }

    /// Returns the workers that a job avoids: those on which it failed, provided it fits on the
    /// others.
    fn avoided_workers(&self, waiting: &WaitingJob<'_>, failed_on: Vec<usize>) -> Vec<usize> {
        let workers = self.view.workers.iter().enumerate();
        let others = workers
            .filter(|(w, _)| self.cluster.workers[*w].schedulable && !failed_on.contains(w))
            .map(|(_, worker)| worker.shape);
        match failed_on.is_empty() || fits_workers(others, waiting.gang) {
            true => failed_on,
            false => Vec::new(),
        }
    }

    /// Returns the key of a need, or `None` if the job is restricted to some workers.
    fn key(need: &JobNeed<'_>) -> Option<NeedKey> {
        let gang = *need.waiting.gang;
        let urgent = need.waiting.rule.urgency == ClassUrgency::Urgent;
        let is_unrestricted = need.avoided_workers.is_empty() && !need.guaranteed_only;
        is_unrestricted.then_some((
            need.customer,
            gang,
            need.non_preemptible,
            urgent,
            need.run_magnitude(),
        ))
    }

    /// Restores the reservations of earlier passes whose jobs still wait and whose workers are
    /// schedulable.
    pub(crate) fn restore_reservations(&mut self) {
        let plan = &self.view.memory.plan;
        for known in &plan.reservations {
            let waiting = self.view.waiting.iter().find(|w| w.job == known.job);
            let find = |name| {
                let position = self.view.workers.binary_search_by(|w| w.name.cmp(name));
                position
                    .ok()
                    .filter(|w| self.cluster.workers[*w].schedulable)
            };
            let placement: Option<Vec<_>> = known.workers.iter().map(find).collect();
            let (Some(waiting), Some(placement)) = (waiting, placement) else {
                continue;
            };
            let reservation = ActiveReservation {
                job: known.job,
                ready_at: ready_at(self.view, &self.cluster, &placement, known.since),
                since: known.since,
                placement,
            };
            let need = self.need(waiting);
            let reservation = self.replace_if_sooner(&need, reservation);
            self.add_reservation(waiting, reservation);
        }
    }

    /// Returns a reservation, or one on other workers that are expected to be free much sooner.
    fn replace_if_sooner(
        &self,
        need: &JobNeed<'_>,
        reservation: ActiveReservation,
    ) -> ActiveReservation {
        let threshold = self.view.now.plus(MIN_RESERVATION_GAIN);
        if reservation.ready_at <= threshold || self.reservations.len() >= MAX_MOVED_RESERVATIONS {
            return reservation;
        }
        match plan_reservation(self.view, &self.cluster, need) {
            Some(other) if other.ready_at.plus(MIN_RESERVATION_GAIN) <= reservation.ready_at => {
                ActiveReservation {
                    since: reservation.since,
                    ..other
                }
            }
            _ => reservation,
        }
    }

    fn add_reservation(&mut self, waiting: &WaitingJob<'_>, reservation: ActiveReservation) {
        let member = ResourceVector::from_task(&waiting.gang.member);
        let index = self.reservations.len();
        for position in &reservation.placement {
            let worker = &mut self.cluster.workers[*position];
            match worker.reservations.iter_mut().find(|(n, _)| *n == index) {
                Some((_, reserved)) => *reserved = reserved.plus(&member),
                None => worker.reservations.push((index, member)),
            }
        }
        self.reservations.push(reservation);
    }

    /// Releases a job's reservation, if it has one.
    fn release_reservation(&mut self, job: JobId) {
        if let Some(index) = self.reservations.iter().position(|r| r.job == job) {
            for worker in &mut self.cluster.workers {
                worker.reservations.retain(|(n, _)| *n != index);
            }
            self.reservations[index].placement.clear();
        }
    }

    pub(crate) fn reservation_of(&self, job: JobId) -> Option<&ActiveReservation> {
        let mut reservations = self.reservations.iter();
        reservations.find(|r| r.job == job && !r.placement.is_empty())
    }

    /// Returns the number of members of a job that a worker can hold now.
    ///
    /// Reserved resources are excluded unless `ignore_reservations` is set, the job is within its
    /// guarantee on this worker, the reservation is its own, or it is expected to end before the
    /// reservation is ready. A worker in probing can hold one member of a job that is neither
    /// urgent nor non-preemptible, if no gang is on the worker.
    fn capacity(&self, need: &JobNeed<'_>, worker: usize, ignore_reservations: bool) -> u16 {
        let candidate = &self.cluster.workers[worker];
        if !candidate.schedulable || need.avoids(worker) {
            return 0;
        }
        let mut free = candidate.free;
        let is_guaranteed =
            need.within_guarantee && candidate.claim(need.customer).guaranteed.slots() > 0;
        if need.guaranteed_only && !is_guaranteed {
            return 0;
        }
        for (index, reserved) in &candidate.reservations {
            let reservation = &self.reservations[*index];
            let may_use = ignore_reservations
                || is_guaranteed
                || reservation.job == need.waiting.job
                || need.expected_end_at <= reservation.ready_at;
            if !may_use {
                free = free.min(&candidate.free.minus(reserved));
            }
        }
        let count = free.count_fitting(&need.member);
        let count = match need.non_preemptible {
            true => count.min(candidate.count_non_preemptible(need.customer, &need.member)),
            false => count,
        };
        match candidate.probing {
            true if need.non_preemptible || !candidate.gangs.is_empty() || need.is_urgent() => 0,
            true => count.min(1),
            false => count,
        }
    }

    /// Returns the cost of using a worker.
    ///
    /// Reserved workers cost most, then workers on which the customer would use resources set aside
    /// for others, then workers and racks with many free accelerators, which are kept unfragmented.
    fn cost(&self, need: &JobNeed<'_>, worker: usize) -> i64 {
        let candidate = &self.cluster.workers[worker];
        let claim = candidate.claim(need.customer);
        let is_within_guarantee = claim.guaranteed.can_hold(&claim.used.plus(&need.member));
        let is_borrowing = !is_within_guarantee && !candidate.slack.can_hold(&need.member);
        let is_reserved = i64::from(!candidate.reservations.is_empty());
        let fragmentation =
            4 * candidate.free.accelerators() + self.cluster.rack_free[candidate.rack];
        fragmentation + 256 * i64::from(is_borrowing) + 512 * is_reserved
    }

    /// Places a job on free resources; returns whether it was placed.
    pub(crate) fn place(&mut self, need: &JobNeed<'_>) -> bool {
        let key = Self::key(need).filter(|_| self.reservation_of(need.waiting.job).is_none());
        if key.is_some_and(|k| self.unplaceable.contains(&k)) {
            return false;
        }
        let capacity = |worker| self.capacity(need, worker, need.is_urgent());
        let cost = |worker| self.cost(need, worker);
        let planned = find_placement(&self.cluster, need.waiting.gang, capacity, cost);
        let Some(placement) = planned else {
            self.unplaceable.extend(key);
            return false;
        };
        self.release_reservation(need.waiting.job);
        let shape = &need.waiting.gang.member;
        self.cluster
            .allocate(need.customer, shape, need.non_preemptible, &placement);
        self.adjust_held(need);
        self.push_placement(need, &placement);
        true
    }

    /// Places a non-preemptible job on resources that are set aside, if all guarantees can be
    /// placed elsewhere; returns whether it was placed.
    ///
    /// This is tried once per pass at most, because it replans all guarantees.
    pub(crate) fn place_with_replan(&mut self, need: &JobNeed<'_>) -> bool {
        if !need.non_preemptible || self.replans > 0 {
            return false;
        }
        let capacity = |worker: usize| {
            let candidate = &self.cluster.workers[worker];
            match candidate.schedulable
                && !candidate.probing
                && candidate.reservations.is_empty()
                && !need.avoids(worker)
            {
                true => candidate.free.count_fitting(&need.member),
                false => 0,
            }
        };
        // Workers with the most resources outside guarantees come first.
        let cost = |worker: usize| -self.cluster.workers[worker].slack.accelerators();
        let planned = find_placement(&self.cluster, need.waiting.gang, capacity, cost);
        let Some(placement) = planned else {
            return false;
        };
        self.replans += 1;
        let mut cluster = self.cluster.clone();
        let shape = &need.waiting.gang.member;
        cluster.allocate(need.customer, shape, true, &placement);
        let plan = replan_all(self.view, &mut cluster);
        let is_whole = plan.degraded.is_empty();
        if is_whole {
            self.cluster = cluster;
            self.adjust_held(need);
            self.push_placement(need, &placement);
        }
        self.replanned = Some(plan).filter(|_| is_whole);
        is_whole
    }

    fn push_placement(&mut self, need: &JobNeed<'_>, placement: &[usize]) {
        let names = placement.iter().map(|w| self.view.workers[*w].name.clone());
        self.decisions.push(PolicyDecision::Place {
            job: need.waiting.job,
            workers: names.collect(),
        });
    }

    /// Preempts other gangs on the workers selected by `within`, if `right` permits it; returns
    /// whether the job can start once they have stopped.
    pub(crate) fn preempt_others(
        &mut self,
        need: &JobNeed<'_>,
        right: PreemptionRight,
        within: impl Fn(usize) -> bool,
    ) -> bool {
        let key = Self::key(need).filter(|_| right != PreemptionRight::Reservation);
        let key = key.map(|k| (k, right));
        if key.is_some_and(|k| self.without_preemption.contains(&k)) {
            return false;
        }
        let Some(plan) = plan_preemption(self.view, &self.cluster, need, right, within) else {
            self.without_preemption.extend(key);
            return false;
        };
        self.commit_preemption(need, &plan);
        true
    }

    /// Adds the decisions of a preemption plan, and allocates the resources to the preempting job.
    fn commit_preemption(&mut self, need: &JobNeed<'_>, plan: &PreemptionPlan) {
        let mut stopping = Vec::new();
        for victim in &plan.victims {
            let gang = &self.view.placed[*victim];
            if !self.preempted.insert(*victim) {
                continue;
            }
            stopping.push(gang.job);
            self.decisions.push(PolicyDecision::Preempt {
                job: gang.job,
                in_favour_of: need.waiting.job,
            });
            self.record_preempted(*victim);
        }
        let shape = &need.waiting.gang.member;
        self.cluster
            .allocate(need.customer, shape, need.non_preemptible, &plan.placement);
        self.adjust_held(need);
        self.wait_reasons.push((
            need.waiting.job,
            WaitReason::AwaitingPreemption { stopping },
        ));
    }

    /// Counts the accelerators allocated to a job as held by its customer.
    fn adjust_held(&mut self, need: &JobNeed<'_>) {
        let allocated = need.member.times(need.waiting.gang.members).accelerators();
        let urgency = need.waiting.rule.urgency;
        self.cluster.adjust_held(need.customer, urgency, allocated);
    }

    /// Counts a preempted gang's resources as releasing, and removes the gang from its workers.
    fn record_preempted(&mut self, victim: usize) {
        let gang = &self.view.placed[victim];
        let customer = self.cluster.customer(gang.customer);
        let member = ResourceVector::from_task(&gang.gang.member);
        for worker in &gang.workers {
            let capacity = &mut self.cluster.workers[*worker];
            capacity.releasing = capacity.releasing.plus(&member);
            capacity.gangs.retain(|g| *g != victim);
            capacity.change_claim(customer, |claim| claim.used = claim.used.minus(&member));
        }
        let count = i64::try_from(gang.workers.len()).unwrap_or(i64::MAX);
        let freed = count * member.accelerators();
        self.cluster
            .adjust_held(customer, gang.rule.urgency, -freed);
    }

    /// Returns the reason why a job that was not placed waits.
    pub(crate) fn wait_reason(&self, need: &JobNeed<'_>) -> WaitReason {
        if let Some(reservation) = self.reservation_of(need.waiting.job) {
            return WaitReason::HasReservation {
                since: reservation.since,
                ready_at: reservation.ready_at,
                workers: reservation.to_gang_reservation(self.view).workers,
            };
        }
        let fits = |capacity: &dyn Fn(usize) -> u16| {
            find_placement(&self.cluster, need.waiting.gang, capacity, |_| 0).is_some()
        };
        let reservation = self.reservations.iter().find(|r| !r.placement.is_empty());
        let free_count = |worker: usize| {
            let candidate = &self.cluster.workers[worker];
            match candidate.schedulable && !candidate.probing && !need.avoids(worker) {
                true => candidate.free.count_fitting(&need.member),
                false => 0,
            }
        };
        match reservation {
            Some(reservation) if fits(&|worker| self.capacity(need, worker, true)) => {
                WaitReason::ReservedForLarger {
                    job: reservation.job,
                }
            }
            _ if need.non_preemptible && fits(&free_count) => WaitReason::GuaranteedToOthers,
            _ => WaitReason::NoCapacity,
        }
    }

    /// Migrates a checkpointable gang off reserved workers, if it fits elsewhere.
    ///
    /// Returns whether a gang was migrated.
    pub(crate) fn migrate_one(&mut self) -> bool {
        let active = self.reservations.iter().filter(|r| !r.placement.is_empty());
        let reserved = active.flat_map(|r| r.placement.iter().map(move |w| (r.job, *w)));
        let migration = reserved
            .flat_map(|(job, w)| self.cluster.workers[w].gangs.iter().map(move |g| (job, *g)))
            .find(|(_, gang)| self.can_migrate(*gang));
        let Some((job, gang)) = migration else {
            return false;
        };
        self.decisions.push(PolicyDecision::Preempt {
            job: self.view.placed[gang].job,
            in_favour_of: job,
        });
        self.preempted.insert(gang);
        self.record_preempted(gang);
        true
    }

    /// Returns whether a gang may be migrated: it is checkpointable, its elapsed and its expected
    /// remaining run time are long enough, and it fits on unreserved workers.
    fn can_migrate(&self, position: usize) -> bool {
        let gang = &self.view.placed[position];
        let remaining = expected_end(self.view, gang).since(self.view.now);
        let is_worthwhile =
            remaining >= MIN_MIGRATION_RUN && self.view.now.since(gang.placed) >= MIN_MIGRATION_RUN;
        if gang.stopping || !gang.rule.checkpointable || !gang.released || !is_worthwhile {
            return false;
        }
        let member = ResourceVector::from_task(&gang.gang.member);
        let capacity = |worker: usize| {
            let candidate = &self.cluster.workers[worker];
            match candidate.schedulable && !candidate.probing && candidate.reservations.is_empty() {
                true => candidate.free.count_fitting(&member),
                false => 0,
            }
        };
        find_placement(&self.cluster, gang.gang, capacity, |_| 0).is_some()
    }

    /// Reserves workers for a job, unless the maximum number of reservations is reached.
    pub(crate) fn reserve(&mut self, need: &JobNeed<'_>) {
        let active = self
            .reservations
            .iter()
            .filter(|r| !r.placement.is_empty())
            .count();
        if active >= reservation_limit(self.view) {
            return;
        }
        if let Some(reservation) = plan_reservation(self.view, &self.cluster, need) {
            self.add_reservation(need.waiting, reservation);
        }
    }
}

impl JobNeed<'_> {
    /// Returns a number that is equal for estimated run times of the same binary order of magnitude:
    /// the number of leading zero bits.
    fn run_magnitude(&self) -> u32 {
        self.run_estimate.0.leading_zeros()
    }

    /// Returns whether the job may preempt less urgent gangs even outside its customer's guarantee.
    pub(crate) fn can_preempt_less_urgent(&self) -> bool {
        match self.waiting.rule.urgency {
            ClassUrgency::Urgent => true,
            ClassUrgency::Normal => self.waiting.gang.accelerators() >= LARGE_GANG_ACCELERATORS,
            ClassUrgency::Bulk => false,
        }
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.waiting.rule.urgency == ClassUrgency::Urgent
    }
}
