//! Large configurations on disks of limited size.

use std::time::{
    Duration,
    Instant, //
};

use roseridge_model::{
    DurationMs,
    QueueKey,
    QueueRule,
    ServiceName,
    ServiceRule,
    SiteConfig, //
};
use roseridge_testutils::{
    cases,
    folder_bytes, //
};
use roseridge_wire::{
    ControlCall,
    ControlReply,
    FlowCall,
    FlowReply, //
};

use crate::control_group::{
    ControlGroup,
    with_limited_disks, //
};

/// The size of a disk, in bytes.
const DISK_BYTES: usize = 24 * 1_048_576;
/// The number of changes, whose entries need about twice the space of a disk.
const CHANGES: u64 = 150;
/// The number of routes in a configuration.
const ROUTES: usize = 1_400;
/// The size of the text of a configuration for each route, in bytes.
const ROUTE_TEXT_BYTES: usize = 200;
/// Maximum time within which a group with enough space accepts a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a change to full disks is given up.
const FULL_DISK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a configuration of a few hundred kilobytes.
fn large_config(version: u64) -> SiteConfig {
    let service = ServiceName::parse("service").expect("a valid name");
    let queue = |route: usize| QueueRule {
        key: QueueKey {
            host: format!("host-{route}.example"),
            prefix: format!("/queue-{route}/"),
        },
        service: service.clone(),
        rank: 1,
        attempt_limit: 2,
        stretch_percent: 300,
        latency_target: DurationMs(1_000),
        answer_limit: DurationMs(3_000),
        open: true,
    };
    SiteConfig {
        version,
        text: format!("{version:ROUTE_TEXT_BYTES$}").repeat(ROUTES),
        queues: (0..ROUTES).map(queue).collect(),
        services: vec![ServiceRule {
            name: service.clone(),
            enforces_capacity: false,
        }],
        customers: Vec::new(),
    }
}

fn flow_call(call: FlowCall) -> ControlCall {
    ControlCall::Flow(Box::new(call))
}

/// Returns whether the group acknowledges the configuration in time. A call that was not run is
/// repeated.
async fn configure(group: &ControlGroup, version: u64, timeout: Duration) -> bool {
    let call = flow_call(FlowCall::Configure(large_config(version)));
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        let remaining = deadline.saturating_duration_since(Instant::now());
        match group.call_within(&call, remaining).await {
            Ok(ControlReply::Flow(FlowReply::Configured { version: found })) => {
                return found == version;
            }
            Ok(other) => panic!("{other:?}"),
            Err(_) => compio::time::sleep(RETRY_INTERVAL).await,
        }
    }
    false
}

/// Waits until the group returns its configuration; returns the version.
async fn read_version(group: &ControlGroup) -> u64 {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let call = flow_call(FlowCall::ReadConfig);
        match group.call_within(&call, remaining).await {
            Ok(ControlReply::Flow(FlowReply::Config { version, .. })) => return version,
            Ok(other) => panic!("{other:?}"),
            Err(error) => assert!(Instant::now() < deadline, "no configuration: {error}"),
        }
        compio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn restart_all(group: &mut ControlGroup) {
    let numbers: Vec<_> = group.disks.keys().copied().collect();
    for number in &numbers {
        group.stop(*number).await;
    }
    for number in &numbers {
        group.restart(*number).await;
    }
}

/// Guards against a log that is compacted after a number of entries, whatever their size: it fills
/// the disk before the first snapshot, and no replica can write again.
#[test]
fn large_configurations_do_not_fill_the_disk() {
    with_limited_disks(1, DISK_BYTES, async |mut group| {
        group.wait_until_ready().await;
        for version in 1..=CHANGES {
            assert!(
                configure(&group, version, CHANGE_TIMEOUT).await,
                "configuration {version} is acknowledged with {} bytes in the folder",
                folder_bytes(&group.data_folder(1)),
            );
        }
        restart_all(&mut group).await;
        assert_eq!(read_version(&group).await, CHANGES);
    });
}

/// Guards against replicas that never write again after the disks of all of them were full at the
/// same time: every later attempt fails although a snapshot would free space.
fn check_full_disks(space_returns: bool) {
    with_limited_disks(3, usize::MAX, async |mut group| {
        group.wait_until_ready().await;
        for version in 1..=30 {
            assert!(configure(&group, version, CHANGE_TIMEOUT).await);
        }
        for (number, disk) in &group.disks {
            disk.set_capacity(folder_bytes(&group.data_folder(*number)));
        }
        let mut acknowledged = 30;
        for version in 31..=40 {
            if !configure(&group, version, FULL_DISK_TIMEOUT).await {
                break;
            }
            acknowledged = version;
        }
        if space_returns {
            for disk in group.disks.values() {
                disk.set_capacity(usize::MAX);
            }
        }
        restart_all(&mut group).await;
        let version = read_version(&group).await;
        assert!(
            version >= acknowledged,
            "configuration {acknowledged} was acknowledged, but {version} is in force"
        );
        assert!(configure(&group, 41, CHANGE_TIMEOUT).await);
        assert_eq!(read_version(&group).await, 41);
    });
}

cases! {
    check_full_disks:
    replicas_write_again_once_full_disks_have_space = true,
    replicas_on_full_disks_free_space_and_write_again = false,
}
