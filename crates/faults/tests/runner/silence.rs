//! Open connections that go silent for good while new ones work.

use roseridge_faults::{
    CallerRequest,
    LinkForwarder,
    SmallCluster,
    check_promises, //
};

use crate::drive::{
    mixed_requests,
    on_cluster,
    pause_ms,
    start_load, //
};

/// The links whose open connections go silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SilentLink {
    CallerEntry,
    EntryLeader,
    AgentRelay,
    ReplicaReplica,
}

fn links_of(cluster: &SmallCluster, link: SilentLink, leader: usize) -> Vec<LinkForwarder> {
    let entries = 0..cluster.entries();
    let links: Vec<_> = match link {
        SilentLink::CallerEntry => entries.map(|e| cluster.caller_link(e)).collect(),
        SilentLink::EntryLeader => entries
            .filter(|e| *e != leader)
            .map(|e| cluster.entry_link(e, leader))
            .collect(),
        SilentLink::AgentRelay => (0..cluster.workers())
            .flat_map(|w| entries.clone().map(move |e| cluster.agent_link(w, e)))
            .collect(),
        SilentLink::ReplicaReplica => entries
            .clone()
            .flat_map(|from| entries.clone().map(move |to| cluster.entry_link(from, to)))
            .collect(),
    };
    links.into_iter().cloned().collect()
}

fn go_silent(link: SilentLink) {
    on_cluster(async move |cluster| {
        let name = format!("{link:?}").to_lowercase();
        let leader = cluster.operator().leader().await;
        let load = start_load(cluster, mixed_requests(&name, 3));
        pause_ms(400).await;
        for link in links_of(cluster, link, leader) {
            link.stall_connections();
        }
        let mut records = load.finish().await;
        let later = CallerRequest::new("tuglink", "replan", format!("{name}-later"));
        records.push(cluster.caller("tuglink").ask(0, later).await);
        check_promises(cluster, &records).await;
    });
}

roseridge_testutils::cases! {
    go_silent:
    a_caller_outlives_a_silent_connection = SilentLink::CallerEntry,
    an_entry_outlives_a_silent_connection_to_the_leader = SilentLink::EntryLeader,
    an_agent_outlives_a_silent_connection_to_its_relay = SilentLink::AgentRelay,
    replicas_outlive_silent_connections = SilentLink::ReplicaReplica,
}
