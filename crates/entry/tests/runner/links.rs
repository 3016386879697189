//! Internal links over real sockets: peers of other clusters and versions are refused.

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

/// The time that an internal call may take.
const LIMIT: Duration = Duration::from_secs(10);
/// How often a log line is waited for, with a pause each time.
const TRIES: u32 = 200;
const PAUSE: Duration = Duration::from_millis(50);

#[test]
fn link_of_another_cluster_is_refused_and_the_own_is_not() {
    log_capture::capture();
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for("/readyz", "ready").await;
        let stranger = RpcLink::new(entry.internal, "another");
        let refused = stranger.control(read_revision(), LIMIT).await;
        let refusal = match refused {
            Err(LinkError::LinkRefused { source, .. }) => source,
            other => panic!("{other:?}"),
        };
        assert_eq!(refusal, LinkRefusal::ClusterMismatch);
        wait_for_line("RR0010 link refused: the peer belongs to another cluster").await;
        let friend = RpcLink::new(entry.internal, CLUSTER);
        friend
            .control(read_revision(), LIMIT)
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
        entry.wait_for("/readyz", "ready").await;
        let hello = hello_of_version(PROTOCOL_VERSION + 1).await;
        let mut stream = TcpStream::connect(entry.internal).await.expect("a link");
        let BufResult(sent, _) = stream.write_all(hello).await;
        sent.expect("the hello is sent");
        let version = PROTOCOL_VERSION + 1;
        wait_for_line(&format!(
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

/// Records the hello of a link and puts another version into it.
async fn hello_of_version(version: u32) -> Vec<u8> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a free port");
    let link = RpcLink::new(listener.local_addr().expect("an address"), CLUSTER);
    compio::runtime::spawn(async move {
        // Nobody answers: only the hello is of interest.
        let _ = link.control(read_revision(), LIMIT).await;
    })
    .detach();
    let (mut stream, _) = listener.accept().await.expect("a link");
    let one_byte = |version: u32| u8::try_from(version).expect("a small version");
    let mut cluster = vec![one_byte(CLUSTER.len() as u32)];
    cluster.extend_from_slice(CLUSTER.as_bytes());
    let mut hello = Vec::new();
    loop {
        let BufResult(read, piece) = stream.read(vec![0; 1_024]).await;
        hello.extend_from_slice(&piece[..read.expect("the hello arrives")]);
        let found = hello.windows(cluster.len()).position(|w| w == cluster);
        match found.map(|at| at + cluster.len()) {
            Some(at) if at < hello.len() => {
                assert_eq!(hello[at], one_byte(PROTOCOL_VERSION));
                hello[at] = one_byte(version);
                return hello;
            }
            _ => {}
        }
    }
}

async fn wait_for_line(line: &str) {
    for _ in 0..TRIES {
        if log_capture::has_line(line) {
            return;
        }
        compio::time::sleep(PAUSE).await;
    }
    panic!("no line {line:?} was logged");
}
