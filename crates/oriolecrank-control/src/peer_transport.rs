//! Sending side of the messages between control instances, over `POST /v1/peer`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use oriolecrank_consensus::{EntryBody, InstanceId, Membership, MessageBody, PeerMessage};
use oriolecrank_net::intake::ByteLease;
use oriolecrank_net::{ClusterSecret, HttpClient, peer_request};
use oriolecrank_schema::{codec, peer};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};

use crate::control_memory::ControlMemory;
use crate::peer_directory::PeerDirectory;
use crate::peer_sender::PeerSender;

/// HTTP path for batches of peer messages.
pub const PEER_PATH: &str = "/v1/peer";

/// Messages with more data than this are sent on connections of their own, in bytes, so that
/// heartbeats do not wait behind them.
const LARGE_MESSAGE_BYTES: usize = 8 * 1024;

/// Largest number of small messages that wait for one member; further ones are dropped.
const SMALL_QUEUE_LENGTH: usize = 1_024;

/// Largest number of large messages that wait for one member. The replica sends the next one when
/// the reply to the last one has arrived, or has not arrived for a while.
const LARGE_QUEUE_LENGTH: usize = 8;

/// Size at which a batch takes no further message, in bytes; its last message may exceed it.
const FULL_BATCH_BYTES: usize = 64 * 1024;

/// Largest number of concurrent batches of small messages to one member. More than one, so that a
/// batch need not wait for the response to the previous one, which takes 40 ms between regions.
const SMALL_BATCHES_IN_FLIGHT: usize = 4;

/// Largest number of concurrent batches of large messages to one member. They would overtake each
/// other, so that the member misses entries.
const LARGE_BATCHES_IN_FLIGHT: usize = 1;

/// Time limit for the response to a small batch: for its head, and again for its body. Shorter than the minimum election
/// timeout, so that heartbeats move from an unresponsive connection to a new one before the
/// followers start an election.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Slowest transfer of a large batch that is waited for, in bytes per second. A transfer that is cut
/// off starts from zero on the same link, so a large entry would never arrive.
const MIN_TRANSFER_RATE: f64 = 1_000_000.0;

/// Typical size of what a batch contains besides the data of its messages, in bytes.
const SMALL_PARTS_BYTES: usize = 1_024;

/// Largest response body, in bytes; a valid response is empty.
const MAX_RESPONSE_BYTES: usize = 1_024;

/// Sends messages over HTTP in batches, from two bounded queues for each member.
#[derive(Debug)]
pub struct PeerTransport {
    poster: Arc<BatchPoster>,
    runtime: Handle,
    queues: IndexMap<InstanceId, MemberQueues>,
}

/// Queues of the messages to one member.
#[derive(Debug)]
struct MemberQueues {
    small: mpsc::Sender<PeerMessage>,
    large: mpsc::Sender<PeerMessage>,
}

/// Posts batches of messages; shared by all queues.
#[derive(Debug, Clone)]
struct BatchPoster {
    cluster: String,
    /// Address of this instance, to which the receivers send their replies.
    address: SocketAddr,
    client: HttpClient,
    secret: ClusterSecret,
    directory: PeerDirectory,
    /// Counts the batches under way to each member.
    memory: ControlMemory,
}

impl PeerTransport {
    /// Creates a transport. `address` is the listen address of this instance, which the receivers
    /// reply to. Must be called within a tokio runtime.
    pub fn new(
        cluster: String,
        address: SocketAddr,
        client: HttpClient,
        secret: ClusterSecret,
        directory: PeerDirectory,
    ) -> Self {
        let poster = BatchPoster {
            cluster,
            address,
            client,
            secret,
            directory,
            memory: ControlMemory::default(),
        };
        Self {
            poster: Arc::new(poster),
            runtime: Handle::current(),
            queues: IndexMap::new(),
        }
    }

    /// Counts the batches under way in `memory`.
    #[must_use]
    pub fn within(self, memory: ControlMemory) -> Self {
        let poster = BatchPoster {
            memory,
            ..self.poster.as_ref().clone()
        };
        Self {
            poster: Arc::new(poster),
            ..self
        }
    }

    fn queues(&mut self, id: &InstanceId) -> &MemberQueues {
        let (poster, runtime) = (&self.poster, &self.runtime);
        self.queues.entry(id.clone()).or_insert_with(|| {
            let start = |length, in_flight| {
                let (sender, receiver) = mpsc::channel(length);
                let poster = Arc::clone(poster);
                runtime.spawn(poster.run_queue(id.clone(), receiver, in_flight));
                sender
            };
            MemberQueues {
                small: start(SMALL_QUEUE_LENGTH, SMALL_BATCHES_IN_FLIGHT),
                large: start(LARGE_QUEUE_LENGTH, LARGE_BATCHES_IN_FLIGHT),
            }
        })
    }
}

