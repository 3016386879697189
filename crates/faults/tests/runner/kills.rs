//! Components that are killed and restarted.

use roseridge_fake::TaskEventKind;
use roseridge_faults::{
    CallerRequest,
    RequestOutcome,
    SmallCluster,
    check_invariants, //
};

use crate::harness::{
    mixed_requests,
    run_on_cluster,
    sleep_ms,
    start_load, //
};

/// The component that is killed and restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KilledComponent {
    Leader,
    Follower,
    Agent,
    Backend,
}

/// Guards against requests that are lost or run twice when one component is killed under load and
/// restarted 700 ms later.
fn kill_and_restart(component: KilledComponent) {
    run_on_cluster(async move |cluster| {
        let name = format!("{component:?}").to_lowercase();
        let leader = cluster.operator().leader().await;
        let load = start_load(cluster, mixed_requests(&name, 3));
        sleep_ms(300).await;
        match component {
            KilledComponent::Leader => cluster.kill_entry(leader),
            KilledComponent::Follower => cluster.kill_entry((leader + 1) % cluster.entry_count()),
            KilledComponent::Agent => cluster.kill_agent(1),
            KilledComponent::Backend => cluster.kill_backend(1),
        }
        sleep_ms(700).await;
        cluster.start_missing();
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
        cluster
            .operator()
            .wait_until_ready(cluster.worker_count())
            .await;
    });
}

/// The state of the jobs at which the leader is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KillPoint {
    Accepted,
    Held,
    Started,
}

/// Guards against jobs that are lost, run twice or start with only part of their gang when the
/// leader is killed in the middle of a transition.
fn kill_leader_at(point: KillPoint) {
    run_on_cluster(async move |cluster| {
        let leader = cluster.operator().leader().await;
        let other = (leader + 1) % cluster.entry_count();
        let tug = CallerRequest::new("tuglink", "tug-assignment", "tug-at-the-point");
        let gang = CallerRequest::new("benali", "payment-file", "payments-at-the-point");
        let caller = cluster.caller("tuglink");
        let request = tug.clone().running(600);
        let accepted = caller.submit(other, &request, 0).await;
        assert!(accepted.is_some_and(|r| r.status == 202 || r.status == 200));
        let load = start_load(cluster, vec![request, gang.gang(3, 2).running(600)]);
        match point {
            KillPoint::Accepted => {}
            KillPoint::Held => wait_for_event(cluster, TaskEventKind::Held).await,
            KillPoint::Started => wait_for_event(cluster, TaskEventKind::Started).await,
        }
        cluster.kill_entry(leader);
        sleep_ms(1_000).await;
        cluster.start_missing();
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
    });
}

/// Waits until any task has reached an event of the given kind.
async fn wait_for_event(cluster: &SmallCluster, kind: TaskEventKind) {
    let operator = cluster.operator();
    operator
        .poll("a task reaches the expected state", async |_| {
            let events = cluster.event_log().events();
            events.iter().any(|e| e.kind == kind).then_some(())
        })
        .await;
}

roseridge_testutils::cases! {
    kill_and_restart:
    invariants_hold_after_leader_kill = KilledComponent::Leader,
    invariants_hold_after_follower_kill = KilledComponent::Follower,
    invariants_hold_after_agent_kill = KilledComponent::Agent,
    invariants_hold_after_backend_server_kill = KilledComponent::Backend,
}

roseridge_testutils::cases! {
    kill_leader_at:
    invariants_hold_if_leader_is_killed_between_accept_and_start = KillPoint::Accepted,
    invariants_hold_if_leader_is_killed_between_hold_and_release = KillPoint::Held,
    invariants_hold_if_leader_is_killed_after_start = KillPoint::Started,
}

/// Guards against the loss of two agents that leaves requests without an outcome or stops the work
/// on the other workers.
#[test]
fn other_work_continues_after_agent_loss() {
    run_on_cluster(async |cluster| {
        let load = start_load(cluster, mixed_requests("lost-agent", 3));
        sleep_ms(400).await;
        cluster.kill_agent(0);
        cluster.kill_agent(1);
        let records = load.finish().await;
        cluster.kill_backend(0);
        cluster.kill_backend(1);
        check_invariants(cluster, &records).await;
    });
}

/// Guards against a job that stays on a backend server which is gone for good, because its agent keeps the lease
/// of the worker.
#[test]
fn job_of_a_backend_server_that_is_gone_for_good_runs_elsewhere() {
    run_on_cluster(async |cluster| {
        let request = CallerRequest::new("tuglink", "replan", "gone-for-good").running(3_000);
        let load = start_load(cluster, vec![request]);
        wait_for_event(cluster, TaskEventKind::Started).await;
        let label = cluster.event_log().events()[0].label.clone();
        let workers = 0..cluster.worker_count();
        let gone = workers
            .into_iter()
            .find(|w| cluster.worker_label(*w) == label);
        cluster.kill_backend(gone.expect("a worker of the cluster"));
        let records = load.finish().await;
        assert_eq!(records[0].outcome, RequestOutcome::Done, "{records:?}");
        check_invariants(cluster, &records).await;
    });
}

/// Guards against accepted jobs that are lost, and a cluster that can't serve again, after all
/// components were killed at once.
#[test]
fn invariants_hold_after_restart_of_all_components() {
    run_on_cluster(async |cluster| {
        let load = start_load(cluster, mixed_requests("all", 2));
        sleep_ms(500).await;
        for entry in 0..cluster.entry_count() {
            cluster.kill_entry(entry);
        }
        for worker in 0..cluster.worker_count() {
            cluster.kill_agent(worker);
            cluster.kill_backend(worker);
        }
        cluster.start_missing();
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
        cluster
            .operator()
            .wait_until_ready(cluster.worker_count())
            .await;
        let after = CallerRequest::new("tuglink", "replan", "after-the-restart");
        let after = cluster.caller("tuglink").submit_until_final(0, after).await;
        assert_eq!(after.outcome, RequestOutcome::Done, "{after:?}");
    });
}

/// Guards against a repair that restores a replica only in part: the loss of a second instance
/// after it would then lose accepted jobs.
#[test]
fn invariants_hold_if_second_instance_is_lost_after_repair() {
    run_on_cluster(async |cluster| {
        let load = start_load(cluster, mixed_requests("twice", 3));
        for entry in 0..2 {
            sleep_ms(300).await;
            cluster.kill_entry(entry);
            sleep_ms(300).await;
            cluster.start_missing();
            cluster.operator().status().await;
        }
        let records = load.finish().await;
        check_invariants(cluster, &records).await;
    });
}
