//! Runs test cases on small clusters and submits requests to them.

use std::{
    cell::Cell,
    sync::{
        Condvar,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use compio::runtime::JoinHandle;
use roseridge_faults::{
    CallerRequest,
    ClusterShape,
    RequestRecord,
    SmallCluster, //
};

/// The maximum number of clusters that run at the same time.
///
/// With more of them a busy machine can't meet the timing that the tests rely on.
const MAX_CLUSTERS: usize = 5;

static RUNNING_CLUSTERS: Mutex<usize> = Mutex::new(0);
static CLUSTER_ENDED: Condvar = Condvar::new();

/// A permit to run a cluster; at most [`MAX_CLUSTERS`] exist at the same time.
struct ClusterPermit;

impl ClusterPermit {
    /// Blocks until fewer than [`MAX_CLUSTERS`] clusters run.
    fn acquire() -> Self {
        let running = RUNNING_CLUSTERS
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut running = CLUSTER_ENDED
            .wait_while(running, |running| *running >= MAX_CLUSTERS)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Self
    }
}

impl Drop for ClusterPermit {
    fn drop(&mut self) {
        *RUNNING_CLUSTERS
            .lock()
            .unwrap_or_else(PoisonError::into_inner) -= 1;
        CLUSTER_ENDED.notify_one();
    }
}

/// Starts a cluster of the default shape, waits until it is ready and runs a test case on it.
pub(crate) fn run_on_cluster(case: impl AsyncFnOnce(&mut SmallCluster)) {
    run_on_cluster_with_shape(ClusterShape::default(), case);
}

/// Starts a cluster of the given shape, waits until it is ready and runs a test case on it.
pub(crate) fn run_on_cluster_with_shape(
    shape: ClusterShape,
    case: impl AsyncFnOnce(&mut SmallCluster),
) {
    let _permit = ClusterPermit::acquire();
    let mut cluster = SmallCluster::start_with_shape(shape);
    let running = async {
        cluster
            .operator()
            .wait_until_ready(cluster.worker_count())
            .await;
        case(&mut cluster).await;
    };
    roseridge_wire::block_on(running).expect("an event loop can be created");
}

/// Submitted requests that may not have a final outcome yet.
pub(crate) struct RunningLoad(Vec<JoinHandle<RequestRecord>>);

impl RunningLoad {
    /// Waits until each request has a final outcome or its time limit has expired.
    pub(crate) async fn finish(self) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        for handle in self.0 {
            records.push(handle.await.expect("the caller did not panic"));
        }
        records
    }
}

/// Submits the requests concurrently, each starting at the next entry in turn.
pub(crate) fn start_load(cluster: &SmallCluster, requests: Vec<CallerRequest>) -> RunningLoad {
    let submissions = requests.into_iter().enumerate().map(|(number, request)| {
        let caller = cluster.caller(request.customer);
        compio::runtime::spawn(async move { caller.submit_until_final(number, request).await })
    });
    RunningLoad(submissions.collect())
}

/// Returns requests of both customers, for urgent jobs, non-idempotent jobs and gangs.
///
/// There are five requests for each repetition; `name` makes their idempotency keys unique.
pub(crate) fn mixed_requests(name: &str, repetitions: usize) -> Vec<CallerRequest> {
    let mut requests = Vec::new();
    for repetition in 0..repetitions {
        let key = |class: &str| format!("{name}-{class}-{repetition}");
        requests.extend([
            CallerRequest::new("tuglink", "replan", key("replan")),
            CallerRequest::new("tuglink", "tug-assignment", key("tug")).running(400),
            CallerRequest::new("benali", "payment-file", key("payment")).running(700),
            CallerRequest::new("tuglink", "day-plan", key("plan")).gang(3, 2),
            CallerRequest::new("benali", "reconciliation", key("books"))
                .gang(4, 4)
                .running(500),
        ]);
    }
    requests
}

/// Waits for some milliseconds, for example until submitted requests are in progress.
pub(crate) async fn sleep_ms(duration_ms: u64) {
    compio::time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Submits urgent requests to an entry of the majority, each with a new key, until one completes.
pub(crate) async fn submit_until_done(cluster: &SmallCluster, entry: usize, name: &str) {
    let caller = cluster.caller("tuglink");
    let number = Cell::new(0);
    caller
        .poll("the majority completes a request", async |_| {
            number.set(number.get() + 1);
            let key = format!("{name}-urgent-{}", number.get());
            let urgent = CallerRequest::new("tuglink", "replan", key);
            let reply = caller.submit(entry, &urgent, 5_000).await?;
            (reply.status == 200).then_some(())
        })
        .await;
}
