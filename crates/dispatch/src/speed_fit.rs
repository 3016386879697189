//! The fit of the backend servers' speeds to run times.

use std::collections::BTreeSet;

use roseridge_model::{
    FastMap,
    FlowId, //
};

/// The minimum number of observations of a step that are compared with each other.
const MIN_GROUP: usize = 3;
/// The limit of the deviation of one observation, as a logarithm. Run times within a step vary by about
/// 0.3; a run that takes seven times as long deviates by 1.9.
const MAX_DEVIATION: f64 = 0.75;
/// The number of alternating estimates of the usual times and the backend servers' speeds.
const FIT_ROUNDS: usize = 8;
/// The spread of the prior, which is a speed of 1, as a logarithm.
const PRIOR_SPREAD: f64 = 0.4;
/// The weight of the prior in the first fit, in observations: the square of the ratio of
/// [`USUAL_SPREAD`] to [`PRIOR_SPREAD`].
const PRIOR_WEIGHT: f64 = 0.56;
/// The spread of the run times within a step before it is known.
const USUAL_SPREAD: f64 = 0.3;
/// The minimum spread of run times within a step. Smaller differences come from rounding and delays.
const MIN_SPREAD: f64 = 0.1;
/// The minimum spread of the run times of the gangs of a queue, which have different work.
const MIN_GANG_SPREAD: f64 = 0.3;
/// The difference of two speeds, as a logarithm, by which a slow gang is attributed far more to the
/// slower member.
const ATTRIBUTION_WIDTH: f64 = 0.15;
/// The minimum excess of the variation between backend servers over chance, in standard deviations,
/// before the speeds count as uneven.
const MIN_EXCESS: f64 = 5.0;
/// The minimum excess of the deviation of one backend server over chance, in standard errors, before it
/// counts as different although the others are even.
const MIN_SINGLE_EXCESS: f64 = 6.0;
/// The minimum number of observations of a backend server that counts as different by itself.
const MIN_SINGLE_COUNT: f64 = 4.0;
/// The minimum logarithm of a speed that counts as different from 1. A smaller difference changes less
/// than the variation of the run times does.
const MIN_DIFFERENCE: f64 = 0.2;
/// The width of a speed class, as a logarithm.
const CLASS_WIDTH: f64 = 0.35;

/// The learned speed of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct LearnedSpeed {
    /// The logarithm of the speed relative to the usual one.
    pub(crate) log_speed: f64,
    /// The class of the speed, less one standard error. Within a class, speeds count as equal; faster
    /// classes are larger.
    pub(crate) class: i8,
}

/// The step of a flow in one repetition.
pub(crate) type StepKey = (FlowId, u32, u16);

/// The time of a whole task on a backend server.
#[derive(Debug, Clone, Copy)]
struct TaskTime {
    backend: usize,
    group: usize,
    /// The logarithm of the time.
    log_ms: f64,
    weight: f64,
}

/// The time of a whole gang on its backend servers.
#[derive(Debug, Clone)]
pub(crate) struct GangTime {
    /// The index of the queue.
    pub(crate) queue: usize,
    /// The backend servers of the members.
    pub(crate) backends: Vec<usize>,
    /// The number of members whose backend server isn't known any more.
    pub(crate) unknown: usize,
    /// The logarithm of the time.
    pub(crate) log_ms: f64,
    pub(crate) weight: f64,
}

/// The fit of usual times and speeds to the observed times.
#[derive(Debug)]
pub(crate) struct SpeedFit {
    tasks: Vec<TaskTime>,
    gangs: Vec<GangTime>,
    groups: FastMap<StepKey, usize>,
    queues: usize,
    backends: usize,
}

impl SpeedFit {
    pub(crate) fn new(backends: usize, queues: usize) -> Self {
        Self {
            tasks: Vec::new(),
            gangs: Vec::new(),
            groups: FastMap::default(),
            queues,
            backends,
        }
    }

    /// Adds the time of a whole task of a step, in milliseconds, with its weight.
    pub(crate) fn observe_task(
        &mut self,
        backend: usize,
        step: StepKey,
        (whole_ms, weight): (u64, f64),
    ) {
        let next = self.groups.len();
        let group = *self.groups.entry(step).or_insert(next);
        self.tasks.push(TaskTime {
            backend,
            group,
            log_ms: (whole_ms.max(1) as f64).ln(),
            weight,
        });
    }

