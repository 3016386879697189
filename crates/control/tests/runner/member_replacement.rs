//! Replacement of replicas while the group serves calls.

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

fn has_member(members: &[MemberView], replica: u64, states: &[MemberState]) -> bool {
    let mut members = members.iter();
    members.any(|m| m.replica == replica && states.contains(&m.state))
}

/// One replica loses its disk and is replaced. Right after the replacement votes, a second replica
/// fails.
///
/// A replacement that votes before it has the whole log could lose committed changes.
#[test]
fn group_with_a_replaced_replica_survives_the_loss_of_another() {
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
        std::fs::remove_dir_all(group.data_folder(3)).expect("the data folder is removed");
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
        let voting = [MemberState::Voter, MemberState::Leader];
        group
            .wait_for("the replacement is a voter", |m| has_member(m, 3, &voting))
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
fn adding_or_removing_an_unknown_replica_is_refused() {
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
