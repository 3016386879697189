//! One round of decisions, as it goes on.

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
    WaitingJob, //
    acceptance::fits_some,
    cluster_room::ClusterRoom,
    guarantee::{
        GuaranteeRound,
        replan_all, //
    },
    placement::choose_places,
    reservation::{
        KeptPlaces,
        LARGE_GANG,
        choose_reservation,
        expected_end,
        ready_at,
        reservation_limit, //
    },
    room::Room,
    yielding::{
        RoomMaking,
        YieldRight,
        make_room, //
    },
};

/// Work is moved only if it has run for this long and is expected to go on for this long.
const MOVE_PAYS: DurationMs = DurationMs(300_000);

/// A reservation goes elsewhere if that is ready sooner by this much.
const RECHOOSE_GAIN: DurationMs = DurationMs(600_000);
/// The reservations of a round that may go elsewhere.
const RECHOSEN: usize = 1;

/// What one waiting job needs, worked out once.
#[derive(Debug)]
pub(crate) struct JobNeed<'a> {
    pub(crate) waiting: &'a WaitingJob<'a>,
    pub(crate) customer: usize,
    pub(crate) member: Room,
    /// Whether it can't be stopped once it has started.
    pub(crate) firm: bool,
    /// Whether it stays within its customer's guarantee, beside what the customer holds anywhere and
    /// would not give up for it.
    pub(crate) covered: bool,
    /// Whether only the guarantee's own places are looked at.
    pub(crate) guaranteed_only: bool,
    pub(crate) failed_on: Vec<usize>,
    pub(crate) ends_by: UnixMillis,
    pub(crate) run: DurationMs,
}

impl JobNeed<'_> {
    pub(crate) fn avoids(&self, worker: usize) -> bool {
        self.failed_on.contains(&worker)
    }
}

/// What makes two waiting jobs alike: where one finds no places, the other finds none.
type NeedKey = (usize, GangShape, bool, bool, u32);

/// One round of decisions.
#[derive(Debug)]
pub(crate) struct DecisionRound<'v, 'a> {
    pub(crate) view: &'v ClusterView<'a>,
    pub(crate) room: ClusterRoom<'a>,
    pub(crate) kept: Vec<KeptPlaces>,
    pub(crate) decisions: Vec<PolicyDecision>,
    pub(crate) waits: Vec<(JobId, WaitReason)>,
    /// The guarantees' places, if this round planned them anew for a job.
    pub(crate) replanned: Option<GuaranteeRound>,
    replans: u32,
    stopped: FastSet<usize>,
    hopeless: FastSet<NeedKey>,
    unreachable: FastSet<(NeedKey, YieldRight)>,
}

