//! Open connections that stall permanently, without being closed, while new connections work.

use roseridge_faults::{
    CallerRequest,
    LinkForwarder,
    SmallCluster,
    check_invariants, //
};

use crate::harness::{
    mixed_requests,
    run_on_cluster,
    sleep_ms,
    start_load, //
};

/// The links whose open connections are stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StalledLink {
    CallerEntry,
    EntryLeader,
    AgentRelay,
    ReplicaReplica,
}

/// Returns the links of the given kind.
fn links_to_stall(cluster: &SmallCluster, link: StalledLink, leader: usize) -> Vec<LinkForwarder> {
    let entries = 0..cluster.entry_count();
    let links: Vec<_> = match link {
        StalledLink::CallerEntry => entries.map(|e| cluster.caller_link(e)).collect(),
        StalledLink::EntryLeader => entries
            .filter(|e| *e != leader)
            .map(|e| cluster.entry_link(e, leader))
            .collect(),
        StalledLink::AgentRelay => (0..cluster.worker_count())
            .flat_map(|w| entries.clone().map(move |e| cluster.agent_link(w, e)))
            .collect(),
        StalledLink::ReplicaReplica => entries
            .clone()
            .flat_map(|sender| {
                entries
                    .clone()
                    .map(move |receiver| cluster.entry_link(sender, receiver))
            })
            .collect(),
    };
    links.into_iter().cloned().collect()
}

/// Guards against components that wait on a stalled connection forever instead of opening a new
/// one.
fn stall_links(link: StalledLink) {
    run_on_cluster(async move |cluster| {
        let name = format!("{link:?}").to_lowercase();
        let leader = cluster.operator().leader().await;
        let load = start_load(cluster, mixed_requests(&name, 3));
        sleep_ms(400).await;
        for link in links_to_stall(cluster, link, leader) {
            link.stall_connections();
        }
        let mut records = load.finish().await;
        let later = CallerRequest::new("tuglink", "replan", format!("{name}-later"));
        records.push(cluster.caller("tuglink").submit_until_final(0, later).await);
        check_invariants(cluster, &records).await;
    });
}

roseridge_testutils::cases! {
    stall_links:
    caller_survives_stalled_connection = StalledLink::CallerEntry,
    entry_survives_stalled_connection_to_leader = StalledLink::EntryLeader,
    agent_survives_stalled_connection_to_relay = StalledLink::AgentRelay,
    replicas_survive_stalled_connections = StalledLink::ReplicaReplica,
}