impl PeerSender for PeerTransport {
    fn send(&mut self, messages: Vec<PeerMessage>) {
        for message in messages {
            let to = message.to.clone();
            let queues = self.queues(&to);
            let is_large = message_bytes(&message) > LARGE_MESSAGE_BYTES;
            let queue = if is_large {
                &queues.large
            } else {
                &queues.small
            };
            // A full queue belongs to a member that does not respond; the replica resends what the
            // member lacks once it responds again.
            let _ = queue.try_send(message);
        }
    }

    fn set_members(&mut self, membership: &Membership) {
        self.poster.directory.set_members(membership);
        // An instance that joins has an empty membership at first, but replies to the leader.
        let memory = &self.poster.memory;
        self.queues.retain(|id, _| {
            let is_kept = membership.is_empty() || membership.member(id).is_some();
            if !is_kept {
                memory.forget_batches_to(id);
            }
            is_kept
        });
    }
}

impl BatchPoster {
    /// Sends the messages of one queue until the queue is closed.
    async fn run_queue(
        self: Arc<Self>,
        to: InstanceId,
        mut queue: mpsc::Receiver<PeerMessage>,
        in_flight: usize,
    ) {
        let permits = Arc::new(Semaphore::new(in_flight));
        let budget = self.memory.batches_to(&to);
        while let Some(first) = queue.recv().await {
            let permit = Arc::clone(&permits).acquire_owned().await;
            let batch = take_batch(first, &mut queue);
            let Some(address) = self.directory.address(&to) else {
                continue;
            };
            let mut lease = budget.lease();
            let size = batch.iter().map(message_bytes).sum();
            if lease.resize(size).is_err() {
                tracing::debug!(%to, size, "a batch was dropped: too much is under way to members");
                continue;
            }
            let poster = Arc::clone(&self);
            tokio::spawn(async move {
                poster.post(address, batch, lease).await;
                drop(permit);
            });
        }
    }

    /// Posts a batch; `lease` counts it. A failure is only logged, because the replicas resend what is
    /// needed.
    async fn post(&self, address: SocketAddr, messages: Vec<PeerMessage>, lease: ByteLease) {
        let body = self.encode(messages);
        let transfer_time = Duration::from_secs_f64(body.len() as f64 / MIN_TRANSFER_RATE);
        let request = peer_request(&self.secret, PEER_PATH, body);
        let head_timeout = RESPONSE_TIMEOUT + transfer_time;
        match self.client.send(address, request, head_timeout).await {
            Ok(response) => {
                let read = response.collect(MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT).await;
                if let Err(error) = read {
                    tracing::debug!(%address, %error, "batch of peer messages may be lost");
                }
            }
            Err(error) => tracing::debug!(%address, %error, "batch of peer messages may be lost"),
        }
        drop(lease);
    }

    fn encode(&self, messages: Vec<PeerMessage>) -> Bytes {
        let size: usize = messages.iter().map(message_bytes).sum();
        let batch = peer::PeerBatch {
            cluster: self.cluster.clone(),
            address: self.address.to_string(),
            messages: messages.into_iter().map(Into::into).collect(),
        };
        Bytes::from(codec::encode_sized(&batch, size + SMALL_PARTS_BYTES))
    }
}

fn take_batch(first: PeerMessage, queue: &mut mpsc::Receiver<PeerMessage>) -> Vec<PeerMessage> {
    let mut size = message_bytes(&first);
    let mut batch = vec![first];
    while size < FULL_BATCH_BYTES
        && let Ok(message) = queue.try_recv()
    {
        size += message_bytes(&message);
        batch.push(message);
    }
    batch
}

/// Size of the parts of a message that can be large, in bytes.
fn message_bytes(message: &PeerMessage) -> usize {
    match &message.body {
        MessageBody::Append(request) => {
            let data = request.entries.iter().map(|entry| match &entry.body {
                EntryBody::Data(data) => data.len(),
                EntryBody::Noop | EntryBody::Membership(_) => 0,
            });
            data.sum()
        }
        MessageBody::EntryChunk(chunk) => chunk.data.len(),
        MessageBody::Snapshot(chunk) => chunk.data.len(),
        _ => 0,
    }
}