    /// Adds the time of a whole gang.
    pub(crate) fn observe_gang(&mut self, gang: GangTime) {
        self.gangs.push(gang);
    }

    /// Returns the speed of each backend server. They are exactly the default unless the variation
    /// between the backend servers, or the deviation of one of them, is larger than chance explains.
    pub(crate) fn speeds(mut self) -> Vec<LearnedSpeed> {
        self.drop_small_groups();
        let weights = self.weights();
        let even = self.fit_tasks(&weights, Model::Even);
        let fitted = self.fit_tasks(&weights, Model::Uneven);
        let variance = self.variance(&fitted);
        // The deviations from even speeds are tested, since the differences between backend servers
        // that share few steps with others are uncertain in the fit of uneven speeds.
        let tested = self.mean_deviations(self.backends, |t| t.backend, &even);
        let usual = weighted_median(&fitted.speeds, &weights);
        let deviations = fitted.speeds.iter().zip(&weights);
        let deviations = deviations.map(|(speed, weight)| match *weight > 0.0 {
            true => speed * (weight + PRIOR_WEIGHT) / weight - usual,
            false => 0.0,
        });
        let deviations: Vec<f64> = deviations.collect();
        if is_uneven(&tested, &weights, variance) {
            return self.fit_gangs(&deviations, &weights, variance);
        }
        let single = deviations.iter().zip(&weights).zip(&tested);
        let single = single.map(|((deviation, weight), tested)| {
            let errors = tested.abs() * (weight / variance).sqrt();
            match *weight >= MIN_SINGLE_COUNT && errors > MIN_SINGLE_EXCESS {
                true => learned_speed(*deviation, *weight, variance),
                false => LearnedSpeed::default(),
            }
        });
        single.collect()
    }

    /// Drops the observations of steps that have too few of them.
    fn drop_small_groups(&mut self) {
        let mut counts = vec![0; self.groups.len()];
        for task in &self.tasks {
            counts[task.group] += 1;
        }
        self.tasks.retain(|task| counts[task.group] >= MIN_GROUP);
    }

    /// Fits the times of the steps, and the speeds if they may be uneven, to the times of the tasks.
    fn fit_tasks(&self, weights: &[f64], model: Model) -> FittedTimes {
        let mut fitted = FittedTimes {
            times: self.median_times(),
            speeds: vec![0.0; self.backends],
        };
        for _ in 0..FIT_ROUNDS {
            let by_group = self.mean_deviations(self.groups.len(), |t| t.group, &fitted);
            let times = fitted.times.iter_mut().zip(by_group);
            times.for_each(|(time, deviation)| *time += deviation);
            if model == Model::Even {
                continue;
            }
            let by_backend = self.mean_deviations(self.backends, |t| t.backend, &fitted);
            let speeds = fitted.speeds.iter_mut().zip(by_backend).zip(weights);
            speeds.for_each(|((speed, deviation), weight)| {
                *speed = (*speed - deviation) * weight / (weight + PRIOR_WEIGHT);
            });
        }
        fitted
    }

    /// Returns the median logarithm of the times of each step.
    fn median_times(&self) -> Vec<f64> {
        let mut values = vec![Vec::new(); self.groups.len()];
        for task in &self.tasks {
            values[task.group].push(task.log_ms);
        }
        values.into_iter().map(median).collect()
    }

    /// Returns the weighted mean of the limited deviations of each group of tasks.
    fn mean_deviations(
        &self,
        count: usize,
        key: impl Fn(&TaskTime) -> usize,
        fitted: &FittedTimes,
    ) -> Vec<f64> {
        let mut sums = vec![(0.0, 0.0); count];
        for task in &self.tasks {
            let (sum, weight) = &mut sums[key(task)];
            *sum += task.weight * fitted.deviation(task);
            *weight += task.weight;
        }
        let means = sums.into_iter();
        means
            .map(|(sum, weight): (f64, f64)| sum / weight.max(f64::EPSILON))
            .collect()
    }

