//! Guaranteed shapes that are reclaimed from the jobs of other customers, also after a fault.

use roseridge_faults::{
    SmallCluster,
    check_guarantee_reclaimable, //
};

use crate::harness::{
    run_on_cluster,
    sleep_ms, //
};

/// The fault that is injected before the guarantee is reclaimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PriorFault {
    None,
    LeaderKilled,
    AgentKilled,
    BackendKilled,
}

/// Kills a component, restarts it and waits until the cluster is ready again.
async fn inject_fault(cluster: &mut SmallCluster, fault: PriorFault) {
    match fault {
        PriorFault::None => return,
        PriorFault::LeaderKilled => {
            let leader = cluster.operator().leader().await;
            cluster.kill_entry(leader);
        }
        PriorFault::AgentKilled => cluster.kill_agent(1),
        PriorFault::BackendKilled => cluster.kill_backend(1),
    }
    sleep_ms(500).await;
    cluster.start_missing();
    cluster
        .operator()
        .wait_until_ready(cluster.worker_count())
        .await;
}

/// Guards against a fault after which a customer can't reclaim its guaranteed shape, for example
/// because a new leader does not preempt the jobs that occupy it or a restarted agent does not stop
/// their tasks.
fn reclaim_after_fault(fault: PriorFault) {
    run_on_cluster(async move |cluster| {
        inject_fault(cluster, fault).await;
        check_guarantee_reclaimable(cluster, &format!("{fault:?}").to_lowercase()).await;
    });
}

roseridge_testutils::cases! {
    reclaim_after_fault:
    guarantee_is_reclaimable = PriorFault::None,
    guarantee_is_reclaimable_after_leader_kill = PriorFault::LeaderKilled,
    guarantee_is_reclaimable_after_agent_kill = PriorFault::AgentKilled,
    guarantee_is_reclaimable_after_backend_server_kill = PriorFault::BackendKilled,
}
