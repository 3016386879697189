//! Stateful property tests of the ledger against the history oracle.

use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed, //
    },
};
use proptest_state_machine::{
    ReferenceStateMachine,
    StateMachineTest,
    prop_state_machine, //
};

use crate::{
    ledger_simulation::{
        LedgerSimulation,
        WORKERS, //
    },
    simulation_step::SimulationStep, //
};

/// Generates the steps. It models no state: the oracle in the simulation is the reference.
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = ();
    type Transition = SimulationStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<SimulationStep> {
        let submit =
            (0u8..6, 0usize..3, 1u16..4).prop_map(|(key, class, members)| SimulationStep::Submit {
                key,
                class,
                members,
            });
        let finish = (0..WORKERS, 0usize..4, any::<bool>()).prop_map(|(worker, pick, fails)| {
            SimulationStep::Finish {
                worker,
                pick,
                fails,
            }
        });
        let restart = (0..WORKERS, any::<bool>()).prop_map(|(worker, loses_tasks)| {
            SimulationStep::RestartAgent {
                worker,
                loses_tasks,
            }
        });
        let report = (0..WORKERS, prop::bool::weighted(0.1))
            .prop_map(|(worker, leaving)| SimulationStep::Report { worker, leaving });
        prop_oneof![
            4 => submit,
            1 => (0u64..6).prop_map(|job| SimulationStep::Cancel { job }),
            4 => Just(SimulationStep::Decide),
            1 => (0u64..6).prop_map(|job| SimulationStep::Preempt { job }),
            8 => (0..WORKERS).prop_map(|worker| SimulationStep::FollowOrders { worker }),
            3 => finish,
            8 => report,
            2 => (0..WORKERS).prop_map(|worker| SimulationStep::Announce { worker }),
            10 => (0usize..8).prop_map(|pick| SimulationStep::Deliver { pick }),
            1 => (0usize..8).prop_map(|pick| SimulationStep::Duplicate { pick }),
            1 => (0usize..8).prop_map(|pick| SimulationStep::Drop { pick }),
            1 => restart,
            1 => (0..WORKERS).prop_map(|worker| SimulationStep::LoseWorker { worker }),
            1 => any::<bool>().prop_map(|once_is_idempotent| {
                SimulationStep::ChangeTemplate { once_is_idempotent }
            }),
            1 => Just(SimulationStep::ReloadSnapshot),
            1 => (1u64..40_000).prop_map(|millis| SimulationStep::PassTime { millis }),
            1 => Just(SimulationStep::Expire),
        ]
        .boxed()
    }

    fn apply((): (), _: &SimulationStep) {}
}

/// Applies the steps to a new simulation.
struct LedgerFuzz;

impl StateMachineTest for LedgerFuzz {
    type SystemUnderTest = LedgerSimulation;
    type Reference = StepGenerator;

    fn init_test((): &()) -> LedgerSimulation {
        LedgerSimulation::new()
    }

    fn apply(mut simulation: LedgerSimulation, (): &(), step: SimulationStep) -> LedgerSimulation {
        simulation.apply_step(&step);
        simulation
    }

    fn teardown(mut simulation: LedgerSimulation, (): ()) {
        simulation.run_to_completion();
    }
}

fn config(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(256, 1))]

    #[test]
    fn short_histories_are_legal(sequential 1..60 => LedgerFuzz);
}

prop_state_machine! {
    #![proptest_config(config(96, 2))]

    #[test]
    fn long_histories_are_legal(sequential 150..400 => LedgerFuzz);
}
