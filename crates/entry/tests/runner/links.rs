//! Internal connections over real sockets: peers of other clusters and versions are refused.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use compio::{
    buf::BufResult,
    io::{
        AsyncRead,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};
use roseridge_model::ConfigRevision;
use roseridge_wire::{
    ControlCall,
    LinkError,
    LinkRefusal,
    PROTOCOL_VERSION,
    RpcLink, //
};

use crate::{
    entry_fixture::{
        CLUSTER,
        EntryFixture,
        run, //
    },
    log_capture,
};

/// The maximum time that an internal call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of polls for a log line, with a pause of [`POLL_INTERVAL`] after each.
const MAX_POLLS: u32 = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[test]
fn link_of_another_cluster_is_refused_and_one_of_the_own_is_not() {
    log_capture::capture();
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let foreign_link = RpcLink::new(entry.internal, "another");
        let result = foreign_link.control(read_revision(), CALL_TIMEOUT).await;
        let refusal = match result {
            Err(LinkError::LinkRefused { source, .. }) => source,
            other => panic!("{other:?}"),
        };
        assert_eq!(refusal, LinkRefusal::ClusterMismatch);
        wait_for_log_line("RR0010 link refused: the peer belongs to another cluster").await;
        let own_link = RpcLink::new(entry.internal, CLUSTER);
        own_link
            .control(read_revision(), CALL_TIMEOUT)
            .await
            .expect("the own cluster is served");
        entry.finish().await;
    });
}

#[test]
fn link_of_another_version_is_refused_with_an_event() {
    log_capture::capture();
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let hello = hello_of_version(PROTOCOL_VERSION + 1).await;
        let mut stream = TcpStream::connect(entry.internal).await.expect("a link");
        let BufResult(sent, _) = stream.write_all(hello).await;
        sent.expect("the hello is sent");
        let version = PROTOCOL_VERSION + 1;
        wait_for_log_line(&format!(
            "RR0010 link refused: the peer speaks version {version}, this process speaks another"
        ))
        .await;
        entry.finish().await;
    });
}

fn read_revision() -> ControlCall {
    ControlCall::ReadRevision {
        entry: "test".to_owned(),
        known: ConfigRevision(0),
    }
}

/// Records the hello message of a link and replaces the version in it.
async fn hello_of_version(version: u32) -> Vec<u8> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a free port");
    let link = RpcLink::new(listener.local_addr().expect("an address"), CLUSTER);
    compio::runtime::spawn(async move {
        // The call gets no reply. Only its hello message is needed.
        let _ = link.control(read_revision(), CALL_TIMEOUT).await;
    })
    .detach();
    let (mut stream, _) = listener.accept().await.expect("a link");
    let one_byte = |version: u32| u8::try_from(version).expect("a small version");
    let mut cluster = vec![one_byte(CLUSTER.len() as u32)];
    cluster.extend_from_slice(CLUSTER.as_bytes());
    let mut hello = Vec::new();
    loop {
        let BufResult(read, chunk) = stream.read(vec![0; 1_024]).await;
        hello.extend_from_slice(&chunk[..read.expect("the hello arrives")]);
        let cluster_start = hello.windows(cluster.len()).position(|w| w == cluster);
        match cluster_start.map(|start| start + cluster.len()) {
            Some(version_index) if version_index < hello.len() => {
                assert_eq!(hello[version_index], one_byte(PROTOCOL_VERSION));
                hello[version_index] = one_byte(version);
                return hello;
            }
            _ => {}
        }
    }
}

async fn wait_for_log_line(line: &str) {
    for _ in 0..MAX_POLLS {
        if log_capture::has_line(line) {
            return;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("no line {line:?} was logged");
}
