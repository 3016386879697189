//! The free capacity of each backend server over time, by shape.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
};

use roseridge_model::{
    StepSpec,
    TaskShape, //
};

use crate::{
    backend_capacity::{
        BackendCapacity,
        HeldCapacity,
        fit_count, //
    },
    flow_forecast::ReferenceWorker,
};

/// The maximum number of gangs and large tasks for which capacity is held until they fit. The scheduler
/// reserves capacity for as many.
const MAX_HELD_GROUPS: usize = 6;

/// The tasks of one step that wait for capacity.
#[derive(Debug, Clone)]
pub(crate) struct TaskGroup<'a> {
    pub(crate) spec: &'a StepSpec,
    /// The number of tasks that are not placed.
    pub(crate) waiting: usize,
    pub(crate) duration_ms: u64,
    /// The time from which the tasks may start.
    pub(crate) ready_ms: u64,
    /// Whether expected more urgent arrivals go before the tasks.
    pub(crate) yields: bool,
    /// The expected end of the placed tasks.
    pub(crate) end_ms: u64,
}

/// A backend server with the capacity that is free at the current time of the timeline.
#[derive(Debug, Clone)]
struct TimelineServer<'a> {
    labels: &'a [String],
    whole: TaskShape,
    free: TaskShape,
    rack: usize,
    /// Whether the free capacity is held for a gang at the current time.
    is_held: bool,
}

/// The free capacity by backend server, which advances from release to release.
#[derive(Debug)]
pub(crate) struct CapacityTimeline<'a> {
    servers: Vec<TimelineServer<'a>>,
    racks: usize,
    /// The times at which capacity is released, with the server and the shape.
    releases: BinaryHeap<Reverse<(u64, usize, TaskShape)>>,
    reference: ReferenceWorker,
    held_groups: usize,
    /// The sum of the free shares, in whole workers.
    free_workers: f64,
}

