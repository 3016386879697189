//! One task for each peer, which delivers messages in order.

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

/// Messages that wait for one peer; more are dropped, which the protocol allows for.
const PEER_QUEUE: usize = 64;
/// The most messages in one delivery.
const DELIVERY_MESSAGES: usize = 16;
/// The longest time that a delivery may take before its connection is replaced.
const DELIVERY_LIMIT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct PeerLink {
    address: SocketAddr,
    queue: Sender<PeerMessage>,
}

/// The queues towards the other replicas, by their numbers.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    id: MemberId,
    cluster: String,
    links: BTreeMap<ReplicaId, PeerLink>,
}

impl PeerLinks {
    /// Starts the task of each seed; tasks end when this value is dropped.
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
        links.know(seeds);
        links
    }

    /// Starts the tasks of replicas that are not known yet.
    pub(crate) fn know(&mut self, seeds: &BTreeMap<ReplicaId, SocketAddr>) {
        for (replica, address) in seeds {
            self.connect(*replica, *address);
        }
    }

    /// Follows the addresses of the members, which go before those of the seeds.
    pub(crate) fn follow(&mut self, members: &Membership) {
        for (id, record) in members.iter() {
            if let Ok(address) = record.address.parse() {
                self.connect(id.replica, address);
            }
        }
    }

    fn connect(&mut self, replica: ReplicaId, address: SocketAddr) {
        let known = self.links.get(&replica);
        if replica == self.id.replica || known.is_some_and(|link| link.address == address) {
            return;
        }
        let (queue, receiver) = async_channel::bounded(PEER_QUEUE);
        let delivery = deliver(self.id, address, self.cluster.clone(), receiver);
        compio::runtime::spawn(delivery).detach();
        self.links.insert(replica, PeerLink { address, queue });
    }

    /// Queues messages; one for which there is no room is dropped.
    pub(crate) fn send(&self, messages: Vec<(MemberId, PeerMessage)>) {
        for (to, message) in messages {
            if let Some(link) = self.links.get(&to.replica) {
                let _ = link.queue.try_send(message);
            }
        }
    }
}

async fn deliver(
    from: MemberId,
    address: SocketAddr,
    cluster: String,
    queue: Receiver<PeerMessage>,
) {
    let link = RpcLink::new(address, &cluster);
    while let Ok(first) = queue.recv().await {
        let mut batch = vec![first];
        while batch.len() < DELIVERY_MESSAGES {
            match queue.try_recv() {
                Ok(message) => batch.push(message),
                Err(_) => break,
            }
        }
        if link.deliver(from, batch, DELIVERY_LIMIT).await.is_err() {
            // The protocol sends again; what waited meanwhile is out of date.
            while queue.try_recv().is_ok() {}
        }
    }
}
