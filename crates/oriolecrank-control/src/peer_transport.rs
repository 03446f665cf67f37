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

/// Largest number of messages that wait for one member; further ones are dropped.
const PEER_QUEUE_LENGTH: usize = 1_024;

/// Size at which a batch takes no further message, in bytes; its last message may exceed it.
const FULL_BATCH_BYTES: usize = 2 * 1024 * 1024;

/// Largest number of concurrent batches to one member. More than one, so that a batch need not wait
/// for the response to the previous one, which takes 40 ms between regions.
const BATCHES_IN_FLIGHT: usize = 4;

/// Time limit for the response to a small batch: for its head, and again for its body. Shorter than the minimum election
/// timeout, so that heartbeats move from an unresponsive connection to a new one before the
/// followers start an election.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Slowest transfer of a large batch that is waited for, in bytes per second. A transfer that is cut
/// off starts from zero on the same link, so a large entry would never arrive.
const MIN_TRANSFER_RATE: f64 = 1_000_000.0;

/// Largest response body, in bytes; a valid response is empty.
const MAX_RESPONSE_BYTES: usize = 1_024;

/// Sends messages over HTTP in batches, from one bounded queue for each member.
#[derive(Debug)]
pub struct PeerTransport {
    poster: Arc<BatchPoster>,
    runtime: Handle,
    queues: IndexMap<InstanceId, mpsc::Sender<PeerMessage>>,
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

    fn queue(&mut self, id: &InstanceId) -> &mpsc::Sender<PeerMessage> {
        let (poster, runtime) = (&self.poster, &self.runtime);
        self.queues.entry(id.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(PEER_QUEUE_LENGTH);
            runtime.spawn(Arc::clone(poster).run_queue(id.clone(), receiver));
            sender
        })
    }
}

impl PeerSender for PeerTransport {
    fn send(&mut self, messages: Vec<PeerMessage>) {
        for message in messages {
            let to = message.to.clone();
            // A full queue belongs to a member that does not respond; the replica resends what the
            // member lacks once it responds again.
            let _ = self.queue(&to).try_send(message);
        }
    }

    fn set_members(&mut self, membership: &Membership) {
        self.poster.directory.set_members(membership);
        // An instance that joins has an empty membership at first, but replies to the leader.
        self.queues
            .retain(|id, _| membership.is_empty() || membership.member(id).is_some());
    }
}

impl BatchPoster {
    /// Sends the messages of one queue until the queue is closed.
    async fn run_queue(self: Arc<Self>, to: InstanceId, mut queue: mpsc::Receiver<PeerMessage>) {
        let permits = Arc::new(Semaphore::new(BATCHES_IN_FLIGHT));
        let budget = self.memory.batches_to(&to);
        while let Some(first) = queue.recv().await {
            let permit = Arc::clone(&permits).acquire_owned().await;
            let batch = take_batch(first, &mut queue);
            let Some(address) = self.directory.address(&to) else {
                continue;
            };
            let poster = Arc::clone(&self);
            let lease = budget.lease();
            tokio::spawn(async move {
                poster.post(address, batch, lease).await;
                drop(permit);
            });
        }
    }

    /// Posts a batch. A failure is only logged, because the replicas resend what is needed.
    async fn post(&self, address: SocketAddr, messages: Vec<PeerMessage>, mut lease: ByteLease) {
        let batch = peer::PeerBatch {
            cluster: self.cluster.clone(),
            address: self.address.to_string(),
            messages: messages.into_iter().map(Into::into).collect(),
        };
        let body = Bytes::from(codec::encode(&batch));
        // The batch and its encoded form.
        lease.count(2 * body.len());
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
