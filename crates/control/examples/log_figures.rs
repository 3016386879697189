//! Benchmarks the replicated log: commit rate, latency, CPU time, network bytes, memory and
//! restarts.
//!
//! Run it with `cargo run --release -p roseridge-control --example log_figures`.

use std::{
    error::Error,
    fs,
    path::Path,
    time::Instant, //
};

use hdrhistogram::Histogram;
use roseridge_ledger::{
    LedgerChange,
    LedgerCommand,
    LedgerState,
    TemplateChange, //
};
use roseridge_model::{
    ConfigRevision,
    RequestKey,
    UnixMillis, //
};
use roseridge_quorum::{
    DiskId,
    MemberId,
    PeerMessage,
    ReplicaCore,
    ReplicaId,
    ReplicaSetup,
    ReplicaTiming, //
};
use roseridge_settings::default_templates;
use roseridge_store::{
    ReplicaStore,
    StoreOptions, //
};

/// Payload of one command, in bytes.
const COMMAND_BYTES: usize = 256;
/// Number of batches that are committed in each benchmark.
const BATCHES: usize = 1_000;
/// Number of replicas in the group.
const REPLICAS: u64 = 3;

/// A replica with its store and the number of entries that it has applied.
struct MeasuredReplica {
    core: ReplicaCore,
    store: ReplicaStore,
    applied: u64,
}

fn open(folder: &Path, replica: u64) -> Result<MeasuredReplica, Box<dyn Error>> {
    let replica = ReplicaId(replica);
    let options = StoreOptions::new("figures", replica, DiskId(replica.0 + 100));
    let (store, opened) = ReplicaStore::open(&folder.join(replica.to_string()), options)?;
    let setup = ReplicaSetup {
        id: opened.id,
        address: replica.to_string(),
        seeds: (1..=REPLICAS).map(ReplicaId).collect(),
        can_bootstrap: true,
        timing: ReplicaTiming::default(),
        random_seed: replica.0,
    };
    let core = ReplicaCore::new(setup, opened.stored, 0);
    Ok(MeasuredReplica {
        core,
        store,
        applied: 0,
    })
}

/// Performs writes and delivers messages until none are left. Returns the total size of the
/// messages.
fn run_until_idle(replicas: &mut [MeasuredReplica]) -> Result<usize, Box<dyn Error>> {
    let mut bytes = 0;
    loop {
        let mut messages: Vec<(MemberId, MemberId, PeerMessage)> = Vec::new();
        for replica in replicas.iter_mut() {
            if let Some(write) = replica.core.take_write() {
                replica.store.write(&write)?;
                replica.core.complete_write(write.number);
            }
            replica.applied += replica.core.take_committed().len() as u64;
            let from = replica.core.id();
            let outgoing = replica.core.take_messages();
            messages.extend(
                outgoing
                    .into_iter()
                    .map(|(to, message)| (from, to, message)),
            );
        }
        if messages.is_empty() {
            return Ok(bytes);
        }
        for (from, to, message) in messages {
            bytes += postcard::to_stdvec(&message)?.len();
            let mut others = replicas.iter_mut();
            if let Some(other) = others.find(|r| r.core.id().replica == to.replica) {
                other.core.receive(from, message);
            }
        }
    }
}

/// Measures sequential commits of batches.
///
/// The replicas sync their writes to one disk and exchange messages in memory.
fn measure_commits(batch: usize) -> Result<(), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let replicas = (1..=REPLICAS).map(|n| open(folder.path(), n));
    let mut replicas = replicas.collect::<Result<Vec<_>, _>>()?;
    let mut now_ms = 0;
    while !replicas[0].core.can_serve() {
        now_ms += 20;
        replicas.iter_mut().for_each(|r| r.core.tick(now_ms));
        run_until_idle(&mut replicas)?;
    }
    let mut times = Histogram::<u64>::new(3)?;
    let (mut sent_bytes, started, cpu) = (0, Instant::now(), cpu_ticks()?);
    for _ in 0..BATCHES {
        let batch_start = Instant::now();
        for _ in 0..batch {
            replicas[0].core.propose(vec![7; COMMAND_BYTES])?;
        }
        sent_bytes += run_until_idle(&mut replicas)?;
        times.record(u64::try_from(batch_start.elapsed().as_micros())?)?;
    }
    let entries = (BATCHES * batch) as f64;
    let seconds = started.elapsed().as_secs_f64();
    // The kernel counts 100 ticks per second.
    let cpu_us = (cpu_ticks()? - cpu) as f64 * 10_000.0;
    println!(
        "batch {batch}: {:.0} commits/s, latency median {} us, p99 {} us, {:.1} us of CPU time \
         and {:.0} bytes sent per entry and replica",
        entries / seconds,
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        cpu_us / entries / REPLICAS as f64,
        sent_bytes as f64 / entries / REPLICAS as f64,
    );
    Ok(())
}

