//! Prints the encoded sizes of reports, renewals and watches, without the headers of lower layers.
//!
//!     cargo run --release --example report_bytes -- AGENTS

use std::{
    env,
    error::Error, //
};

use roseridge_model::{
    ConfigRevision,
    IncarnationId,
    WorkerName, //
};
use roseridge_wire::{
    AgentOrders,
    AgentReport,
    AttachedAgent,
    AttachedChange,
    ControlCall,
    RelayReport,
    RelayRequest, //
};
use serde::Serialize;

fn main() -> Result<(), Box<dyn Error>> {
    let agents: u32 = env::args().nth(1).ok_or("report_bytes AGENTS")?.parse()?;
    let worker = WorkerName::parse("worker-0123")?;
    let incarnation = IncarnationId(u64::MAX / 3);
    let report = AgentReport {
        worker: worker.clone(),
        incarnation,
        sequence: 100_000,
        known_orders: 5_000_000,
        known_revision: ConfigRevision(100_000),
        announce: None,
        statuses: Vec::new(),
        leaving: false,
    };
    let orders = AgentOrders {
        incarnation,
        renewed: 100_000,
        known: true,
        fenced: false,
        orders_index: 5_000_000,
        orders: None,
        revision: ConfigRevision(100_000),
    };
    let attached = |slot| AttachedAgent {
        slot,
        worker: worker.clone(),
        incarnation,
        known_orders: 5_000_000,
        known_revision: ConfigRevision(100_000),
    };
    let change = |whole, attached| AttachedChange {
        number: 100_000,
        whole,
        attached,
        detached: Vec::new(),
    };
    print_size("report of an idle agent", &report)?;
    print_size("orders for an idle agent", &orders)?;
    print_request_size(
        "renewals of all agents in full",
        RelayRequest::Report {
            reports: vec![report; agents as usize],
            renewals: Vec::new(),
        },
    )?;
    print_request_size(
        "renewals of all agents by slot",
        RelayRequest::Report {
            reports: Vec::new(),
            renewals: (0..agents).map(|slot| (slot, 100_000)).collect(),
        },
    )?;
    let whole = change(true, (0..agents).map(attached).collect());
    print_request_size("watch with all agents", RelayRequest::Watch(whole))?;
    let idle = change(false, Vec::new());
    print_request_size("watch without a change", RelayRequest::Watch(idle))
}

fn print_request_size(name: &str, request: RelayRequest) -> Result<(), Box<dyn Error>> {
    let session = u64::MAX / 3;
    print_size(name, &ControlCall::Relay(RelayReport { session, request }))
}

fn print_size(name: &str, value: &impl Serialize) -> Result<(), Box<dyn Error>> {
    println!("{:>8} bytes: {name}", postcard::to_stdvec(value)?.len());
    Ok(())
}