    /// Returns the weight of the observations of each backend server.
    fn weights(&self) -> Vec<f64> {
        let mut weights = vec![0.0; self.backends];
        for task in &self.tasks {
            weights[task.backend] += task.weight;
        }
        weights
    }

    /// Returns the variance of the times within a step and backend server.
    fn variance(&self, fitted: &FittedTimes) -> f64 {
        let squares = self.tasks.iter();
        let squares: f64 = squares
            .map(|task| task.weight * fitted.deviation(task).powi(2))
            .sum();
        let weight: f64 = self.tasks.iter().map(|task| task.weight).sum();
        let groups: BTreeSet<_> = self.tasks.iter().map(|task| task.group).collect();
        let backends: BTreeSet<_> = self.tasks.iter().map(|task| task.backend).collect();
        let used = (groups.len() + backends.len()) as f64;
        let freedom = (1.0 - used / (self.tasks.len() as f64).max(1.0)).max(0.25);
        let variance = squares / (weight * freedom).max(f64::EPSILON);
        variance.max(MIN_SPREAD * MIN_SPREAD)
    }

    /// Refines uneven speeds by the times of the gangs.
    ///
    /// A gang is as fast as its slowest member. A gang that is faster than its members are believed to be
    /// shows that none of them is slower. A gang that is slower shows only that one of them is slow, most
    /// likely the slowest one.
    fn fit_gangs(&self, deviations: &[f64], weights: &[f64], variance: f64) -> Vec<LearnedSpeed> {
        let prior = variance / (PRIOR_SPREAD * PRIOR_SPREAD);
        let mut speeds: Vec<f64> = deviations.to_vec();
        let shrunk = speeds.iter_mut().zip(weights);
        shrunk.for_each(|(speed, weight)| *speed *= weight / (weight + prior));
        let mut total_weights = weights.to_vec();
        for _ in 0..FIT_ROUNDS {
            let (times, variances) = self.gang_times(&speeds);
            let mut sums: Vec<_> = deviations
                .iter()
                .zip(weights)
                .map(|(deviation, weight)| (deviation * weight, *weight))
                .collect();
            for gang in &self.gangs {
                let weight = gang.weight * (variance / variances[gang.queue]).min(1.0);
                attribute_gang(gang, (times[gang.queue], weight), &speeds, &mut sums);
            }
            for (index, (sum, weight)) in sums.into_iter().enumerate() {
                speeds[index] = sum / (weight + prior);
                total_weights[index] = weight;
            }
        }
        let learned = speeds.iter().zip(&total_weights);
        learned
            .map(|(speed, weight)| {
                let deviation = speed * (weight + prior) / weight.max(f64::EPSILON);
                learned_speed(deviation, *weight, variance)
            })
            .collect()
    }

    /// Returns the usual time of each queue's gangs at speed 1, and the variance of their times.
    fn gang_times(&self, speeds: &[f64]) -> (Vec<f64>, Vec<f64>) {
        let mut values = vec![Vec::new(); self.queues];
        for gang in &self.gangs {
            values[gang.queue].push(gang.log_ms + slowest_speed(gang, speeds));
        }
        let fitted = values.into_iter().map(|values| {
            let count = values.len() as f64;
            let middle = median(values.clone());
            let squares = values
                .into_iter()
                .map(|value| (value - middle).clamp(-2.0 * MAX_DEVIATION, 2.0 * MAX_DEVIATION))
                .map(|deviation| deviation * deviation);
            // One more deviation of the usual spread keeps few values from looking certain.
            let variance = (squares.sum::<f64>() + USUAL_SPREAD) / (count + 1.0);
            (middle, variance.max(MIN_GANG_SPREAD * MIN_GANG_SPREAD))
        });
        fitted.unzip()
    }
}

/// Which speeds a fit assumes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Model {
    /// All speeds are 1.
    Even,
    /// Each backend server has a speed of its own.
    Uneven,
}

/// The fitted logarithms of the times of the steps and of the speeds.
#[derive(Debug)]
struct FittedTimes {
    times: Vec<f64>,
    speeds: Vec<f64>,
}