impl<'a> CapacityTimeline<'a> {
    /// Creates the timeline at `now_ms`. `release_ms` returns the expected end of each held capacity.
    pub(crate) fn new(
        capacities: &[BackendCapacity<'a>],
        reference: ReferenceWorker,
        release_ms: impl Fn(&HeldCapacity) -> u64,
    ) -> Self {
        let mut racks = BTreeMap::new();
        let mut timeline = Self {
            servers: Vec::with_capacity(capacities.len()),
            racks: 0,
            releases: BinaryHeap::new(),
            reference,
            held_groups: 0,
            free_workers: 0.0,
        };
        for (index, capacity) in capacities.iter().enumerate() {
            let profile = &capacity.record.profile;
            let next = racks.len();
            let rack = *racks.entry(profile.rack.as_ref()).or_insert(next);
            timeline.servers.push(TimelineServer {
                labels: &profile.labels,
                whole: profile.shape,
                free: capacity.free,
                rack,
                is_held: false,
            });
            timeline.free_workers += reference.share(&capacity.free);
            let held = capacity.held.iter();
            let held = held.map(|held| Reverse((release_ms(held), index, held.shape)));
            timeline.releases.extend(held);
        }
        timeline.racks = racks.len();
        timeline
    }

    /// Returns the time of the next release.
    pub(crate) fn next_release(&self) -> Option<u64> {
        self.releases.peek().map(|Reverse((at_ms, ..))| *at_ms)
    }

    /// Releases the capacity of all tasks that are expected to end by `now_ms`.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        while let Some(Reverse((at_ms, index, shape))) = self.releases.pop() {
            if at_ms > now_ms {
                self.releases.push(Reverse((at_ms, index, shape)));
                break;
            }
            let server = &mut self.servers[index];
            self.free_workers -= self.reference.share(&server.free);
            server.free = server.free.plus(&shape);
            self.free_workers += self.reference.share(&server.free);
        }
        self.servers.iter_mut().for_each(|s| s.is_held = false);
        self.held_groups = 0;
    }

    /// Returns whether capacity can be held for one more gang.
    pub(crate) fn can_hold_more(&self) -> bool {
        self.held_groups < MAX_HELD_GROUPS
    }

    /// Returns the maximum of each resource that is free on any server.
    pub(crate) fn max_free(&self) -> TaskShape {
        let free = self.servers.iter().filter(|s| !s.is_held).map(|s| &s.free);
        free.fold(TaskShape::default(), |most, free| most.component_max(free))
    }

    /// Returns the number of a step's tasks that fit now, at most its count. Capacity that is held for a
    /// gang ahead does not count.
    pub(crate) fn free_places(&self, spec: &StepSpec) -> usize {
        let wanted = usize::from(spec.count);
        let counts = self.servers.iter().enumerate();
        let counts = counts.map(|(index, _)| (index, self.places(index, spec, wanted)));
        match spec.gang && spec.one_rack && self.fits_a_rack(spec) {
            true => {
                let mut racks = vec![0; self.racks];
                counts.for_each(|(index, count)| racks[self.servers[index].rack] += count);
                racks.into_iter().max().unwrap_or(0).min(wanted)
            }
            false => counts.map(|(_, count)| count).sum::<usize>().min(wanted),
        }
    }

    /// Places as many tasks of a group as fit now, or a gang whole. Capacity is held for a gang or large
    /// tasks that don't fit. `kept_workers` stay free for others.
    pub(crate) fn place(&mut self, group: &mut TaskGroup<'a>, kept_workers: f64, now_ms: u64) {
        let spec = group.spec;
        let share = self.reference.share(&spec.shape);
        let spare = ((self.free_workers - kept_workers) / share.max(f64::EPSILON)).max(0.0);
        let allowed = group.waiting.min(spare as usize);
        let is_whole = |places: &[(usize, usize)]| {
            places.iter().map(|(_, count)| count).sum::<usize>() == group.waiting
        };
        let places = match spec.gang {
            true => self.gang_places(spec, group.waiting),
            false => self.single_places(spec, allowed),
        };
        match spec.gang && (!is_whole(&places) || allowed < group.waiting) {
            true => self.hold(spec, group.waiting),
            false => {
                let end_ms = now_ms + group.duration_ms;
                for (index, count) in places {
                    let mut shape = TaskShape::default();
                    (0..count).for_each(|_| shape = shape.plus(&spec.shape));
                    let server = &mut self.servers[index];
                    self.free_workers -= self.reference.share(&server.free);
                    server.free = server.free.minus(&shape);
                    self.free_workers += self.reference.share(&server.free);
                    self.releases.push(Reverse((end_ms, index, shape)));
                    group.waiting -= count;
                    group.end_ms = end_ms;
                }
            }
        }
    }

    /// Holds servers for a gang that doesn't fit yet: those with the most free capacity that together could
    /// run it, in one rack if it is bound to one.
    fn hold(&mut self, spec: &StepSpec, waiting: usize) {
        if self.held_groups >= MAX_HELD_GROUPS {
            return;
        }
        self.held_groups += 1;
        let mut free_shares = vec![0.0; self.racks];
        let mut candidates = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            let has_label = spec
                .label
                .as_ref()
                .is_none_or(|l| server.labels.contains(l));
            if has_label && !server.is_held && server.whole.can_hold(&spec.shape) {
                let share = self.reference.share(&server.free);
                free_shares[server.rack] += share;
                candidates.push((share, index));
            }
        }
        if spec.one_rack && self.fits_a_rack(spec) {
            let best = (0..self.racks).max_by(|a, b| free_shares[*a].total_cmp(&free_shares[*b]));
            candidates.retain(|(_, index)| Some(self.servers[*index].rack) == best);
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut remaining = waiting;
        for (_, index) in candidates {
            if remaining == 0 {
                break;
            }
            let server = &mut self.servers[index];
            server.is_held = true;
            remaining -= fit_count(&server.whole, &spec.shape, remaining);
        }
    }

    /// Returns the number of tasks that fit on a server now.
    fn places(&self, index: usize, spec: &StepSpec, wanted: usize) -> usize {
        let server = &self.servers[index];
        let has_label = spec
            .label
            .as_ref()
            .is_none_or(|l| server.labels.contains(l));
        let limit = spec.spread_limit.map_or(usize::MAX, usize::from);
        match has_label && !server.is_held {
            true => fit_count(&server.free, &spec.shape, wanted.min(limit)),
            false => 0,
        }
    }

    fn single_places(&self, spec: &StepSpec, wanted: usize) -> Vec<(usize, usize)> {
        let mut remaining = wanted;
        let mut places = Vec::new();
        for index in 0..self.servers.len() {
            if remaining == 0 {
                break;
            }
            let count = self.places(index, spec, remaining);
            if count > 0 {
                places.push((index, count));
                remaining -= count;
            }
        }
        places
    }

    /// Returns places for a gang, or for the largest part of it that fits: in one rack if the gang is
    /// bound to one.
    fn gang_places(&self, spec: &StepSpec, wanted: usize) -> Vec<(usize, usize)> {
        if !spec.one_rack || !self.fits_a_rack(spec) {
            return self.single_places(spec, wanted);
        }
        let mut racks = vec![(0, Vec::new()); self.racks];
        for index in 0..self.servers.len() {
            let (total, places) = &mut racks[self.servers[index].rack];
            let count = self.places(index, spec, wanted - *total);
            if count > 0 {
                *total += count;
                places.push((index, count));
            }
        }
        let best = racks.into_iter().max_by_key(|(total, _)| *total);
        best.map_or(Vec::new(), |(_, places)| places)
    }

    /// Returns whether a gang would fit into a rack of empty servers.
    fn fits_a_rack(&self, spec: &StepSpec) -> bool {
        let wanted = usize::from(spec.count);
        let mut racks = vec![0; self.racks];
        for server in &self.servers {
            racks[server.rack] += fit_count(&server.whole, &spec.shape, wanted);
        }
        racks.into_iter().any(|count| count >= wanted)
    }
}
