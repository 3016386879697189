//! Cases of restarts of a backend server and of its agent, beside calls that are carried out late.

use crate::server_life::{
    CallFault::{
        Copied,
        Late, //
    },
    CallKind::{
        Ack,
        Start, //
    },
    LateCallRule,
    LifeEvent::{
        self,
        CarryOut,
        ChangeLeader,
        Fault,
        RestartAgent,
        RestartBoth,
        RestartServer,
        Submit,
        Wait, //
    },
    ServerLife, //
};

/// Names each case: the number of tasks whose completions are acknowledged, and the events after that.
macro_rules! cases {
    ($($(#[$attributes:meta])* $name:ident: $tasks:expr, $fault:expr, $events:expr;)*) => {
        $(
            $(#[$attributes])*
            #[test]
            fn $name() {
                assert_eq!(play($tasks, $fault, &$events), [""; 0]);
            }
        )*
    };
}

/// Plays events after a flow whose calls meet a fault, and before one of several tasks; returns what went wrong.
fn play(tasks: u16, fault: LifeEvent, events: &[LifeEvent]) -> Vec<String> {
    let mut life = ServerLife::new(LateCallRule::AtOnce);
    life.play(fault);
    life.submit(tasks);
    life.advance(2_000);
    events.iter().for_each(|event| life.play(*event));
    life.submit(4);
    life.advance(4_000);
    life.finish()
}

cases! {
    /// Guards against done tasks that run again, because an acknowledgement was carried out late by a backend server
    /// whose agent was restarted with it (`review/12`).
    late_acknowledgement_after_a_restart_of_both:
        16, Fault(Ack, Late), [RestartBoth, Wait, CarryOut];

    /// As before, with an acknowledgement that is carried out before the new agent has contact.
    late_acknowledgement_during_a_restart_of_both:
        16, Fault(Ack, Late), [RestartServer, RestartAgent, CarryOut, Wait];

    /// Guards against the same after an agent that was in contact with the earlier incarnation only briefly, and so
    /// doesn't know the acknowledgements of the agent before it.
    late_acknowledgement_of_an_agent_two_restarts_ago:
        16, Fault(Ack, Late), [RestartAgent, Wait, RestartServer, CarryOut, CarryOut];

    /// Guards against a new leader that doesn't know which incarnation has to be tried.
    late_acknowledgement_under_a_new_leader:
        16, Fault(Ack, Copied), [RestartBoth, ChangeLeader, CarryOut, Submit, RestartAgent];

    /// Guards against a backend server that gets no work for the rest of its life, because it restarted while an
    /// acknowledgement was open, and its agent did so seconds later (`review/9`).
    restart_of_the_agent_after_one_with_an_open_acknowledgement:
        1, Fault(Ack, Late), [RestartServer, Wait, RestartAgent, Wait];

    /// Guards against the same under a new leader.
    new_leader_after_a_restart_with_an_open_acknowledgement:
        1, Fault(Ack, Late), [RestartServer, Wait, ChangeLeader, RestartAgent];

    /// Guards against a start for an earlier incarnation that a later one carries out once it is in use.
    late_start_after_a_restart_of_both:
        1, Fault(Start, Late), [RestartBoth, Wait, CarryOut];
}