/// Returns the CPU time of this process, in kernel ticks.
fn cpu_ticks() -> Result<u64, Box<dyn Error>> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let mut fields = fields.split_whitespace().skip(11);
    let mut next = || fields.next().unwrap_or_default().parse::<u64>();
    Ok(next()? + next()?)
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1));
    Ok(kib.unwrap_or_default().parse::<u64>()? * 1_024)
}

fn change(base: u64) -> Result<LedgerCommand, Box<dyn Error>> {
    let mut templates = default_templates().into_iter();
    let template = templates.next().ok_or("there is no default template")?;
    let change = TemplateChange {
        request: RequestKey::parse(&format!("change-{base}")).map_err(|e| e.to_string())?,
        base: ConfigRevision(base),
        template,
    };
    Ok(LedgerCommand {
        at: UnixMillis(base),
        change: LedgerChange::ChangeTemplate(change),
    })
}

/// Measures the restart of a single replica after a number of template changes.
fn measure_restart(changes: u64) -> Result<(), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let resident_before = resident_bytes()?;
    let (mut core, mut store, _) = open_single(folder.path())?;
    let mut ledger = LedgerState::default();
    let mut proposed = 0;
    let mut now_ms = 0;
    while ledger.revision.0 < changes {
        now_ms += 10;
        core.tick(now_ms);
        while core.can_serve() && proposed < changes && proposed < ledger.revision.0 + 64 {
            core.propose(postcard::to_stdvec(&change(proposed)?)?)?;
            proposed += 1;
        }
        if let Some(write) = core.take_write() {
            store.write(&write)?;
            core.complete_write(write.number);
        }
        for entry in core.take_committed() {
            if let roseridge_quorum::EntryBody::Command(payload) = entry.body {
                ledger.apply(entry.index.0, postcard::from_bytes(&payload)?);
            }
        }
        if core.should_compact() {
            core.compact(postcard::to_stdvec(&ledger)?);
        }
    }
    let resident_growth = resident_bytes()?.saturating_sub(resident_before);
    let state = postcard::to_stdvec(&ledger)?.len();
    drop((core, store));
    let size = folder_bytes(folder.path())?;
    let started_at = Instant::now();
    let (mut core, _, entries) = open_single(folder.path())?;
    if let Some(snapshot) = core.take_restore() {
        let restored: LedgerState = postcard::from_bytes(&snapshot.state)?;
        assert!(
            restored.revision.0 <= changes,
            "the snapshot is no newer than the log"
        );
    }
    println!(
        "{changes} changes: folder {size} bytes, state {state} bytes, restart {} us with {entries} \
         entries after the snapshot, resident memory grew by {resident_growth} bytes",
        started_at.elapsed().as_micros(),
    );
    Ok(())
}

fn open_single(folder: &Path) -> Result<(ReplicaCore, ReplicaStore, usize), Box<dyn Error>> {
    let options = StoreOptions::new("figures", ReplicaId(1), DiskId(101));
    let (store, opened) = ReplicaStore::open(folder, options)?;
    let entries = opened.stored.log.iter().count();
    let setup = ReplicaSetup {
        id: opened.id,
        address: String::new(),
        seeds: [ReplicaId(1)].into(),
        can_bootstrap: true,
        timing: ReplicaTiming::default(),
        random_seed: 1,
    };
    Ok((ReplicaCore::new(setup, opened.stored, 0), store, entries))
}

fn folder_bytes(folder: &Path) -> Result<u64, Box<dyn Error>> {
    let mut bytes = 0;
    for file in fs::read_dir(folder)? {
        bytes += file?.metadata()?.len();
    }
    Ok(bytes)
}

fn main() -> Result<(), Box<dyn Error>> {
    for batch in [1, 16, 64] {
        measure_commits(batch)?;
    }
    for changes in [1_000, 10_000] {
        measure_restart(changes)?;
    }
    Ok(())
}
