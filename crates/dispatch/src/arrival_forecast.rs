//! The forecast of the workers that more urgent arrivals will occupy.

use roseridge_flow::FlowPhase;

use crate::{
    DispatchView,
    flow_forecast::{
        ReferenceWorker,
        total_work, //
    },
    run_times::RunTimes,
};

/// The window of the mean arrival rate, in milliseconds: two of the longest waves of 15 s, so that
/// neither a crest nor a trough of a wave weighs on the mean.
const MEAN_WINDOW_MS: u64 = 30_000;
/// The minimum span by which the mean is computed, in milliseconds: one wave of 11 s. A shorter history
/// would take a burst for the mean.
const MIN_MEAN_SPAN_MS: u64 = 11_000;
/// The window of the recent arrival rate, in milliseconds: half of a burst of 4 to 6 s.
const RECENT_WINDOW_MS: u64 = 2_500;
/// The longest burst, in milliseconds. A rate that stays high for longer is not a burst.
const MAX_BURST_MS: u64 = 6_000;
/// The time from a crest or a trough of a wave to its mean, in milliseconds: a quarter of 15 s.
const QUARTER_WAVE_MS: u64 = 3_750;
/// The ratio of a rate to the mean beyond which the rate is a burst. Waves swing by at most 0.55.
const BURST_RATIO: f64 = 1.6;

/// The expected arrivals of ranks that are more urgent than a flow.
///
/// Load pattern: demand comes in waves of 11 to 15 s and in bursts of 4 to 6 s. The rate during a burst
/// is not the rate of the next 20 s, and the mean rate is not the rate during a burst. A burst is
/// expected to last until it is 6 s old, and the distance of a wave from its mean to vanish within a
/// quarter of the wave. From then on the mean rate is expected.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct ArrivalForecast {
    /// The workers that arrivals at the mean rate keep occupied.
    pub(crate) mean_workers: f64,
    /// The workers that arrivals at the recent rate would keep occupied.
    pub(crate) recent_workers: f64,
    /// The time for which the recent rate is expected to continue, in milliseconds.
    recent_for_ms: u64,
    /// The mean run time of an arrival, in milliseconds.
    run_time_ms: u64,
}

/// The work of a flow that arrived recently.
#[derive(Debug, Clone, Copy)]
struct RecentArrival {
    age_ms: u64,
    /// In seconds of a whole worker.
    work: f64,
}

impl ArrivalForecast {
    /// Forecasts the arrivals of all ranks that are more urgent than `rank`.
    pub(crate) fn from_view(
        view: &DispatchView<'_>,
        rank: u32,
        times: &RunTimes<'_>,
        reference: ReferenceWorker,
    ) -> Self {
        let ages = view.flows.flows.values();
        let ages = ages.map(|record| view.now.since(record.accepted).0);
        let span_ms = ages.max().unwrap_or(0);
        let span_ms = span_ms.clamp(MIN_MEAN_SPAN_MS, MEAN_WINDOW_MS);
        let mut arrivals = Vec::new();
        let (mut path_ms, mut weight) = (0.0, 0.0);
        for record in view.flows.flows.values() {
            let age_ms = view.now.since(record.accepted).0;
            let is_cancelled = matches!(record.phase, FlowPhase::Cancelled { .. });
            if record.queue.rank >= rank || is_cancelled || age_ms >= span_ms {
                continue;
            }
            let work = total_work(record, times, reference);
            arrivals.push(RecentArrival { age_ms, work });
            let steps = record.spec.steps.iter();
            let step_ms = steps.map(|step| times.usual_ms(&record.queue.key, step.estimate));
            path_ms += work * step_ms.max().unwrap_or(0) as f64;
            weight += work;
        }
        Self::from_arrivals(
            &arrivals,
            span_ms,
            (path_ms / weight.max(f64::EPSILON)) as u64,
        )
    }

    fn from_arrivals(arrivals: &[RecentArrival], span_ms: u64, run_time_ms: u64) -> Self {
        let workers_in = |from_ms: u64, to_ms: u64| {
            let within = arrivals.iter();
            let within = within.filter(|a| (from_ms..to_ms).contains(&a.age_ms));
            within.map(|a| a.work).sum::<f64>() * 1_000.0 / (to_ms - from_ms) as f64
        };
        let mean_workers = workers_in(0, span_ms);
        let recent_workers = workers_in(0, RECENT_WINDOW_MS);
        let burst_workers = mean_workers * BURST_RATIO;
        let is_burst =
            |from_ms: u64| workers_in(from_ms, from_ms + RECENT_WINDOW_MS) > burst_workers;
        let burst_age_ms = (0..)
            .map(|second| second * 1_000)
            .take_while(|from_ms| *from_ms < MAX_BURST_MS && is_burst(*from_ms))
            .last();
        let recent_for_ms = match burst_age_ms {
            Some(age_ms) => MAX_BURST_MS.saturating_sub(age_ms + RECENT_WINDOW_MS),
            None => QUARTER_WAVE_MS,
        };
        Self {
            mean_workers,
            recent_workers,
            recent_for_ms,
            run_time_ms: run_time_ms.max(1),
        }
    }

    /// Returns the number of whole workers that the arrivals from now on are expected to occupy after
    /// `after_ms`.
    pub(crate) fn occupied_workers(&self, after_ms: u64) -> f64 {
        let started_ms = after_ms.saturating_sub(self.run_time_ms);
        let recent_ms = after_ms.min(self.recent_for_ms) - started_ms.min(self.recent_for_ms);
        let mean_ms = after_ms - started_ms - recent_ms;
        let work_ms = self.recent_workers * recent_ms as f64 + self.mean_workers * mean_ms as f64;
        work_ms / self.run_time_ms as f64
    }
}
