//! Random sequences of faults, checked against the invariants of the fake cluster.
//!
//! CI runs a fixed number of cases from a fixed seed. The variables `ROSERIDGE_FUZZ_CASES` and
//! `ROSERIDGE_FUZZ_SEED` select a longer run; see `docs/design/replicated-log.md`.

use std::{
    env,
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
};

use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed,
        TestError,
        TestRunner, //
    },
};
use proptest_state_machine::{
    ReferenceStateMachine,
    StateMachineTest, //
};
use roseridge_quorum::MemberChange;

use crate::fake_cluster::FakeCluster;

const NODES: usize = 5;
const DEFAULT_CASES: u32 = 300;
const DEFAULT_SEED: u64 = 20_261_203;

/// The number of steps run in all cases.
static STEPS: AtomicU64 = AtomicU64::new(0);

/// One operation on the cluster, its disks or its network.
#[derive(Debug, Clone)]
enum ClusterStep {
    RunRounds(u8),
    /// Rounds in which messages arrive but no disk syncs.
    ExchangeMessages(u8),
    /// Every replica crashes at once and restarts; each disk keeps this many unsynced operations.
    PowerLoss(usize),
    Advance(u64),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Sync(usize),
    /// A replica crashes; its disk keeps the first `kept` unsynced operations.
    Crash {
        node: usize,
        kept: usize,
    },
    Restart(usize),
    CutLink(usize, usize),
    Isolate(usize),
    Heal,
    /// Proposes a command of this size in bytes; a large one fills an append on its own.
    Propose(usize),
    Compact(usize),
    AddLearner(usize),
    Promote,
    Remove(usize),
    ReplaceDisk(usize),
    TransferLeadership,
}

struct ClusterModel;

impl ReferenceStateMachine for ClusterModel {
    /// Whether the cluster is bootstrapped before the first step.
    type State = bool;
    type Transition = ClusterStep;

    fn init_state() -> BoxedStrategy<bool> {
        prop::bool::weighted(0.75).boxed()
    }

    fn transitions(_: &bool) -> BoxedStrategy<ClusterStep> {
        let node = || 0..NODES;
        let pick = || any::<usize>();
        prop_oneof![
            12 => (1u8..40).prop_map(ClusterStep::RunRounds),
            8 => (1u64..300).prop_map(ClusterStep::Advance),
            8 => (1u8..6).prop_map(ClusterStep::ExchangeMessages),
            1 => (0usize..4).prop_map(ClusterStep::PowerLoss),
            20 => pick().prop_map(ClusterStep::Deliver),
            4 => pick().prop_map(ClusterStep::Duplicate),
            4 => pick().prop_map(ClusterStep::Drop),
            12 => node().prop_map(ClusterStep::Sync),
            4 => (node(), 0usize..4).prop_map(|(node, kept)| ClusterStep::Crash { node, kept }),
            6 => node().prop_map(ClusterStep::Restart),
            2 => (node(), node()).prop_map(|(from, to)| ClusterStep::CutLink(from, to)),
            1 => node().prop_map(ClusterStep::Isolate),
            2 => Just(ClusterStep::Heal),
            10 => prop_oneof![Just(8usize), Just(200)].prop_map(ClusterStep::Propose),
            4 => node().prop_map(ClusterStep::Compact),
            3 => node().prop_map(ClusterStep::AddLearner),
            3 => Just(ClusterStep::Promote),
            1 => node().prop_map(ClusterStep::Remove),
            1 => node().prop_map(ClusterStep::ReplaceDisk),
            1 => Just(ClusterStep::TransferLeadership),
        ]
        .boxed()
    }

    fn apply(is_bootstrapped: bool, _: &ClusterStep) -> bool {
        is_bootstrapped
    }
}

struct ClusterTest;

impl StateMachineTest for ClusterTest {
    type SystemUnderTest = FakeCluster;
    type Reference = ClusterModel;

    fn init_test(is_bootstrapped: &bool) -> FakeCluster {
        match is_bootstrapped {
            true => FakeCluster::bootstrapped(NODES as u64),
            false => FakeCluster::new(NODES as u64),
        }
    }

