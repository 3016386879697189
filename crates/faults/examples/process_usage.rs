//! Measures threads, file descriptors and memory of the real programs, at rest and under load.
//!
//! Build the programs first with `cargo build --release`, then run it with
//! `cargo run --release -p roseridge-faults --example process_usage`. It takes about eight minutes.

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
    RequestEnd,
    process_usage,
    token_of, //
};
use roseridge_settings::TokenHash;

const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// The time between two samples.
const INTERVAL: Duration = Duration::from_secs(5);
/// Samples of each phase.
const SAMPLES: usize = 24;
/// Samples at the beginning of a phase that the growth leaves out.
const WARM_UP: usize = 6;
/// The pause between two jobs of the load.
const JOB_PAUSE: Duration = Duration::from_millis(100);

/// A started program; it is killed when this value is dropped.
struct StartedProgram {
    name: String,
    child: Child,
}

impl Drop for StartedProgram {
    fn drop(&mut self) {
        // A program that is gone needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(name: String, program: &str, arguments: &[String]) -> StartedProgram {
    let path = PathBuf::from("target/release").join(program);
    let child = Command::new(path)
        .args(arguments)
        .env("RUST_LOG", "error")
        .stdout(Stdio::null())
        .spawn()
        .expect("the program is built");
    StartedProgram { name, child }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("a listener has an address")
}

fn tokens() -> String {
    let mut text = String::new();
    let kinds = [
        ("customers", "tuglink"),
        ("customers", "benali"),
        ("operators", "operator"),
    ];
    for (kind, name) in kinds {
        let hash = TokenHash::new(name, &token_of(name));
        let _ = write!(
            text,
            "[[{kind}]]\nname = \"{name}\"\ntoken = {{ salt = \"{}\", sha256 = \"{}\" }}\n",
            hash.salt, hash.sha256
        );
    }
    text
}

/// The addresses of one entry: callers, operators, internal.
type EntryPorts = [SocketAddr; 3];

fn write_settings(folder: &Path, entries: &[EntryPorts], agents: &[SocketAddr]) {
    let mut replicas = String::new();
    for (id, ports) in (1..).zip(entries) {
        let _ = write!(
            replicas,
            "[[replicas]]\nid = {id}\naddress = \"{}\"\n",
            ports[2]
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
        std::fs::write(folder.join(format!("entry-{id}.toml")), text).expect("there is room");
    }
    let relays: Vec<_> = entries
        .iter()
        .map(|ports| format!("\"{}\"", ports[2]))
        .collect();
    for (id, listen) in (1..).zip(agents) {
        let text = format!(
            "[instance]\nname = \"agent-{id}\"\ncluster = \"usage\"\ndomain = \"domain-1\"\n\
             [worker]\nname = \"worker-{id}\"\nlisten = \"{listen}\"\nrelays = [{}]\n",
            relays.join(", ")
        );
        std::fs::write(folder.join(format!("agent-{id}.toml")), text).expect("there is room");
    }
}

fn start_programs(
    folder: &Path,
    entries: &[EntryPorts],
    agents: &[SocketAddr],
) -> Vec<StartedProgram> {
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

/// Takes samples over a phase and prints what each program used.
async fn watch(phase: &str, programs: &[StartedProgram]) {
    let started = Instant::now();
    let mut samples: Vec<Vec<(f64, ProcessUsage)>> = vec![Vec::new(); programs.len()];
    for _ in 0..SAMPLES {
        compio::time::sleep(INTERVAL).await;
        let at = started.elapsed().as_secs_f64();
        for (program, samples) in programs.iter().zip(&mut samples) {
            samples.push((at, process_usage(program.child.id())));
        }
    }
    println!("-- {phase}, {:.0} s", started.elapsed().as_secs_f64());
    for (program, samples) in programs.iter().zip(&samples) {
        let (first, last) = (samples[0], samples[samples.len() - 1]);
        let points: Vec<_> = samples[WARM_UP..]
            .iter()
            .map(|(at, usage)| (*at, usage.anonymous_kib as f64))
            .collect();
        let growth = LineFit::through(&points).slope * 60.0;
        let share = (last.1.seconds - first.1.seconds) / (last.0 - first.0);
        println!(
            "{}: threads {} -> {}, files {} -> {}, resident {} -> {} KiB, anonymous {} -> {} KiB, \
             growth {growth:.1} KiB a minute, cpu {:.2} %",
            program.name,
            first.1.threads,
            last.1.threads,
            first.1.files,
            last.1.files,
            first.1.resident_kib,
            last.1.resident_kib,
            first.1.anonymous_kib,
            last.1.anonymous_kib,
            100.0 * share,
        );
    }
}

/// Submits jobs one after another until the phase is over; returns how many were done.
async fn load(caller: CallerClient, name: String, until: Instant) -> usize {
    let mut asked = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        let request = CallerRequest::new("tuglink", "replan", format!("{name}-{number}"));
        let caller = caller.clone();
        asked.push(compio::runtime::spawn(async move {
            caller.ask(number, request).await
        }));
        number += 1;
        compio::time::sleep(JOB_PAUSE).await;
    }
    let ended = futures::future::join_all(asked).await.into_iter().flatten();
    ended
        .filter(|record| record.end == RequestEnd::Done)
        .count()
}

async fn measure() {
    let folder = tempfile::tempdir().expect("there is a temporary folder");
    let entries: Vec<EntryPorts> = (0..ENTRIES)
        .map(|_| [free_address(), free_address(), free_address()])
        .collect();
    let agents: Vec<_> = (0..AGENTS).map(|_| free_address()).collect();
    write_settings(folder.path(), &entries, &agents);
    let programs = start_programs(folder.path(), &entries, &agents);
    let reach = |port: usize| entries.iter().map(|ports| ports[port]).collect::<Vec<_>>();
    let operator = CallerClient::new(reach(1), token_of("operator"));
    operator.wait_ready(AGENTS).await;
    watch("at rest", &programs).await;
    for phase in ["under load", "under load again"] {
        let caller = CallerClient::new(reach(0), token_of("tuglink"));
        let span = INTERVAL * u32::try_from(SAMPLES).unwrap_or(u32::MAX);
        let until = Instant::now() + span;
        let loading = compio::runtime::spawn(load(caller, phase.replace(' ', "-"), until));
        watch(phase, &programs).await;
        let done = loading.await.unwrap_or_default();
        println!("jobs done {phase}: {done}");
    }
    watch("at rest again", &programs).await;
}

fn main() {
    roseridge_wire::block_on(measure()).expect("there is an event loop");
}
