//! What a replica reports about its data folder, also when the folder fails.

use std::{
    collections::BTreeMap,
    fmt::Write,
    fs,
    path::Path,
    pin::pin,
    sync::{
        Mutex,
        Once, //
    },
    task::Poll,
    time::Duration, //
};

use futures::poll;
use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{
        Error,
        Key,
        Value,
        VisitSource, //
    },
};
use roseridge_control::{
    FlowTiming,
    LeaseTiming,
    ReplicaConfig,
    ReplicaError,
    StateLimits,
    run_replica, //
};
use roseridge_events::MetricSet;
use roseridge_quorum::{
    ReplicaId,
    ReplicaTiming, //
};
use roseridge_settings::default_templates;
use roseridge_shutdown::stop_pair;

/// The log lines of this test process, each with its fields.
struct CapturedLog(Mutex<Vec<String>>);

static CAPTURED: CapturedLog = CapturedLog(Mutex::new(Vec::new()));
static INSTALLED: Once = Once::new();
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The maximum number of polls until a snapshot is written; high, since the machine may be busy.
const MAX_POLLS: usize = 3_000;

/// Appends fields to a line.
struct FieldText<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for FieldText<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

impl Log for CapturedLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = record.args().to_string();
        let fields = record.key_values().visit(&mut FieldText(&mut line));
        fields.expect("fields are text");
        self.0.lock().expect("the captured lines").push(line);
    }

    fn flush(&self) {}
}

/// Starts to capture log lines, unless that has started already.
fn capture() {
    INSTALLED.call_once(|| {
        log::set_logger(&CAPTURED).expect("there is no other logger");
        log::set_max_level(LevelFilter::Info);
    });
}

/// Returns the captured lines that contain a text.
fn lines_with(text: &str) -> Vec<String> {
    let lines = CAPTURED.0.lock().expect("the captured lines");
    let matching = lines.iter().filter(|line| line.contains(text));
    matching.cloned().collect()
}

/// Returns the configuration of a replica that is a group by itself and writes a snapshot after each
/// entry.
fn single_replica(data_folder: &Path) -> ReplicaConfig {
    let address = "127.0.0.1:1".parse().expect("an address");
    ReplicaConfig {
        id: ReplicaId(1),
        replicas: BTreeMap::from([(ReplicaId(1), address)]),
        cluster: "cluster".to_owned(),
        data_folder: data_folder.to_owned(),
        faults: Default::default(),
        timing: ReplicaTiming {
            snapshot_threshold: 1,
            ..ReplicaTiming::default()
        },
        lease: LeaseTiming::default(),
        group: None,
        flows: FlowTiming::default(),
        state: StateLimits::default(),
        initial_templates: default_templates(),
    }
}

/// Returns the value of a metric.
fn metric(metrics: &MetricSet, name: &str) -> usize {
    let text = metrics.text();
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    value.map_or(0, |v| v.trim().parse().expect("a number"))
}

/// Runs a replica until it fails. Its data folder is changed as soon as the replica has opened it.
async fn fail_replica(
    folder: &Path,
    metrics: &MetricSet,
    change: impl FnOnce(),
) -> Option<ReplicaError> {
    let (_calls, inbox) = async_channel::bounded(1);
    let (_stop, signal) = stop_pair();
    let replica = run_replica(single_replica(folder), inbox, signal, metrics.clone());
    let mut replica = pin!(replica);
    match poll!(replica.as_mut()) {
        Poll::Ready(ended) => ended.err(),
        Poll::Pending => {
            change();
            replica.await.err()
        }
    }
}

/// Guards against a failed store that doesn't tell what its folder holds: neither in its only line,
/// nor in the metrics while the folder can't be opened.
#[test]
fn failed_store_reports_what_its_folder_holds() {
    capture();
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("replica");
    let metrics = MetricSet::new();
    roseridge_wire::block_on(async {
        // The open segment can still be written, but no snapshot can be created.
        let remove = || fs::remove_dir_all(&path).expect("the folder exists");
        let error = fail_replica(&path, &metrics, remove).await;
        let error = error.expect("the replica fails");
        error.log();
        let ReplicaError::WriteFailed { usage, .. } = &error else {
            panic!("{error}");
        };
        let fields = format!(
            "log_bytes={} segments=1 snapshot_bytes=0 reserve_bytes={} snapshot_index=0 last_index={}",
            usage.log_bytes, usage.reserve_bytes, usage.last_index
        );
        let lines = lines_with("store failed");
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(lines[0].starts_with("RR0022 store failed: "), "{lines:?}");
        assert!(lines[0].ends_with(&fields), "{lines:?}");

        fs::write(&path, "").expect("a file in place of the folder");
        let error = fail_replica(&path, &metrics, || {}).await;
        assert!(matches!(error, Some(ReplicaError::StoreUnusable { .. })));
        assert_eq!(metric(&metrics, "roseridge_store_failures_total"), 2);
        let log_bytes = metric(&metrics, "roseridge_store_bytes{part=\"log\"}");
        assert_eq!(log_bytes, usage.log_bytes);
        let entries = metric(&metrics, "roseridge_log_entries_since_snapshot");
        assert_eq!(entries as u64, usage.last_index.0);
        assert!(metric(&metrics, "roseridge_log_memory_bytes") > 0);
    })
    .expect("an event loop");
}

/// Guards against a snapshot that is written without a line or without its size.
#[test]
fn written_snapshot_is_reported() {
    capture();
    let folder = tempfile::tempdir().expect("a folder");
    let metrics = MetricSet::new();
    roseridge_wire::block_on(async {
        let (_calls, inbox) = async_channel::bounded(1);
        let (stop, signal) = stop_pair();
        let config = single_replica(folder.path());
        let replica = compio::runtime::spawn(run_replica(config, inbox, signal, metrics.clone()));
        let snapshot_bytes = || metric(&metrics, "roseridge_store_bytes{part=\"snapshot\"}");
        for _ in 0..MAX_POLLS {
            compio::time::sleep(POLL_INTERVAL).await;
            if snapshot_bytes() > 0 {
                break;
            }
        }
        assert!(snapshot_bytes() > 0, "{}", metrics.text());
        stop.stop();
        let ended = replica.await.expect("the replica ends");
        ended.expect("the replica ends without an error");
    })
    .expect("an event loop");
    let lines = lines_with("snapshot written event=83 index=1 entries=1 log_bytes_before=");
    assert_eq!(lines.len(), 1, "{lines:?}");
}
