//! Property tests of the task book.

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
    BookStep,
    BookWorld,
    CallFate, //
};

fn any_lease() -> impl Strategy<Value = LeaseState> {
    prop_oneof![
        6 => Just(LeaseState::Held),
        1 => Just(LeaseState::Kept),
        1 => Just(LeaseState::Gone),
    ]
}

fn any_fate() -> impl Strategy<Value = CallFate> {
    prop_oneof![
        5 => Just(CallFate::Answered),
        1 => Just(CallFate::AnswerLost),
        1 => Just(CallFate::Late),
        1 => Just(CallFate::Doubled),
    ]
}

fn any_step() -> impl Strategy<Value = BookStep> {
    let pick = || 0usize..6;
    prop_oneof![
        3 => Just(BookStep::Place),
        4 => pick().prop_map(|pick| BookStep::Release { pick }),
        1 => pick().prop_map(|pick| BookStep::StopTask { pick }),
        5 => Just(BookStep::SendOrders),
        8 => any_lease().prop_map(|lease| BookStep::Poll { lease }),
        8 => (pick(), any_fate()).prop_map(|(pick, fate)| BookStep::Call { pick, fate }),
        2 => pick().prop_map(|pick| BookStep::LateCall { pick }),
        3 => (pick(), any::<bool>()).prop_map(|(pick, fails)| BookStep::Finish { pick, fails }),
        3 => Just(BookStep::TakeSnapshot),
        4 => Just(BookStep::DeliverList),
        5 => any::<bool>().prop_map(|is_acknowledged| BookStep::Report { is_acknowledged }),
        1 => Just(BookStep::RestartAgent),
        1 => Just(BookStep::RestartBackend),
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
    fn a_book_starts_once_and_clears_away(steps in vec(any_step(), 1..160)) {
        let mut world = BookWorld::new();
        for step in &steps {
            world.take(step);
        }
        world.finish_all();
    }
}
