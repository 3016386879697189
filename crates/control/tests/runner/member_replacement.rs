//! Replicas that are replaced while the group works.

use roseridge_quorum::{
    MemberError,
    ReplicaId, //
};
use roseridge_wire::{
    CallError,
    ControlCall,
    MemberState,
    MemberView, //
};

use crate::control_group::{
    refusal,
    with_group, //
};

fn has(members: &[MemberView], replica: u64, states: &[MemberState]) -> bool {
    let mut members = members.iter();
    members.any(|m| m.replica == replica && states.contains(&m.state))
}

/// The disk of one replica is lost, it is replaced, and right after the repair a second one is lost.
#[test]
fn replaced_replica_carries_the_group_when_a_second_one_is_lost() {
    with_group(async |mut group| {
        group.wait_until_ready().await;
        for number in 0..40 {
            let change = group
                .next_template_change(&format!("before-{number}"))
                .await;
            group
                .call_until_ok(&ControlCall::ChangeTemplate(change))
                .await;
        }
        group.kill(3).await;
        std::fs::remove_dir_all(group.data_folder(3)).expect("the disk is lost");
        group.restart(3).await;
        let add = ControlCall::AddReplica(ReplicaId(3));
        let reason = MemberError::NumberTaken;
        assert_eq!(
            refusal(group.call(&add).await),
            CallError::MemberRefused { reason }
        );
        group
            .call_until_ok(&ControlCall::RemoveReplica(ReplicaId(3)))
            .await;
        group.call_until_ok(&add).await;
        let votes = [MemberState::Voter, MemberState::Leader];
        group
            .wait_for("the new replica votes", |m| has(m, 3, &votes))
            .await;
        let revision = group.templates().await.0;
        group.kill(1).await;
        assert_eq!(group.templates().await.0, revision);
        let change = group.next_template_change("after").await;
        group
            .call_until_ok(&ControlCall::ChangeTemplate(change))
            .await;
        assert_eq!(group.templates().await.0.0, revision.0 + 1);
    });
}

#[test]
fn unknown_replica_is_neither_added_nor_removed() {
    with_group(async |group| {
        group.wait_until_ready().await;
        let reason = MemberError::UnknownMember;
        for call in [
            ControlCall::AddReplica(ReplicaId(9)),
            ControlCall::RemoveReplica(ReplicaId(9)),
        ] {
            let refused = refusal(group.call(&call).await);
            assert_eq!(refused, CallError::MemberRefused { reason });
        }
    });
}