impl<'v, 'a> DecisionRound<'v, 'a> {
    pub(crate) fn new(view: &'v ClusterView<'a>, room: ClusterRoom<'a>) -> Self {
        Self {
            view,
            room,
            kept: Vec::new(),
            decisions: Vec::new(),
            waits: Vec::new(),
            replanned: None,
            replans: 0,
            stopped: FastSet::default(),
            hopeless: FastSet::default(),
            unreachable: FastSet::default(),
        }
    }

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
        let ratio = self.view.memory.ratio(waiting.customer, waiting.class);
        let run = ratio.estimate(waiting.run());
        let customer = self.room.customer(waiting.customer);
        let member = Room::of_task(&waiting.gang.member);
        let wanted = member.times(waiting.gang.members).accelerators();
        let held = self.room.held_at(customer, waiting.rule.urgency);
        JobNeed {
            waiting,
            customer,
            member,
            guaranteed_only: false,
            covered: held + wanted <= self.room.guaranteed[customer],
            firm: !waiting.rule.idempotent,
            failed_on: self.avoidable(waiting, failed_on),
            ends_by: self.view.now.plus(run),
            run,
        }
    }

    /// Returns the workers that a job avoids: those on which it failed, if it would fit on the others.
    fn avoidable(&self, waiting: &WaitingJob<'_>, failed_on: Vec<usize>) -> Vec<usize> {
        let workers = self.view.workers.iter().enumerate();
        let others = workers
            .filter(|(w, _)| self.room.workers[*w].schedulable && !failed_on.contains(w))
            .map(|(_, worker)| worker.shape);
        match failed_on.is_empty() || fits_some(others, waiting.gang) {
            true => failed_on,
            false => Vec::new(),
        }
    }

    fn key(need: &JobNeed<'_>) -> Option<NeedKey> {
        let gang = *need.waiting.gang;
        let urgent = need.waiting.rule.urgency == ClassUrgency::Urgent;
        let plain = need.failed_on.is_empty() && !need.guaranteed_only;
        plain.then_some((need.customer, gang, need.firm, urgent, need.run_class()))
    }

    /// Keeps the reservations of earlier rounds that still make sense.
    pub(crate) fn keep_reservations(&mut self) {
        let plan = &self.view.memory.plan;
        for known in &plan.reservations {
            let waits = self.view.waiting.iter().find(|w| w.job == known.job);
            let find = |name| {
                let found = self.view.workers.binary_search_by(|w| w.name.cmp(name));
                found.ok().filter(|w| self.room.workers[*w].schedulable)
            };
            let places: Option<Vec<_>> = known.workers.iter().map(find).collect();
            let (Some(waiting), Some(places)) = (waits, places) else {
                continue;
            };
            let kept = KeptPlaces {
                job: known.job,
                ready_at: ready_at(self.view, &self.room, &places, known.since),
                since: known.since,
                places,
            };
            let need = self.need(waiting);
            let kept = self.sooner(&need, kept);
            self.keep(waiting, kept);
        }
    }

    /// Returns a reservation, or one elsewhere that is ready much sooner.
    fn sooner(&self, need: &JobNeed<'_>, kept: KeptPlaces) -> KeptPlaces {
        let worth = self.view.now.plus(RECHOOSE_GAIN);
        if kept.ready_at <= worth || self.kept.len() >= RECHOSEN {
            return kept;
        }
        match choose_reservation(self.view, &self.room, need) {
            Some(other) if other.ready_at.plus(RECHOOSE_GAIN) <= kept.ready_at => KeptPlaces {
                since: kept.since,
                ..other
            },
            _ => kept,
        }
    }

    fn keep(&mut self, waiting: &WaitingJob<'_>, kept: KeptPlaces) {
        let member = Room::of_task(&waiting.gang.member);
        let number = self.kept.len();
        for place in &kept.places {
            let worker = &mut self.room.workers[*place];
            match worker.kept.iter_mut().find(|(n, _)| *n == number) {
                Some((_, room)) => *room = room.plus(&member),
                None => worker.kept.push((number, member)),
            }
        }
        self.kept.push(kept);
    }

    fn release_reservation(&mut self, job: JobId) {
        if let Some(number) = self.kept.iter().position(|k| k.job == job) {
            for worker in &mut self.room.workers {
                worker.kept.retain(|(n, _)| *n != number);
            }
            self.kept[number].places.clear();
        }
    }

    pub(crate) fn reservation_of(&self, job: JobId) -> Option<&KeptPlaces> {
        let mut kept = self.kept.iter();
        kept.find(|k| k.job == job && !k.places.is_empty())
    }

    /// Returns how many members of a job a worker takes now.
    fn capacity(&self, need: &JobNeed<'_>, worker: usize, past_kept: bool) -> u16 {
        let own = &self.room.workers[worker];
        if !own.schedulable || need.avoids(worker) {
            return 0;
        }
        let mut free = own.free;
        let is_guaranteed = need.covered && own.claim(need.customer).guaranteed.slots() > 0;
        if need.guaranteed_only && !is_guaranteed {
            return 0;
        }
        for (number, kept_room) in &own.kept {
            let kept = &self.kept[*number];
            let harmless = past_kept
                || is_guaranteed
                || kept.job == need.waiting.job
                || need.ends_by <= kept.ready_at;
            if !harmless {
                free = free.min(&own.free.minus(kept_room));
            }
        }
        let count = free.count(&need.member);
        let count = match need.firm {
            true => count.min(own.firm_count(need.customer, &need.member)),
            false => count,
        };
        match own.probing {
            true if need.firm || !own.gangs.is_empty() || need.is_urgent() => 0,
            true => count.min(1),
            false => count,
        }
    }

    /// Returns what is broken by using a worker: borrowed room first, then whole free blocks.
    fn cost(&self, need: &JobNeed<'_>, worker: usize) -> i64 {
        let own = &self.room.workers[worker];
        let claim = own.claim(need.customer);
        let within = claim.guaranteed.can_hold(&claim.used.plus(&need.member));
        let borrows = !within && !own.slack.can_hold(&need.member);
        let kept = i64::from(!own.kept.is_empty());
        let broken = 4 * own.free.accelerators() + self.room.rack_free[own.rack];
        broken + 256 * i64::from(borrows) + 512 * kept
    }

    /// Gives a job places that are free now; returns whether there were any.
    pub(crate) fn place(&mut self, need: &JobNeed<'_>) -> bool {
        let key = Self::key(need).filter(|_| self.reservation_of(need.waiting.job).is_none());
        if key.is_some_and(|k| self.hopeless.contains(&k)) {
            return false;
        }
        let capacity = |worker| self.capacity(need, worker, need.is_urgent());
        let cost = |worker| self.cost(need, worker);
        let found = choose_places(&self.room, need.waiting.gang, capacity, cost);
        let Some(places) = found else {
            self.hopeless.extend(key);
            return false;
        };
        self.release_reservation(need.waiting.job);
        let shape = &need.waiting.gang.member;
        self.room.take(need.customer, shape, need.firm, &places);
        self.note_held(need);
        self.push_place(need, &places);
        true
    }

    /// Places work that can't be stopped on room that is set aside, if all guarantees find places elsewhere.
    ///
    /// It is tried once a round, since it plans all guarantees anew.
    pub(crate) fn place_with_other_plan(&mut self, need: &JobNeed<'_>) -> bool {
        if !need.firm || self.replans > 0 {
            return false;
        }
        let capacity = |worker: usize| {
            let own = &self.room.workers[worker];
            match own.schedulable && !own.probing && own.kept.is_empty() && !need.avoids(worker) {
                true => own.free.count(&need.member),
                false => 0,
            }
        };
        // What no guarantee needs comes first.
        let cost = |worker: usize| -self.room.workers[worker].slack.accelerators();
        let found = choose_places(&self.room, need.waiting.gang, capacity, cost);
        let Some(places) = found else {
            return false;
        };
        self.replans += 1;
        let mut room = self.room.clone();
        let shape = &need.waiting.gang.member;
        room.take(need.customer, shape, true, &places);
        let plan = replan_all(self.view, &mut room);
        let is_whole = plan.degraded.is_empty();
        if is_whole {
            self.room = room;
            self.note_held(need);
            self.push_place(need, &places);
        }
        self.replanned = Some(plan).filter(|_| is_whole);
        is_whole
    }

    fn push_place(&mut self, need: &JobNeed<'_>, places: &[usize]) {
        let names = places.iter().map(|w| self.view.workers[*w].name.clone());
        self.decisions.push(PolicyDecision::Place {
            job: need.waiting.job,
            workers: names.collect(),
        });
    }

    /// Has other work stopped for a job, if it has a right to; returns whether room is being made.
    pub(crate) fn stop_others(
        &mut self,
        need: &JobNeed<'_>,
        right: YieldRight,
        within: impl Fn(usize) -> bool,
    ) -> bool {
        let key = Self::key(need).filter(|_| right != YieldRight::Reservation);
        let key = key.map(|k| (k, right));
        if key.is_some_and(|k| self.unreachable.contains(&k)) {
            return false;
        }
        let Some(making) = make_room(self.view, &self.room, need, right, within) else {
            self.unreachable.extend(key);
            return false;
        };
        self.promise(need, &making);
        true
    }

    fn promise(&mut self, need: &JobNeed<'_>, making: &RoomMaking) {
        let mut stopping = Vec::new();
        for victim in &making.victims {
            let gang = &self.view.placed[*victim];
            if !self.stopped.insert(*victim) {
                continue;
            }
            stopping.push(gang.job);
            self.decisions.push(PolicyDecision::Preempt {
                job: gang.job,
                in_favour_of: need.waiting.job,
            });
            self.note_stopped(*victim);
        }
        let shape = &need.waiting.gang.member;
        self.room
            .take(need.customer, shape, need.firm, &making.places);
        self.note_held(need);
        self.waits
            .push((need.waiting.job, WaitReason::MakingRoom { stopping }));
    }

    fn note_held(&mut self, need: &JobNeed<'_>) {
        let taken = need.member.times(need.waiting.gang.members).accelerators();
        let urgency = need.waiting.rule.urgency;
        self.room.note_held(need.customer, urgency, taken);
    }

    /// Counts a stopped gang's room as ending, and the gang as gone.
    fn note_stopped(&mut self, victim: usize) {
        let gang = &self.view.placed[victim];
        let customer = self.room.customer(gang.customer);
        let member = Room::of_task(&gang.gang.member);
        for worker in &gang.workers {
            let own = &mut self.room.workers[*worker];
            own.ending = own.ending.plus(&member);
            own.gangs.retain(|g| *g != victim);
            own.change_claim(customer, |claim| claim.used = claim.used.minus(&member));
        }
        let count = i64::try_from(gang.workers.len()).unwrap_or(i64::MAX);
        let freed = count * member.accelerators();
        self.room.note_held(customer, gang.rule.urgency, -freed);
    }

    /// Tells why a job that found no places waits.
    pub(crate) fn wait_reason(&self, need: &JobNeed<'_>) -> WaitReason {
        if let Some(kept) = self.reservation_of(need.waiting.job) {
            return WaitReason::Reserved {
                since: kept.since,
                ready_at: kept.ready_at,
                workers: kept.named(self.view).workers,
            };
        }
        let fits = |capacity: &dyn Fn(usize) -> u16| {
            choose_places(&self.room, need.waiting.gang, capacity, |_| 0).is_some()
        };
        let kept = self.kept.iter().find(|k| !k.places.is_empty());
        let free_count = |worker: usize| {
            let own = &self.room.workers[worker];
            match own.schedulable && !own.probing && !need.avoids(worker) {
                true => own.free.count(&need.member),
                false => 0,
            }
        };
        match kept {
            Some(kept) if fits(&|worker| self.capacity(need, worker, true)) => {
                WaitReason::KeptFor { job: kept.job }
            }
            _ if need.firm && fits(&free_count) => WaitReason::GuaranteedToOthers,
            _ => WaitReason::NoRoom,
        }
    }

    /// Moves work that goes on from a checkpoint out of a reservation's places, if it fits elsewhere.
    ///
    /// Returns whether something was moved.
    pub(crate) fn move_one(&mut self) -> bool {
        let holders = self.kept.iter().filter(|k| !k.places.is_empty());
        let spots = holders.flat_map(|k| k.places.iter().map(move |w| (k.job, *w)));
        let found = spots
            .flat_map(|(job, w)| self.room.workers[w].gangs.iter().map(move |g| (job, *g)))
            .find(|(_, gang)| self.can_move(*gang));
        let Some((job, gang)) = found else {
            return false;
        };
        self.decisions.push(PolicyDecision::Preempt {
            job: self.view.placed[gang].job,
            in_favour_of: job,
        });
        self.stopped.insert(gang);
        self.note_stopped(gang);
        true
    }

    fn can_move(&self, position: usize) -> bool {
        let gang = &self.view.placed[position];
        let rest = expected_end(self.view, gang).since(self.view.now);
        let pays = rest >= MOVE_PAYS && self.view.now.since(gang.placed) >= MOVE_PAYS;
        if gang.stopping || !gang.rule.checkpointable || !gang.released || !pays {
            return false;
        }
        let member = Room::of_task(&gang.gang.member);
        let capacity = |worker: usize| {
            let own = &self.room.workers[worker];
            match own.schedulable && !own.probing && own.kept.is_empty() {
                true => own.free.count(&member),
                false => 0,
            }
        };
        choose_places(&self.room, gang.gang, capacity, |_| 0).is_some()
    }

    /// Keeps places for a large gang, if there may be another reservation.
    pub(crate) fn reserve(&mut self, need: &JobNeed<'_>) {
        let live = self.kept.iter().filter(|k| !k.places.is_empty()).count();
        if live >= reservation_limit(self.view) {
            return;
        }
        if let Some(kept) = choose_reservation(self.view, &self.room, need) {
            self.keep(need.waiting, kept);
        }
    }
}

impl JobNeed<'_> {
    /// Returns the binary order of magnitude of the run time.
    fn run_class(&self) -> u32 {
        self.run.0.leading_zeros()
    }

    /// Returns whether less urgent work yields to the job although it is not covered.
    pub(crate) fn may_displace(&self) -> bool {
        match self.waiting.rule.urgency {
            ClassUrgency::Urgent => true,
            ClassUrgency::Normal => self.waiting.gang.accelerators() >= LARGE_GANG,
            ClassUrgency::Bulk => false,
        }
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.waiting.rule.urgency == ClassUrgency::Urgent
    }
}
