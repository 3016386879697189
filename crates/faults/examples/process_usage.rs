//! Measures threads, file descriptors, memory and processor time of the real programs, idle and
//! under load.
//!
//! Build the programs first with `cargo build --release`, then run it with `cargo run --release -p
//! roseridge-faults --example process_usage`. A run takes about eight minutes.

use std::{
    fmt::Write as _,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use roseridge_faults::{
    CallerClient,
    CallerRequest,
    LineFit,
    ProcessUsage,
    RequestOutcome,
    process_usage,
    token_for, //
};
use roseridge_settings::TokenHash;

/// The number of entries.
const ENTRIES: usize = 3;
/// The number of agents, each with a fake backend server.
const AGENTS: usize = 4;
/// The interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(5);
/// The number of samples in each phase.
const SAMPLES_PER_PHASE: usize = 24;
/// The number of samples at the start of a phase that are excluded from the memory growth.
const WARM_UP_SAMPLES: usize = 6;
/// The interval between two submissions of the load.
const JOB_INTERVAL: Duration = Duration::from_millis(100);

/// A running program; it is killed when this value is dropped.
struct RunningProgram {
    name: String,
    child: Child,
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        // The kill fails if the program has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(name: String, program: &str, arguments: &[String]) -> RunningProgram {
    let path = PathBuf::from("target/release").join(program);
    let child = Command::new(path)
        .args(arguments)
        .env("RUST_LOG", "error")
        .stdout(Stdio::null())
        .spawn()
        .expect("the program has been built");
    RunningProgram { name, child }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("a listener has an address")
}

/// Returns the sections of the settings that define the tokens.
fn tokens() -> String {
    let mut text = String::new();
    let kinds = [
        ("customers", "tuglink"),
        ("customers", "benali"),
        ("operators", "operator"),
    ];
    for (kind, name) in kinds {
        let hash = TokenHash::new(name, &token_for(name));
        let _ = write!(
            text,
            "[[{kind}]]\nname = \"{name}\"\ntoken = {{ salt = \"{}\", sha256 = \"{}\" }}\n",
            hash.salt, hash.sha256
        );
    }
    text
}

/// The addresses of one entry: for callers, for operators and internal.
type EntryAddresses = [SocketAddr; 3];

/// Writes the settings file of each entry and agent.
fn write_settings(folder: &Path, entries: &[EntryAddresses], agents: &[SocketAddr]) {
    let mut replicas = String::new();
    for (id, addresses) in (1..).zip(entries) {
        let _ = write!(
            replicas,
            "[[replicas]]\nid = {id}\naddress = \"{}\"\n",
            addresses[2]
        );
    }
    for (id, [callers, operators, internal]) in (1..).zip(entries) {
        let text = format!(
            "[instance]\nname = \"entry-{id}\"\ncluster = \"usage\"\ndomain = \"domain-{id}\"\n\
             [listen]\ncallers = \"{callers}\"\noperators = \"{operators}\"\n\
             internal = \"{internal}\"\n\
             [control]\nreplica = {id}\ndata_folder = \"{}\"\n{replicas}{}",
            folder.join(format!("data-{id}")).display(),
            tokens()
        );
        std::fs::write(folder.join(format!("entry-{id}.toml")), text)
            .expect("the settings file can be written");
    }
    let relays: Vec<_> = entries
        .iter()
        .map(|addresses| format!("\"{}\"", addresses[2]))
        .collect();
    for (id, listen) in (1..).zip(agents) {
        let text = format!(
            "[instance]\nname = \"agent-{id}\"\ncluster = \"usage\"\ndomain = \"domain-1\"\n\
             [worker]\nname = \"worker-{id}\"\nlisten = \"{listen}\"\nrelays = [{}]\n",
            relays.join(", ")
        );
        std::fs::write(folder.join(format!("agent-{id}.toml")), text)
            .expect("the settings file can be written");
    }
}

/// Starts the entries, the agents and a fake backend server for each agent.
fn start_programs(
    folder: &Path,
    entries: &[EntryAddresses],
    agents: &[SocketAddr],
) -> Vec<RunningProgram> {
    let settings = |name: &str| folder.join(format!("{name}.toml")).display().to_string();
    let mut programs = Vec::new();
    for id in 1..=entries.len() {
        let name = format!("entry-{id}");
        let arguments = ["serve".to_owned(), "--settings".to_owned(), settings(&name)];
        programs.push(start(name, "roseridge", &arguments));
    }
    for id in 1..=agents.len() {
        let name = format!("agent-{id}");
        let arguments = ["--settings".to_owned(), settings(&name)];
        programs.push(start(name, "roseridge-agent", &arguments));
    }
    for (id, agent) in (1..).zip(agents) {
        let arguments = ["fake".to_owned(), "--agent".to_owned(), agent.to_string()];
        programs.push(start(format!("fake-{id}"), "roseridge", &arguments));
    }
    programs
}

/// Samples all programs during a phase and prints the resource usage of each.
async fn sample_phase(phase: &str, programs: &[RunningProgram]) {
    let started = Instant::now();
    let mut samples: Vec<Vec<(f64, ProcessUsage)>> = vec![Vec::new(); programs.len()];
    for _ in 0..SAMPLES_PER_PHASE {
        compio::time::sleep(SAMPLE_INTERVAL).await;
        let elapsed_s = started.elapsed().as_secs_f64();
        for (program, samples) in programs.iter().zip(&mut samples) {
            samples.push((elapsed_s, process_usage(program.child.id())));
        }
    }
    println!("-- {phase}, {:.0} s", started.elapsed().as_secs_f64());
    for (program, samples) in programs.iter().zip(&samples) {
        let (first, last) = (samples[0], samples[samples.len() - 1]);
        let points: Vec<_> = samples[WARM_UP_SAMPLES..]
            .iter()
            .map(|(elapsed_s, usage)| (*elapsed_s, usage.anonymous_kib as f64))
            .collect();
        let growth = LineFit::from_points(&points).slope * 60.0;
        let share = (last.1.cpu_seconds - first.1.cpu_seconds) / (last.0 - first.0);
        println!(
            "{}: threads {} -> {}, files {} -> {}, resident {} -> {} KiB, anonymous {} -> {} KiB, \
             growth {growth:.1} KiB a minute, cpu {:.2} %",
            program.name,
            first.1.threads,
            last.1.threads,
            first.1.open_files,
            last.1.open_files,
            first.1.resident_kib,
            last.1.resident_kib,
            first.1.anonymous_kib,
            last.1.anonymous_kib,
            100.0 * share,
        );
    }
}

/// Submits jobs at a fixed interval until the deadline; returns the number of jobs that completed.
async fn submit_load(caller: CallerClient, name: String, deadline: Instant) -> usize {
    let mut submissions = Vec::new();
    let mut number = 0;
    while Instant::now() < deadline {
        let request = CallerRequest::new("tuglink", "replan", format!("{name}-{number}"));
        let caller = caller.clone();
        submissions.push(compio::runtime::spawn(async move {
            caller.submit_until_final(number, request).await
        }));
        number += 1;
        compio::time::sleep(JOB_INTERVAL).await;
    }
    let ended = futures::future::join_all(submissions)
        .await
        .into_iter()
        .flatten();
    ended
        .filter(|record| record.outcome == RequestOutcome::Done)
        .count()
}

async fn measure() {
    let folder = tempfile::tempdir().expect("the temporary folder can be created");
    let entries: Vec<EntryAddresses> = (0..ENTRIES)
        .map(|_| [free_address(), free_address(), free_address()])
        .collect();
    let agents: Vec<_> = (0..AGENTS).map(|_| free_address()).collect();
    write_settings(folder.path(), &entries, &agents);
    let programs = start_programs(folder.path(), &entries, &agents);
    let addresses_of = |kind: usize| {
        entries
            .iter()
            .map(|addresses| addresses[kind])
            .collect::<Vec<_>>()
    };
    let operator = CallerClient::new(addresses_of(1), token_for("operator"));
    operator.wait_until_ready(AGENTS).await;
    sample_phase("at rest", &programs).await;
    for phase in ["under load", "under load again"] {
        let caller = CallerClient::new(addresses_of(0), token_for("tuglink"));
        let span = SAMPLE_INTERVAL * u32::try_from(SAMPLES_PER_PHASE).unwrap_or(u32::MAX);
        let deadline = Instant::now() + span;
        let load = compio::runtime::spawn(submit_load(caller, phase.replace(' ', "-"), deadline));
        sample_phase(phase, &programs).await;
        let done = load.await.unwrap_or_default();
        println!("jobs done {phase}: {done}");
    }
    sample_phase("at rest again", &programs).await;
}

fn main() {
    roseridge_wire::block_on(measure()).expect("an event loop can be created");
}
