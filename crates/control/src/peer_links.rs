//! Delivery of messages to the other replicas, in order and with one task for each peer.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use roseridge_quorum::{
    MemberId,
    Membership,
    PeerMessage,
    ReplicaId, //
};
use roseridge_wire::RpcLink;

/// Maximum number of queued messages for one peer.
///
/// Further messages are dropped, which Raft tolerates.
const PEER_QUEUE_MESSAGES: usize = 64;
/// Maximum number of messages in one delivery.
const MAX_BATCH_MESSAGES: usize = 16;
/// Time after which a delivery is abandoned and its connection replaced.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The address of another replica and the queue of its delivery task.
#[derive(Debug)]
struct PeerLink {
    address: SocketAddr,
    queue: Sender<PeerMessage>,
}

/// The message queues for the other replicas, by replica number.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    id: MemberId,
    cluster: String,
    links: BTreeMap<ReplicaId, PeerLink>,
}

impl PeerLinks {
    /// Starts a delivery task for each seed. The tasks end when this value is dropped.
    pub(crate) fn start(
        id: MemberId,
        cluster: &str,
        seeds: &BTreeMap<ReplicaId, SocketAddr>,
    ) -> Self {
        let mut links = Self {
            id,
            cluster: cluster.to_owned(),
            links: BTreeMap::new(),
        };
        links.add_seeds(seeds);
        links
    }

    /// Starts delivery tasks for seeds that have none yet, or whose address has changed.
    pub(crate) fn add_seeds(&mut self, seeds: &BTreeMap<ReplicaId, SocketAddr>) {
        for (replica, address) in seeds {
            self.connect(*replica, *address);
        }
    }

    /// Starts delivery tasks for the addresses of the members, which override those of the seeds.
    pub(crate) fn update_members(&mut self, members: &Membership) {
        for (id, record) in members.iter() {
            if let Ok(address) = record.address.parse() {
                self.connect(id.replica, address);
            }
        }
    }

    /// Starts the delivery task for a replica, unless one for this address is running.
    fn connect(&mut self, replica: ReplicaId, address: SocketAddr) {
        let known = self.links.get(&replica);
        if replica == self.id.replica || known.is_some_and(|link| link.address == address) {
            return;
        }
        let (queue, receiver) = async_channel::bounded(PEER_QUEUE_MESSAGES);
        let delivery = deliver(self.id, address, self.cluster.clone(), receiver);
        compio::runtime::spawn(delivery).detach();
        self.links.insert(replica, PeerLink { address, queue });
    }

    /// Queues messages for delivery. A message for a full queue or an unknown replica is dropped.
    pub(crate) fn send(&self, messages: Vec<(MemberId, PeerMessage)>) {
        for (to, message) in messages {
            if let Some(link) = self.links.get(&to.replica) {
                let _ = link.queue.try_send(message);
            }
        }
    }
}

/// Delivers the messages of a queue in batches until the queue is closed.
async fn deliver(
    from: MemberId,
    address: SocketAddr,
    cluster: String,
    queue: Receiver<PeerMessage>,
) {
    let link = RpcLink::new(address, &cluster);
    while let Ok(first) = queue.recv().await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_MESSAGES {
            match queue.try_recv() {
                Ok(message) => batch.push(message),
                Err(_) => break,
            }
        }
        if link.deliver(from, batch, DELIVERY_TIMEOUT).await.is_err() {
            // Raft sends its messages again, and those that queued up meanwhile are outdated.
            while queue.try_recv().is_ok() {}
        }
    }
}
