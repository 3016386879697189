//! Concurrent and repeated configuration changes, and a configuration that must not revert.

use futures::future::join_all;
use roseridge_faults::{
    HttpReply,
    SmallCluster,
    check_configuration_in_force, //
};
use roseridge_ledger::TemplateChange;
use roseridge_model::{
    ConfigRevision,
    RequestKey, //
};
use roseridge_settings::default_templates;

use crate::harness::run_on_cluster;

/// The number of changes before all entries are restarted.
const CHANGES: u32 = 12;

/// Returns a change of a customer's queue limit that is based on the revision `base`.
fn template_change(request: &str, base: u64, queue_limit: u32) -> TemplateChange {
    let templates = default_templates();
    let mut template = templates
        .into_iter()
        .find(|t| t.customer.as_str() == "tuglink");
    let template = template
        .as_mut()
        .expect("the customer has a default template");
    template.queue_limit = queue_limit;
    TemplateChange {
        request: RequestKey::parse(request).expect("the key is valid"),
        base: ConfigRevision(base),
        template: template.clone(),
    }
}

/// Submits a change, to the entries in turn, until the reply is neither 503 nor 504.
async fn submit_until_answered(
    cluster: &SmallCluster,
    first_entry: usize,
    change: &TemplateChange,
) -> HttpReply {
    let operator = cluster.operator();
    operator
        .poll("the change has a final reply", async |entry| {
            let reply = operator
                .submit_template_change(first_entry + entry, change)
                .await?;
            (reply.status != 503 && reply.status != 504).then_some(reply)
        })
        .await
}

/// Returns the current revision of the configuration.
async fn current_revision(cluster: &SmallCluster) -> u64 {
    let status = cluster.operator().status().await;
    status["revision"]
        .as_u64()
        .expect("the status contains a revision")
}

/// Guards against lost updates: of two concurrent changes based on the same revision, exactly one
/// may be accepted.
#[test]
fn one_of_two_concurrent_changes_is_accepted() {
    run_on_cluster(async |cluster| {
        for repetition in 0..5u32 {
            let base = current_revision(cluster).await;
            let changes: Vec<_> = (0..2u32)
                .map(|operator_number| {
                    template_change(
                        &format!("race-{repetition}-{operator_number}"),
                        base,
                        100 + 2 * repetition + operator_number,
                    )
                })
                .collect();
            let sent = changes
                .iter()
                .enumerate()
                .map(|(operator_number, c)| submit_until_answered(cluster, operator_number, c));
            let replies = join_all(sent).await;
            let accepted: Vec<_> = replies.iter().map(|r| r.status == 200).collect();
            assert_eq!(
                accepted.iter().filter(|accepted| **accepted).count(),
                1,
                "{replies:?}"
            );
            let winner = u32::from(accepted[1]);
            check_configuration_in_force(cluster, base + 1, 100 + 2 * repetition + winner).await;
        }
    });
}

/// Guards against accepted changes that are reverted by restarts, or applied twice when an operator
/// submits them again after a lost reply.
#[test]
fn accepted_configuration_survives_restarts() {
    run_on_cluster(async |cluster| {
        let mut revision = current_revision(cluster).await;
        for number in 0..CHANGES {
            let change = template_change(&format!("change-{number}"), revision, 200 + number);
            let entry = number as usize % cluster.entry_count();
            if number % 4 == 1 {
                cluster.kill_entry(entry);
            }
            let first = submit_until_answered(cluster, entry, &change).await;
            cluster.start_missing();
            assert_eq!(first.status, 200, "{first:?}");
            // Simulates an operator that lost the reply and submits the change again.
            let again = submit_until_answered(cluster, entry + 1, &change).await;
            assert_eq!(
                again, first,
                "a repeated change gets the reply to the first"
            );
            revision += 1;
            check_configuration_in_force(cluster, revision, 200 + number).await;
        }
        for entry in 0..cluster.entry_count() {
            cluster.kill_entry(entry);
        }
        cluster.start_missing();
        check_configuration_in_force(cluster, revision, 200 + CHANGES - 1).await;
        let first = template_change("change-0", revision - u64::from(CHANGES), 200);
        let again = submit_until_answered(cluster, 0, &first).await;
        assert_eq!(
            again.status, 200,
            "a change repeated after the restart: {again:?}"
        );
        check_configuration_in_force(cluster, revision, 200 + CHANGES - 1).await;
    });
}
