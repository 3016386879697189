//! The steps of the ledger simulation.

/// One step of the simulation. `job` and `pick` select one of the existing jobs, tasks or messages
/// by their remainder.
#[derive(Debug, Clone)]
pub(crate) enum SimulationStep {
    Submit {
        key: u8,
        class: usize,
        members: u16,
    },
    Cancel {
        job: u64,
    },
    Decide,
    Preempt {
        job: u64,
    },
    FollowOrders {
        worker: usize,
    },
    Finish {
        worker: usize,
        pick: usize,
        fails: bool,
    },
    Report {
        worker: usize,
        leaving: bool,
    },
    Announce {
        worker: usize,
    },
    Deliver {
        pick: usize,
    },
    Duplicate {
        pick: usize,
    },
    Drop {
        pick: usize,
    },
    RestartAgent {
        worker: usize,
        loses_tasks: bool,
    },
    LoseWorker {
        worker: usize,
    },
    ChangeTemplate {
        once_is_idempotent: bool,
    },
    ReloadSnapshot,
    PassTime {
        millis: u64,
    },
    Expire,
}
