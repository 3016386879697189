//! Property tests of the task table.

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{
        Config,
        RngSeed, //
    },
};
use roseridge_agent::LeaseState;

use crate::table_simulation::{
    CallOutcome,
    SimulationStep,
    TableSimulation, //
};

fn any_lease() -> impl Strategy<Value = LeaseState> {
    prop_oneof![
        6 => Just(LeaseState::Valid),
        1 => Just(LeaseState::Inherited),
        1 => Just(LeaseState::Expired),
    ]
}

fn any_call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        5 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Duplicated),
    ]
}

fn any_step() -> impl Strategy<Value = SimulationStep> {
    let pick = || 0usize..6;
    prop_oneof![
        3 => Just(SimulationStep::Place),
        4 => pick().prop_map(|pick| SimulationStep::Release { pick }),
        1 => pick().prop_map(|pick| SimulationStep::StopTask { pick }),
        5 => Just(SimulationStep::SendOrders),
        8 => any_lease().prop_map(|lease| SimulationStep::Poll { lease }),
        8 => (pick(), any_call_outcome())
            .prop_map(|(pick, outcome)| SimulationStep::Call { pick, outcome }),
        2 => pick().prop_map(|pick| SimulationStep::DelayedCall { pick }),
        3 => (pick(), any::<bool>())
            .prop_map(|(pick, fails)| SimulationStep::Finish { pick, fails }),
        3 => Just(SimulationStep::TakeSnapshot),
        4 => Just(SimulationStep::DeliverList),
        5 => any::<bool>().prop_map(|is_acknowledged| SimulationStep::Report { is_acknowledged }),
        1 => Just(SimulationStep::RestartAgent),
        1 => Just(SimulationStep::RestartBackend),
    ]
}

fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn table_starts_tasks_once_and_cleans_up(steps in vec(any_step(), 1..160)) {
        let mut simulation = TableSimulation::new();
        for step in &steps {
            simulation.apply(step);
        }
        simulation.finish_all();
    }
}
