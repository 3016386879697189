//! Revisions and resends through fail-over, restart and snapshots.

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

#[test]
fn resend_gets_its_first_answer_after_fail_over_restart_and_snapshot() {
    with_group(async |mut group| {
        group.wait_until_ready().await;
        let first = group.next_template_change("first").await;
        let first = ControlCall::ChangeTemplate(first);
        let revision = revision_of(group.call_until_ok(&first).await);
        // Enough changes for snapshots on every replica.
        for number in 0..40 {
            let change = group
                .next_template_change(&format!("change-{number}"))
                .await;
            group
                .call_until_ok(&ControlCall::ChangeTemplate(change))
                .await;
        }
        let newest = group.templates().await.0;
        let dead = leader(&group).await;
        group.kill(dead).await;
        assert_eq!(revision_of(group.call_until_ok(&first).await), revision);
        assert!(group.templates().await.0 >= newest);
        group.restart(dead).await;
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

#[test]
fn one_of_two_racing_operators_wins() {
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
        let (won, lost) = match answers {
            (Ok(won), lost) => (won, lost),
            (lost, Ok(won)) => (won, lost),
            neither => panic!("{neither:?}"),
        };
        let current = revision_of(won);
        let reason = RefusalReason::RevisionConflict { current };
        assert_eq!(refusal(lost), CallError::Refused { reason });
    });
}
