//! Orders about failure domains across fail-over, restart and snapshots.

use roseridge_model::DomainName;
use roseridge_wire::{
    CallError,
    ControlCall,
    ControlReply,
    EvacuationsView,
    FlowCall,
    FlowReply,
    LinkError,
    MemberState, //
};

use crate::control_group::{
    ControlGroup,
    with_group, //
};

fn domain() -> DomainName {
    DomainName::parse("zone-a").expect("a valid name")
}

fn flow_call(call: FlowCall) -> ControlCall {
    ControlCall::Flow(Box::new(call))
}

fn evacuate(base: u64) -> ControlCall {
    let domain = domain();
    flow_call(FlowCall::Evacuate { domain, base })
}

fn restore(base: u64) -> ControlCall {
    let domain = domain();
    flow_call(FlowCall::Restore { domain, base })
}

fn is_acknowledged(reply: &ControlReply) -> bool {
    matches!(reply, ControlReply::Flow(FlowReply::Evacuated { .. }))
}

async fn evacuations(group: &ControlGroup) -> EvacuationsView {
    match group
        .call_until_ok(&flow_call(FlowCall::ReadEvacuations))
        .await
    {
        ControlReply::Flow(FlowReply::Evacuations(view)) => view,
        other => panic!("{other:?}"),
    }
}

pub(crate) async fn leader(group: &ControlGroup) -> u64 {
    let members = group.members().await;
    let leader = members.iter().find(|m| m.state == MemberState::Leader);
    leader.expect("a leader").replica
}

/// The leader is lost after the commit and before its answer arrives, so the order is sent again
/// with the same base to the next leader, which must acknowledge it. The withdrawal then needs the
/// new revision, and the old order must not apply after it.
#[test]
fn order_is_acknowledged_again_by_the_next_leader() {
    with_group(async |mut group| {
        group.wait_until_ready().await;
        assert!(is_acknowledged(&group.call_until_ok(&evacuate(0)).await));
        let failed = leader(&group).await;
        group.kill(failed).await;
        assert!(is_acknowledged(&group.call_until_ok(&evacuate(0)).await));
        let view = evacuations(&group).await;
        assert_eq!(view.evacuated().count(), 1);
        let base = view.revision(&domain());
        assert!(is_acknowledged(&group.call_until_ok(&restore(base)).await));
        let late = group.call_until_ok(&evacuate(0)).await;
        assert_eq!(late, ControlReply::Flow(FlowReply::Overtaken));
        assert_eq!(evacuations(&group).await.evacuated().count(), 0);
    });
}

/// Guards against an acknowledged evacuation that is lost when all replicas restart from their
/// snapshots.
#[test]
fn evacuation_survives_snapshots_and_a_restart_of_all_replicas() {
    with_group(async |mut group| {
        group.wait_until_ready().await;
        group.call_until_ok(&evacuate(0)).await;
        let before = evacuations(&group).await;
        // Every replica writes a snapshot after this many changes.
        for number in 0..40 {
            let change = group
                .next_template_change(&format!("change-{number}"))
                .await;
            group
                .call_until_ok(&ControlCall::ChangeTemplate(change))
                .await;
        }
        for number in 1..=3 {
            group.stop(number).await;
        }
        for number in 1..=3 {
            group.restart(number).await;
        }
        let after = evacuations(&group).await;
        assert_eq!(after.domains, before.domains);
        assert!(is_acknowledged(&group.call_until_ok(&evacuate(0)).await));
    });
}

/// A follower may have an older state, so it must neither read nor propose.
#[test]
fn follower_does_not_answer_calls_about_evacuations() {
    with_group(async |group| {
        group.wait_until_ready().await;
        let leader = leader(&group).await;
        for number in (1..=3).filter(|number| *number != leader) {
            for call in [evacuate(0), flow_call(FlowCall::ReadEvacuations)] {
                let answer = group.call_replica(number, call).await;
                let Err(LinkError::Answered { source }) = answer else {
                    panic!("{answer:?}");
                };
                assert!(matches!(source, CallError::NotLeader { .. }), "{source:?}");
            }
        }
    });
}
