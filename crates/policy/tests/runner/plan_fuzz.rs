//! Random operation sequences on a small cluster, checked against the brute-force oracle.

use proptest::prelude::*;
use proptest_state_machine::{
    ReferenceStateMachine,
    StateMachineTest,
    prop_state_machine, //
};
use roseridge_model::AdjacencyRule;

use crate::{
    plan_oracle::plan_exists,
    small_cluster::{
        SmallCluster,
        gang,
        template, //
    },
};

const WORKERS: usize = 4;
const CLASSES: [&str; 5] = ["urgent", "payment", "long", "study", "once"];

#[derive(Debug, Clone)]
pub(crate) enum PlanStep {
    Submit {
        customer: bool,
        class: usize,
        members: u16,
        accelerators: u32,
        adjacency: AdjacencyRule,
    },
    AdvanceTime(u64),
    CompleteStops,
    EndPlaced(usize),
    CancelWaiting,
    LoseWorker(usize),
    RecoverWorker(usize),
}

/// A sequence of random steps.
///
/// The reference model is empty: every step is allowed at any time, and the oracle inspects the
/// cluster.
pub(crate) struct RandomHistory;

impl ReferenceStateMachine for RandomHistory {
    type State = ();
    type Transition = PlanStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(&(): &()) -> BoxedStrategy<PlanStep> {
        let adjacency = prop_oneof![
            Just(AdjacencyRule::Any),
            Just(AdjacencyRule::Worker),
            Just(AdjacencyRule::Rack),
        ];
        let submit = (
            any::<bool>(),
            0..CLASSES.len(),
            1..=3u16,
            1..=4u32,
            adjacency,
        );
        prop_oneof![
            8 => submit.prop_map(|(customer, class, members, accelerators, adjacency)| {
                PlanStep::Submit { customer, class, members, accelerators, adjacency }
            }),
            3 => (100..400_000u64).prop_map(PlanStep::AdvanceTime),
            4 => Just(PlanStep::CompleteStops),
            4 => (0..8usize).prop_map(PlanStep::EndPlaced),
            1 => Just(PlanStep::CancelWaiting),
            1 => (0..WORKERS).prop_map(PlanStep::LoseWorker),
            2 => (0..WORKERS).prop_map(PlanStep::RecoverWorker),
        ]
        .boxed()
    }

    fn apply((): (), _: &PlanStep) {}
}

impl StateMachineTest for RandomHistory {
    type SystemUnderTest = SmallCluster;
    type Reference = Self;

    fn init_test((): &()) -> SmallCluster {
        let guaranteed = vec![
            gang(2, 2, AdjacencyRule::Rack),
            gang(1, 1, AdjacencyRule::Any),
        ];
        let mut cluster = SmallCluster::new(
            WORKERS,
            vec![
                template("a", 1, guaranteed),
                template("b", 2, vec![gang(1, 4, AdjacencyRule::Worker)]),
            ],
        );
        cluster.decide();
        cluster
    }

    fn apply(mut cluster: SmallCluster, (): &(), step: PlanStep) -> SmallCluster {
        match step {
            PlanStep::Submit {
                customer,
                class,
                members,
                accelerators,
                adjacency,
            } => {
                let gang = gang(members, accelerators, adjacency);
                let customer = if customer { "a" } else { "b" };
                if cluster.can_ever_start(customer, CLASSES[class], &gang) {
                    cluster.submit(customer, CLASSES[class], gang);
                }
            }
            PlanStep::AdvanceTime(millis) => cluster.now += millis,
            PlanStep::CompleteStops => cluster.complete_stops(),
            PlanStep::EndPlaced(index) => {
                let placed = cluster.jobs.iter().filter(|(_, j)| !j.placement.is_empty());
                let job = placed.map(|(id, _)| *id).nth(index);
                job.into_iter().for_each(|job| cluster.end_job(job));
            }
            PlanStep::CancelWaiting => {
                for job in cluster.waiting.clone() {
                    cluster.end_job(job);
                }
            }
            PlanStep::LoseWorker(worker) if cluster.live[worker] => cluster.lose_worker(worker),
            PlanStep::LoseWorker(_) => {}
            PlanStep::RecoverWorker(worker) => cluster.live[worker] = true,
        }
        cluster.decide();
        // `SmallCluster::decide` checks the stored plan. This checks that no guarantee is degraded
        // needlessly.
        let is_whole = cluster.memory.plan.degraded.is_empty();
        assert!(
            !is_whole || plan_exists(&cluster),
            "no reclaim plan exists, but no guarantee is degraded"
        );
        if cluster.live.iter().all(|live| *live) && plan_exists(&cluster) {
            cluster.now += 60_000;
            cluster.decide();
            let degraded = &cluster.memory.plan.degraded;
            assert!(
                degraded.is_empty() || !plan_exists(&cluster),
                "degraded although a reclaim plan exists: {degraded:?}"
            );
        }
        cluster
    }

    fn teardown(mut cluster: SmallCluster, (): ()) {
        cluster.live = vec![true; WORKERS];
        cluster.run_to_completion();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        .. ProptestConfig::default()
    })]

    // Guards against guarantees that can't be reclaimed, are degraded needlessly, or jobs that
    // never start.
    #[test]
    fn guarantees_stay_reclaimable_and_no_job_starves(sequential 1..60 => RandomHistory);
}
