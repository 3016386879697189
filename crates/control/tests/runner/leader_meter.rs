//! Guards against leader metrics that miss or repeat jobs, reclaims and elections.

use roseridge_control::{
    LeaderMeter,
    LogExtent, //
};
use roseridge_events::MetricSet;
use roseridge_ledger::{
    LedgerChange,
    LedgerCommand,
    LedgerState,
    TemplateChange, //
};
use roseridge_model::{
    AdjacencyRule,
    ClassName,
    ConfigRevision,
    CustomerName,
    DomainName,
    GangShape,
    IncarnationId,
    JobId,
    JobSpec,
    RackName,
    RequestKey,
    ResourceShape,
    UnixMillis,
    WorkerName,
    WorkerShape, //
};
use roseridge_policy::PolicyDecision;
use roseridge_settings::default_templates;

const LOG: LogExtent = LogExtent {
    last_index: 9,
    commit_index: 8,
};

/// A ledger with one worker and the leader's meter, driven by a simulated clock.
struct MeteredLedger {
    ledger: LedgerState,
    meter: LeaderMeter,
    metrics: MetricSet,
    now_ms: u64,
}

impl MeteredLedger {
    fn new() -> Self {
        let metrics = MetricSet::new();
        let mut metered = Self {
            ledger: LedgerState::default(),
            meter: LeaderMeter::new(metrics.clone()),
            metrics,
            now_ms: 1_000,
        };
        metered.apply(LedgerChange::AnnounceWorker {
            worker: worker(),
            incarnation: IncarnationId(1),
            shape: shape(),
            found: Vec::new(),
            leaving: false,
        });
        let mut template = default_templates().remove(0);
        template.guaranteed.clear();
        metered.apply(LedgerChange::ChangeTemplate(TemplateChange {
            request: key("first"),
            base: ConfigRevision(0),
            template,
        }));
        metered.update(true);
        metered
    }

    fn apply(&mut self, change: LedgerChange) {
        let at = UnixMillis(self.now_ms);
        self.meter.record_change(&change, at);
        let index = self.ledger.applied + 1;
        self.ledger.apply(index, LedgerCommand { at, change });
    }

    /// Advances the clock by one update interval and updates the metrics.
    fn update(&mut self, is_leader: bool) {
        self.now_ms += 500;
        self.meter.update(is_leader, &self.ledger, LOG, self.now_ms);
    }

    fn submit(&mut self, name: &str, accelerators: u32) {
        let spec = JobSpec {
            class: ClassName::parse("study").expect("a name"),
            gang: GangShape {
                members: 1,
                member: ResourceShape {
                    accelerators,
                    ..ResourceShape::default()
                },
                adjacency: AdjacencyRule::Any,
            },
            declared_run_ms: None,
            payload: String::new(),
        };
        self.apply(LedgerChange::Submit {
            customer: CustomerName::parse("tuglink").expect("a name"),
            key: key(name),
            spec,
        });
    }

    fn cancel(&mut self, job: u64) {
        self.apply(LedgerChange::Cancel {
            customer: CustomerName::parse("tuglink").expect("a name"),
            job: JobId(job),
        });
    }

    fn place(&mut self, job: u64) {
        let place = PolicyDecision::Place {
            job: JobId(job),
            workers: vec![worker()],
        };
        self.apply(LedgerChange::Decide(vec![place]));
    }

    #[track_caller]
    fn assert_shows(&self, line: &str) {
        let text = self.metrics.text();
        assert!(text.lines().any(|l| l == line), "no {line} in {text}");
    }
}

fn key(text: &str) -> RequestKey {
    RequestKey::parse(text).expect("a key")
}

fn worker() -> WorkerName {
    WorkerName::parse("worker-1").expect("a name")
}

fn shape() -> WorkerShape {
    WorkerShape {
        domain: DomainName::parse("domain-1").expect("a name"),
        rack: RackName::parse("rack-1").expect("a name"),
        total: ResourceShape {
            cores: 64,
            memory_mib: 1_000,
            accelerators: 8,
        },
        slots: 8,
        connections: 60,
    }
}

/// A preemption and the placement that it makes possible happen between two updates.
///
/// The ledger keeps no time of the preemption, so a meter that only reads the ledger misses it.
#[test]
fn reclaim_between_two_updates_is_measured_from_the_preemption() {
    let mut metered = MeteredLedger::new();
    metered.submit("first", 2);
    metered.place(1);
    metered.submit("second", 2);
    let preemption = PolicyDecision::Preempt {
        job: JobId(1),
        in_favour_of: JobId(2),
    };
    metered.apply(LedgerChange::Decide(vec![preemption]));
    metered.now_ms += 24;
    metered.place(2);
    metered.update(true);
    metered.update(true);
    metered.assert_shows("roseridge_reclaim_seconds_count 1");
    metered.assert_shows("roseridge_reclaim_seconds_sum 0.024");
}

/// A job that is accepted and ended between two updates is never open when the meter runs.
#[test]
fn job_that_ends_between_two_updates_is_counted_once() {
    let mut metered = MeteredLedger::new();
    metered.submit("first", 2);
    metered.now_ms += 250;
    metered.cancel(1);
    metered.update(true);
    metered.update(true);
    let labels = r#"{class="study",customer="tuglink"}"#;
    metered.assert_shows(&format!("roseridge_completion_seconds_count{labels} 1"));
    metered.assert_shows(&format!("roseridge_completion_seconds_sum{labels} 0.25"));
}

#[test]
fn fragmentation_is_the_fraction_of_free_accelerators_on_partly_used_workers() {
    let mut metered = MeteredLedger::new();
    metered.assert_shows("roseridge_fragmentation_ratio 0");
    metered.submit("first", 2);
    metered.place(1);
    metered.update(true);
    metered.assert_shows("roseridge_fragmentation_ratio 1");
    metered.assert_shows(r#"roseridge_jobs{customer="tuglink",state="placed"} 1"#);
    metered.assert_shows(r#"roseridge_workers{lease="live"} 1"#);
}

/// A replica that is elected again must not count the jobs that ended before its election.
#[test]
fn reelected_replica_counts_both_elections_and_no_job_twice() {
    let mut metered = MeteredLedger::new();
    metered.submit("first", 2);
    metered.cancel(1);
    metered.update(true);
    metered.update(false);
    metered.assert_shows("roseridge_leading 0");
    metered.update(true);
    metered.assert_shows("roseridge_elections_won_total 2");
    let labels = r#"{class="study",customer="tuglink"}"#;
    metered.assert_shows(&format!("roseridge_completion_seconds_count{labels} 1"));
    metered.assert_shows("roseridge_log_commit_index 8");
}

/// A leader whose store failed leads no longer, although it never retired.
#[test]
fn replica_that_ended_as_leader_clears_its_metrics() {
    let metered = MeteredLedger::new();
    metered.assert_shows("roseridge_leading 1");
    let metrics = metered.metrics.clone();
    drop(metered);
    let text = metrics.text();
    assert!(text.contains("roseridge_leading 0\n"), "{text}");
}
