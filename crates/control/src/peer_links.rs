//! Delivery of messages to the other replicas, with two queues for each peer.

use std::{
    cell::Cell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
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
use roseridge_wire::{
    RpcLink,
    transfer_time, //
};

/// Size from which messages are delivered over a connection of their own, in bytes, so that
/// heartbeats and votes don't wait behind them.
const LARGE_MESSAGE_BYTES: usize = 16_384;
/// Maximum number of messages in one queue.
///
/// Further messages are dropped, which Raft tolerates.
const PEER_QUEUE_MESSAGES: usize = 64;
/// Maximum size of the messages that are in one queue or being delivered from it, in bytes. It may be
/// exceeded by a single larger message.
const MAX_PENDING_BYTES: usize = 1_048_576;
/// Maximum number of messages in one delivery.
const MAX_BATCH_MESSAGES: usize = 16;
/// Maximum size of the messages in one delivery, in bytes. A larger message is delivered alone.
const MAX_BATCH_BYTES: usize = 262_144;
/// Time after which a delivery is abandoned and its connection replaced, in addition to the time
/// that a transfer of its size may take.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// A queue of messages for one peer, whose task delivers them in order over its own connection.
#[derive(Debug)]
struct MessageQueue {
    sender: Sender<PeerMessage>,
    /// The size of the messages that are queued or being delivered, in bytes.
    pending_bytes: Rc<Cell<usize>>,
}

impl MessageQueue {
    /// Starts the delivery task, which ends when the queue is dropped.
    fn start(from: MemberId, address: SocketAddr, cluster: &str) -> Self {
        let (sender, receiver) = async_channel::bounded(PEER_QUEUE_MESSAGES);
        let pending_bytes = Rc::new(Cell::new(0));
        let queue = QueueReceiver {
            receiver,
            next: None,
            pending_bytes: Rc::clone(&pending_bytes),
        };
        let link = RpcLink::new(address, cluster);
        compio::runtime::spawn(deliver(from, link, queue)).detach();
        Self {
            sender,
            pending_bytes,
        }
    }

    /// Queues a message, or drops it if there is no room for it.
    fn send(&self, message: PeerMessage) {
        let pending_bytes = self.pending_bytes.get();
        let bytes = pending_bytes + message.size();
        let has_room = pending_bytes == 0 || bytes <= MAX_PENDING_BYTES;
        if has_room && self.sender.try_send(message).is_ok() {
            self.pending_bytes.set(bytes);
        }
    }
}

/// The address of another replica and the queues of messages for it.
#[derive(Debug)]
struct PeerLink {
    address: SocketAddr,
    small: MessageQueue,
    large: MessageQueue,
}

impl PeerLink {
    fn send(&self, message: PeerMessage) {
        match message.size() {
            bytes if bytes >= LARGE_MESSAGE_BYTES => self.large.send(message),
            _ => self.small.send(message),
        }
    }
}

/// The message queues for the other replicas, by replica number.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    id: MemberId,
    cluster: String,
    links: BTreeMap<ReplicaId, PeerLink>,
}

impl PeerLinks {
    /// Starts the delivery tasks for each seed. The tasks end when this value is dropped.
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

    /// Starts the delivery tasks for a replica, unless some for this address are running.
    fn connect(&mut self, replica: ReplicaId, address: SocketAddr) {
        let known = self.links.get(&replica);
        if replica == self.id.replica || known.is_some_and(|link| link.address == address) {
            return;
        }
        let start_queue = || MessageQueue::start(self.id, address, &self.cluster);
        let link = PeerLink {
            address,
            small: start_queue(),
            large: start_queue(),
        };
        self.links.insert(replica, link);
    }

    /// Returns the replicas to which large messages are on their way.
    pub(crate) fn transfer_targets(&self) -> impl Iterator<Item = ReplicaId> {
        let links = self.links.iter();
        let busy = links.filter(|(_, link)| link.large.pending_bytes.get() > 0);
        busy.map(|(replica, _)| *replica)
    }

    /// Queues messages for delivery. A message for a full queue or an unknown replica is dropped.
    pub(crate) fn send(&self, messages: Vec<(MemberId, PeerMessage)>) {
        for (to, message) in messages {
            if let Some(link) = self.links.get(&to.replica) {
                link.send(message);
            }
        }
    }
}

/// The receiving end of a message queue.
struct QueueReceiver {
    receiver: Receiver<PeerMessage>,
    /// The message that did not fit into the previous batch.
    next: Option<PeerMessage>,
    pending_bytes: Rc<Cell<usize>>,
}

impl QueueReceiver {
    /// Waits for messages and returns as many as fit into one delivery, in order, with their size in
    /// bytes; returns `None` when the queue is closed.
    async fn next_batch(&mut self) -> Option<(Vec<PeerMessage>, usize)> {
        let first = match self.next.take() {
            Some(message) => message,
            None => self.receiver.recv().await.ok()?,
        };
        let mut bytes = first.size();
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_MESSAGES {
            match self.receiver.try_recv() {
                Ok(message) if bytes + message.size() > MAX_BATCH_BYTES => {
                    self.next = Some(message);
                    break;
                }
                Ok(message) => {
                    bytes += message.size();
                    batch.push(message);
                }
                Err(_) => break,
            }
        }
        Some((batch, bytes))
    }

    /// Makes room for as many bytes as a finished delivery held.
    fn release(&self, bytes: usize) {
        let pending_bytes = self.pending_bytes.get().saturating_sub(bytes);
        self.pending_bytes.set(pending_bytes);
    }

    /// Drops all queued messages.
    fn clear(&mut self) {
        self.next = None;
        while self.receiver.try_recv().is_ok() {}
        self.pending_bytes.set(0);
    }
}

/// Delivers the messages of a queue in batches until the queue is closed.
async fn deliver(from: MemberId, link: RpcLink, mut queue: QueueReceiver) {
    while let Some((batch, bytes)) = queue.next_batch().await {
        let limit = DELIVERY_TIMEOUT + transfer_time(bytes);
        match link.deliver(from, batch, limit).await {
            Ok(()) => queue.release(bytes),
            // Raft sends its messages again, and those that queued up meanwhile are outdated.
            Err(_) => queue.clear(),
        }
    }
}
