//! Faults in every phase of a gang that may run at most once.

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

/// The phase of the gang when the fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GangPhase {
    Placed,
    OneHeld,
    Released,
    OneStarted,
    Running,
}

/// The fault that is injected at the agent of the first member.
#[derive(Debug, Clone, Copy)]
enum AgentFault {
    /// The agent restarts and still finds its tasks.
    Restart,
    /// The agent restarts together with its backend server, which loses the tasks.
    RestartWithoutTasks,
    /// The worker is lost.
    Loss,
    /// The release never reaches the agent, and its lease expires.
    ReleaseLost,
    /// The leader is replaced, so that only the state in the ledger remains.
    NewLeader,
}

/// Returns the workers of the two members. They differ, since each member needs more than half of a
/// worker.
fn member_workers(simulation: &LedgerSimulation) -> [usize; 2] {
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

fn follow_orders(simulation: &mut LedgerSimulation, worker: usize) {
    simulation.apply_step(&SimulationStep::FollowOrders { worker });
}

fn report(simulation: &mut LedgerSimulation, worker: usize) {
    let leaving = false;
    simulation.apply_step(&SimulationStep::Report { worker, leaving });
    simulation.apply_step(&SimulationStep::Deliver { pick: 0 });
}

/// Returns a simulation in which a gang of two, on two workers, has reached a phase.
fn simulation_in_phase(phase: GangPhase) -> (LedgerSimulation, [usize; 2]) {
    let mut simulation = LedgerSimulation::new();
    simulation.submit_spread();
    simulation.apply_step(&SimulationStep::Decide);
    let [first, second] = member_workers(&simulation);
    assert_ne!(first, second, "the members are on different workers");
    if phase >= GangPhase::OneHeld {
        follow_orders(&mut simulation, first);
        report(&mut simulation, first);
    }
    if phase >= GangPhase::Released {
        follow_orders(&mut simulation, second);
        report(&mut simulation, second);
        assert_eq!(simulation.state_name(JOB), "running");
    }
    if phase >= GangPhase::OneStarted {
        follow_orders(&mut simulation, first);
    }
    if phase >= GangPhase::Running {
        follow_orders(&mut simulation, second);
    }
    (simulation, [first, second])
}

fn inject_fault(simulation: &mut LedgerSimulation, worker: usize, fault: AgentFault) {
    let restart = |loses_tasks| SimulationStep::RestartAgent {
        worker,
        loses_tasks,
    };
    match fault {
        AgentFault::Restart => simulation.apply_step(&restart(false)),
        AgentFault::RestartWithoutTasks => simulation.apply_step(&restart(true)),
        AgentFault::Loss => simulation.apply_step(&SimulationStep::LoseWorker { worker }),
        AgentFault::ReleaseLost => {
            // The other member starts. The agent of this one stops by its own clock before the
            // leader considers the worker lost.
            simulation.synchronize_except(worker);
            simulation.apply_step(&SimulationStep::LoseWorker { worker });
        }
        AgentFault::NewLeader => simulation.apply_step(&SimulationStep::ReloadSnapshot),
    }
}

/// Checks the outcome of the job; the simulation checks that no gang starts twice or partially.
fn check((phase, fault, expected): (GangPhase, AgentFault, &str)) {
    let (mut simulation, [first, _]) = simulation_in_phase(phase);
    inject_fault(&mut simulation, first, fault);
    simulation.run_to_completion();
    assert_eq!(simulation.state_name(JOB), expected);
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

/// Guards against a gang that starts after its cancellation because the report of its last hold
/// arrives late.
#[test]
fn hold_reported_after_cancellation_does_not_release_gang() {
    let (mut simulation, [first, second]) = simulation_in_phase(GangPhase::OneHeld);
    simulation.apply_step(&SimulationStep::Cancel { job: 0 });
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
    assert_eq!(simulation.state_name(JOB), "stopping");
    for worker in [first, second] {
        follow_orders(&mut simulation, worker);
        report(&mut simulation, worker);
    }
    assert_eq!(simulation.state_name(JOB), "not run");
}

/// Guards against a wrong outcome of cancelled jobs: only a job that had started is "cancelled",
/// every other one is "not run".
#[test]
fn cancelled_job_is_not_run_unless_it_started() {
    let (mut simulation, _) = simulation_in_phase(GangPhase::Running);
    for key in 1..90 {
        simulation.apply_step(&SimulationStep::Submit {
            key,
            class: 0,
            members: 1,
        });
    }
    simulation.apply_step(&SimulationStep::Decide);
    for job in 0..90 {
        simulation.apply_step(&SimulationStep::Cancel { job });
    }
    simulation.synchronize_agents();
    assert_eq!(simulation.state_name(JOB), "cancelled");
    for job in 2..=90 {
        assert_eq!(simulation.state_name(JobId(job)), "not run");
    }
}