    fn apply(mut cluster: FakeCluster, _: &bool, step: ClusterStep) -> FakeCluster {
        STEPS.fetch_add(1, Ordering::Relaxed);
        run_step(&mut cluster, step);
        cluster.process_outputs();
        cluster
    }

    fn teardown(mut cluster: FakeCluster, _: bool) {
        cluster.recover();
    }
}

fn run_step(cluster: &mut FakeCluster, step: ClusterStep) {
    let pick = |cluster: &FakeCluster, pick: usize| match cluster.packets.len() {
        0 => None,
        length => Some(pick % length),
    };
    match step {
        ClusterStep::RunRounds(rounds) => (0..rounds).for_each(|_| cluster.run_round()),
        ClusterStep::ExchangeMessages(rounds) => {
            (0..rounds).for_each(|_| cluster.exchange_messages())
        }
        ClusterStep::PowerLoss(kept) => {
            (0..NODES).for_each(|node| cluster.crash(node, kept));
            (0..NODES).for_each(|node| cluster.restart(node));
        }
        ClusterStep::Advance(span_ms) => cluster.advance(span_ms),
        ClusterStep::Deliver(number) => {
            if let Some(number) = pick(cluster, number) {
                let packet = cluster.packets.remove(number);
                cluster.deliver(packet);
            }
        }
        ClusterStep::Duplicate(number) => {
            if let Some(number) = pick(cluster, number) {
                let packet = &cluster.packets[number];
                let copy = crate::fake_cluster::FakePacket {
                    message: packet.message.clone(),
                    ..*packet
                };
                cluster.packets.push(copy);
            }
        }
        ClusterStep::Drop(number) => {
            if let Some(number) = pick(cluster, number) {
                cluster.packets.remove(number);
            }
        }
        ClusterStep::Sync(node) => cluster.sync(node),
        ClusterStep::Crash { node, kept } => cluster.crash(node, kept),
        ClusterStep::Restart(node) => cluster.restart(node),
        ClusterStep::CutLink(from, to) => cluster.cut_link(from, to),
        ClusterStep::Isolate(node) => cluster.isolate(node),
        ClusterStep::Heal => cluster.heal(),
        ClusterStep::Propose(bytes) => {
            cluster.propose_bytes(bytes);
        }
        ClusterStep::Compact(node) => cluster.compact(node),
        ClusterStep::AddLearner(node) => {
            let id = cluster.nodes[node].id;
            let address = format!("address-{}", id.replica);
            cluster.change_members(&MemberChange::AddLearner { id, address });
        }
        ClusterStep::Promote => {
            if let Some(learner) = cluster.learner() {
                cluster.change_members(&MemberChange::Promote(learner));
            }
        }
        ClusterStep::Remove(node) => {
            let id = cluster.nodes[node].id;
            cluster.change_members(&MemberChange::Remove(id));
        }
        ClusterStep::ReplaceDisk(node) => cluster.replace_disk(node),
        ClusterStep::TransferLeadership => {
            for node in cluster.nodes.iter_mut() {
                node.core.as_mut().map(|core| core.transfer_leadership());
            }
        }
    }
}

fn number_from_env(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(default)
}

/// Guards against violated invariants under any mix of crashes, lost messages, isolation and
/// membership changes: two leaders in a term, different applied entries, stale reads or lost state.
#[test]
fn random_faults_violate_no_invariant() {
    let cases = number_from_env("ROSERIDGE_FUZZ_CASES", u64::from(DEFAULT_CASES));
    let config = Config {
        cases: u32::try_from(cases).expect("the number of cases fits"),
        rng_seed: RngSeed::Fixed(number_from_env("ROSERIDGE_FUZZ_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    let strategy = ClusterModel::sequential_strategy(40..200);
    let mut runner = TestRunner::new(config.clone());
    let result = runner.run(&strategy, |(state, steps, seen)| {
        ClusterTest::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    println!("{cases} cases, {} steps", STEPS.load(Ordering::Relaxed));
    match result {
        Ok(()) => {}
        Err(TestError::Fail(reason, (_, steps, _))) => panic!("{reason}, after {steps:?}"),
        Err(error) => panic!("{error}"),
    }
}