impl FittedTimes {
    /// Returns the limited deviation of a task's time.
    fn deviation(&self, task: &TaskTime) -> f64 {
        let expected = self.times[task.group] - self.speeds[task.backend];
        (task.log_ms - expected).clamp(-MAX_DEVIATION, MAX_DEVIATION)
    }
}

/// Returns the believed speed of a gang.
fn slowest_speed(gang: &GangTime, speeds: &[f64]) -> f64 {
    let members = gang.backends.iter().map(|backend| speeds[*backend]);
    let slowest = members.fold(f64::INFINITY, f64::min);
    if slowest.is_finite() { slowest } else { 0.0 }
}

/// Adds what a gang's time shows about the speeds of its members to the weighted sums.
fn attribute_gang(
    gang: &GangTime,
    (usual, weight): (f64, f64),
    speeds: &[f64],
    sums: &mut [(f64, f64)],
) {
    let pace = (usual - gang.log_ms).max(-MAX_DEVIATION - ATTRIBUTION_WIDTH);
    let slowest = slowest_speed(gang, speeds);
    if pace >= slowest {
        let shown = pace.min(0.0);
        for backend in &gang.backends {
            sums[*backend].0 += weight * shown.max(speeds[*backend]);
            sums[*backend].1 += weight;
        }
        return;
    }
    let likelihood = |speed: f64| ((slowest - speed) / ATTRIBUTION_WIDTH).exp();
    let known: f64 = gang.backends.iter().map(|b| likelihood(speeds[*b])).sum();
    let total = known + gang.unknown as f64 * likelihood(0.0);
    for backend in &gang.backends {
        let share = weight * likelihood(speeds[*backend]) / total;
        sums[*backend].0 += share * pace;
        sums[*backend].1 += share;
    }
}

/// Returns whether the variation between the backend servers is larger than chance explains.
fn is_uneven(speeds: &[f64], weights: &[f64], variance: f64) -> bool {
    let weighted = || speeds.iter().zip(weights);
    let total = weights.iter().sum::<f64>().max(f64::EPSILON);
    let mean = weighted().map(|(s, w)| s * w).sum::<f64>() / total;
    let known = weights.iter().filter(|weight| **weight > 0.0).count();
    let freedom = known.saturating_sub(1).max(1) as f64;
    let squares: f64 = weighted().map(|(s, w)| w * (s - mean).powi(2)).sum();
    let ratio = squares / freedom / variance;
    // The cube root of a mean of squares is nearly normal (Wilson and Hilferty).
    let spread = 2.0 / (9.0 * freedom);
    (ratio.cbrt() - (1.0 - spread)) / spread.sqrt() > MIN_EXCESS
}

/// Returns the speed of a backend server by its deviation, the weight of its observations and their
/// variance.
fn learned_speed(deviation: f64, weight: f64, variance: f64) -> LearnedSpeed {
    let precision = weight / variance + 1.0 / (PRIOR_SPREAD * PRIOR_SPREAD);
    let log_speed = deviation * weight / variance / precision;
    let cautious = log_speed - precision.sqrt().recip();
    let is_different = log_speed.abs() >= MIN_DIFFERENCE;
    LearnedSpeed {
        log_speed: if is_different { log_speed } else { 0.0 },
        // The logarithm of a speed is bounded by the limit of the deviations.
        class: (cautious / CLASS_WIDTH).round() as i8,
    }
}

/// Returns the median of values, or zero if there are none.
fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len() / 2;
    match values.is_empty() {
        true => 0.0,
        false => *values.select_nth_unstable_by(middle, f64::total_cmp).1,
    }
}

/// Returns the median of values by weight, or zero if there are none.
fn weighted_median(values: &[f64], weights: &[f64]) -> f64 {
    let mut sorted: Vec<_> = values.iter().zip(weights).collect();
    sorted.sort_unstable_by(|a, b| a.0.total_cmp(b.0));
    let half = weights.iter().sum::<f64>() / 2.0;
    let mut sum = 0.0;
    let median = sorted.into_iter().find(|(_, weight)| {
        sum += **weight;
        sum >= half && **weight > 0.0
    });
    median.map_or(0.0, |(value, _)| *value)
}
