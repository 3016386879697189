//! A fault in each phase of a gang that may run at most once.

use roseridge_ledger::LedgerChange;
use roseridge_model::{
    IncarnationId,
    JobId,
    TaskId,
    TaskPhase,
    TaskStatus, //
};
use roseridge_testutils::cases;

use crate::{
    ledger_simulation::LedgerSimulation,
    samples,
    simulation_step::SimulationStep, //
};

const JOB: JobId = JobId(1);

/// How far the gang has come when the fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GangPhase {
    Placed,
    OneHeld,
    Released,
    OneStarted,
    Running,
}

/// What strikes the agent of the first member.
#[derive(Debug, Clone, Copy)]
enum AgentFault {
    /// It is restarted and finds its tasks.
    Restart,
    /// It is restarted together with its backend server.
    RestartWithoutTasks,
    /// Its worker is lost.
    Loss,
    /// The release never reaches it, and its lease runs out.
    ReleaseLost,
    /// The leader is replaced; what is not in the ledger is gone.
    NewLeader,
}

/// The workers of the two members: their tasks take more than half of a worker each.
fn places(simulation: &LedgerSimulation) -> [usize; 2] {
    let task = |member| TaskId {
        job: JOB,
        attempt: roseridge_model::AttemptNumber(1),
        member,
    };
    [0, 1].map(|member| {
        let holds = |n: &usize| {
            let record = &simulation.ledger.workers[&samples::worker(*n)];
            record.tasks.contains(&task(member))
        };
        (0..3).find(holds).expect("the member is placed")
    })
}

fn step(simulation: &mut LedgerSimulation, worker: usize) {
    simulation.take(&SimulationStep::FollowOrders { worker });
}

fn report(simulation: &mut LedgerSimulation, worker: usize) {
    let leaving = false;
    simulation.take(&SimulationStep::Report { worker, leaving });
    simulation.take(&SimulationStep::Deliver { pick: 0 });
}

/// Brings a gang of two, on two workers, to a phase.
fn bring_to(phase: GangPhase) -> (LedgerSimulation, [usize; 2]) {
    let mut simulation = LedgerSimulation::new();
    simulation.submit_spread();
    simulation.take(&SimulationStep::Decide);
    let [first, second] = places(&simulation);
    assert_ne!(first, second, "the members lie on two workers");
    if phase >= GangPhase::OneHeld {
        step(&mut simulation, first);
        report(&mut simulation, first);
    }
    if phase >= GangPhase::Released {
        step(&mut simulation, second);
        report(&mut simulation, second);
        assert_eq!(simulation.state(JOB), "running");
    }
    if phase >= GangPhase::OneStarted {
        step(&mut simulation, first);
    }
    if phase >= GangPhase::Running {
        step(&mut simulation, second);
    }
    (simulation, [first, second])
}

fn strike(simulation: &mut LedgerSimulation, worker: usize, fault: AgentFault) {
    let restart = |loses_tasks| SimulationStep::RestartAgent {
        worker,
        loses_tasks,
    };
    match fault {
        AgentFault::Restart => simulation.take(&restart(false)),
        AgentFault::RestartWithoutTasks => simulation.take(&restart(true)),
        AgentFault::Loss => simulation.take(&SimulationStep::LoseWorker { worker }),
        AgentFault::ReleaseLost => {
            // The other member starts; this one stops by its own clock before it is given up.
            simulation.synchronize_except(worker);
            simulation.take(&SimulationStep::LoseWorker { worker });
        }
        AgentFault::NewLeader => simulation.take(&SimulationStep::ReloadSnapshot),
    }
}

/// Checks what the job comes to; the world checks that nothing starts twice or in part.
fn check((phase, fault, expected): (GangPhase, AgentFault, &str)) {
    let (mut simulation, [first, _]) = bring_to(phase);
    strike(&mut simulation, first, fault);
    simulation.drain();
    assert_eq!(simulation.state(JOB), expected);
}

cases! {
    check:
    placed_then_agent_restarts = (GangPhase::Placed, AgentFault::Restart, "done"),
    placed_then_worker_is_lost = (GangPhase::Placed, AgentFault::Loss, "done"),
    placed_then_leader_is_replaced = (GangPhase::Placed, AgentFault::NewLeader, "done"),
    held_then_agent_restarts = (GangPhase::OneHeld, AgentFault::Restart, "done"),
    held_then_backend_restarts = (GangPhase::OneHeld, AgentFault::RestartWithoutTasks, "done"),
    held_then_worker_is_lost = (GangPhase::OneHeld, AgentFault::Loss, "done"),
    held_then_leader_is_replaced = (GangPhase::OneHeld, AgentFault::NewLeader, "done"),
    released_then_agent_restarts = (GangPhase::Released, AgentFault::Restart, "done"),
    released_then_backend_restarts =
        (GangPhase::Released, AgentFault::RestartWithoutTasks, "unknown"),
    released_then_worker_is_lost = (GangPhase::Released, AgentFault::Loss, "unknown"),
    released_then_release_is_lost = (GangPhase::Released, AgentFault::ReleaseLost, "unknown"),
    released_then_leader_is_replaced = (GangPhase::Released, AgentFault::NewLeader, "done"),
    one_started_then_agent_restarts = (GangPhase::OneStarted, AgentFault::Restart, "done"),
    one_started_then_worker_is_lost = (GangPhase::OneStarted, AgentFault::Loss, "unknown"),
    one_started_then_leader_is_replaced = (GangPhase::OneStarted, AgentFault::NewLeader, "done"),
    running_then_agent_restarts = (GangPhase::Running, AgentFault::Restart, "done"),
    running_then_backend_restarts =
        (GangPhase::Running, AgentFault::RestartWithoutTasks, "unknown"),
    running_then_worker_is_lost = (GangPhase::Running, AgentFault::Loss, "unknown"),
    running_then_leader_is_replaced = (GangPhase::Running, AgentFault::NewLeader, "done"),
}

/// A hold that is reported after the gang was given up releases nothing.
#[test]
fn a_prepare_that_is_answered_after_the_abort_releases_nothing() {
    let (mut simulation, [first, second]) = bring_to(GangPhase::OneHeld);
    simulation.take(&SimulationStep::Cancel { job: 0 });
    let name = samples::worker(second);
    let record = &simulation.ledger.workers[&name];
    let task = *record.tasks.first().expect("the second member");
    let incarnation: IncarnationId = record.incarnation;
    simulation.apply(LedgerChange::Report {
        worker: name,
        incarnation,
        statuses: vec![TaskStatus {
            task,
            phase: TaskPhase::Held,
        }],
        leaving: false,
    });
    assert_eq!(simulation.state(JOB), "stopping");
    for worker in [first, second] {
        step(&mut simulation, worker);
        report(&mut simulation, worker);
    }
    assert_eq!(simulation.state(JOB), "not run");
}

/// A wave of cancellations: what has not started is not run, what has is stopped and says so.
#[test]
fn a_wave_of_cancellations_tells_apart_what_ran() {
    let (mut simulation, _) = bring_to(GangPhase::Running);
    for key in 1..90 {
        simulation.take(&SimulationStep::Submit {
            key,
            class: 0,
            members: 1,
        });
    }
    simulation.take(&SimulationStep::Decide);
    for job in 0..90 {
        simulation.take(&SimulationStep::Cancel { job });
    }
    simulation.synchronize_agents();
    assert_eq!(simulation.state(JOB), "cancelled");
    for job in 2..=90 {
        assert_eq!(simulation.state(JobId(job)), "not run");
    }
}
