//! Template changes: repeated requests across fail-over, restart and snapshots, and conflicts.

use roseridge_ledger::{
    CommandOutcome,
    RefusalReason, //
};
use roseridge_model::ConfigRevision;
use roseridge_wire::{
    CallError,
    ControlCall,
    ControlReply,
    MemberState, //
};

use crate::control_group::{
    ControlGroup,
    refusal,
    with_group, //
};

fn revision_of(reply: ControlReply) -> ConfigRevision {
    match reply {
        ControlReply::Outcome(CommandOutcome::Changed { revision }) => revision,
        other => panic!("{other:?}"),
    }
}

async fn leader(group: &ControlGroup) -> u64 {
    let members = group.members().await;
    let leader = members.iter().find(|m| m.state == MemberState::Leader);
    leader.expect("a leader").replica
}

/// A request that is sent again must return its first outcome and must not be applied again.
///
/// A replica that lost the recorded outcome, in a fail-over, a restart or a snapshot, would apply
/// the change twice or refuse it because its revision is outdated.
#[test]
fn resend_returns_the_first_outcome_after_fail_over_restart_and_snapshot() {
    with_group(async |mut group| {
        group.wait_until_ready().await;
        let first = group.next_template_change("first").await;
        let first = ControlCall::ChangeTemplate(first);
        let revision = revision_of(group.call_until_ok(&first).await);
        // Every replica writes a snapshot after this many changes.
        for number in 0..40 {
            let change = group
                .next_template_change(&format!("change-{number}"))
                .await;
            group
                .call_until_ok(&ControlCall::ChangeTemplate(change))
                .await;
        }
        let newest = group.templates().await.0;
        let failed = leader(&group).await;
        group.kill(failed).await;
        assert_eq!(revision_of(group.call_until_ok(&first).await), revision);
        assert!(group.templates().await.0 >= newest);
        group.restart(failed).await;
        for number in 1..=3 {
            group.stop(number).await;
        }
        for number in 1..=3 {
            let folder = std::fs::read_dir(group.data_folder(number)).expect("a folder");
            let names = folder.map(|file| file.expect("a file").file_name());
            let mut names = names.map(|name| name.to_string_lossy().into_owned());
            assert!(
                names.any(|n| n.ends_with(".snap")),
                "replica {number} has a snapshot"
            );
            group.restart(number).await;
        }
        assert_eq!(group.templates().await.0, newest);
        assert_eq!(revision_of(group.call_until_ok(&first).await), revision);
        assert_eq!(group.templates().await.0, newest);
    });
}

/// Two operators change the same revision at the same time. Only one change may be accepted.
#[test]
fn one_of_two_concurrent_template_changes_is_accepted() {
    with_group(async |group| {
        group.wait_until_ready().await;
        let one = group.next_template_change("one").await;
        let mut two = group.next_template_change("two").await;
        two.template.queue_limit += 7;
        let (one, two) = (
            ControlCall::ChangeTemplate(one),
            ControlCall::ChangeTemplate(two),
        );
        let answers = futures::join!(group.call(&one), group.call(&two));
        let (accepted, rejected) = match answers {
            (Ok(accepted), rejected) => (accepted, rejected),
            (rejected, Ok(accepted)) => (accepted, rejected),
            neither => panic!("{neither:?}"),
        };
        let current = revision_of(accepted);
        let reason = RefusalReason::RevisionConflict { current };
        assert_eq!(refusal(rejected), CallError::Refused { reason });
    });
}
