//! Messages between control instances over `POST /v1/peer`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use oriolecrank_consensus::{EntryBody, InstanceId, Membership, MessageBody, PeerMessage};
use oriolecrank_net::{ClusterSecret, HttpClient, peer_request};
use oriolecrank_schema::{codec, peer};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};

use crate::peer_directory::PeerDirectory;
use crate::peer_sender::PeerSender;

/// Path of peer messages.
pub const PEER_PATH: &str = "/v1/peer";

/// Messages that may wait for one member; more are dropped.
const PEER_QUEUE: usize = 1_024;

/// A batch takes no further message beyond this size, in bytes.
const BATCH_BYTES: usize = 2 * 1024 * 1024;

/// Batches on their way to one member at the same time. More than one, so that a batch does not wait
/// for the answer to the one before, which takes 40 ms between regions.
const BATCHES_IN_FLIGHT: usize = 4;

/// Longest wait for an answer. Shorter than the minimum election timeout, so that heartbeats move to
/// a new connection before a silent one costs the leader its followers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest answer body, in bytes; answers are empty.
const MAX_ANSWER_BYTES: usize = 1_024;

/// Sends messages over HTTP, in batches and with one bounded queue for each member.
#[derive(Debug)]
pub struct PeerTransport {
    line: Arc<PeerLine>,
    runtime: Handle,
    queues: IndexMap<InstanceId, mpsc::Sender<PeerMessage>>,
}

/// What all queues share.
#[derive(Debug)]
struct PeerLine {
    cluster: String,
    /// Own address, for answers.
    address: SocketAddr,
    client: HttpClient,
    secret: ClusterSecret,
    directory: PeerDirectory,
}

impl PeerTransport {
    /// A transport that sends from the given address. Must be called within a tokio runtime.
    pub fn new(
        cluster: String,
        address: SocketAddr,
        client: HttpClient,
        secret: ClusterSecret,
        directory: PeerDirectory,
    ) -> Self {
        let line = PeerLine {
            cluster,
            address,
            client,
            secret,
            directory,
        };
        Self {
            line: Arc::new(line),
            runtime: Handle::current(),
            queues: IndexMap::new(),
        }
    }

    fn queue(&mut self, id: &InstanceId) -> &mpsc::Sender<PeerMessage> {
        let (line, runtime) = (&self.line, &self.runtime);
        self.queues.entry(id.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(PEER_QUEUE);
            runtime.spawn(Arc::clone(line).run_queue(id.clone(), receiver));
            sender
        })
    }
}

impl PeerSender for PeerTransport {
    fn send(&mut self, messages: Vec<PeerMessage>) {
        for message in messages {
            let to = message.to.clone();
            // A full queue belongs to a member that does not answer; it is caught up later.
            let _ = self.queue(&to).try_send(message);
        }
    }

    fn set_members(&mut self, membership: &Membership) {
        self.line.directory.set_members(membership);
        self.queues
            .retain(|id, _| membership.is_empty() || membership.member(id).is_some());
    }
}

impl PeerLine {
    /// Sends the messages of one queue until it is closed.
    async fn run_queue(self: Arc<Self>, to: InstanceId, mut queue: mpsc::Receiver<PeerMessage>) {
        let permits = Arc::new(Semaphore::new(BATCHES_IN_FLIGHT));
        while let Some(first) = queue.recv().await {
            let permit = Arc::clone(&permits).acquire_owned().await;
            let batch = take_batch(first, &mut queue);
            let Some(address) = self.directory.address(&to) else {
                continue;
            };
            let line = Arc::clone(&self);
            tokio::spawn(async move {
                line.post(address, batch).await;
                drop(permit);
            });
        }
    }

    /// Posts a batch. A failure is not reported, because the replicas repeat what is needed.
    async fn post(&self, address: SocketAddr, messages: Vec<PeerMessage>) {
        let batch = peer::PeerBatch {
            cluster: self.cluster.clone(),
            address: self.address.to_string(),
            messages: messages.into_iter().map(Into::into).collect(),
        };
        let body = Bytes::from(codec::encode(&batch));
        let request = peer_request(&self.secret, PEER_PATH, body);
        match self.client.send(address, request, ANSWER_TIMEOUT).await {
            Ok(response) => {
                let read = response.collect(MAX_ANSWER_BYTES, ANSWER_TIMEOUT).await;
                if let Err(error) = read {
                    tracing::debug!(%address, %error, "peer messages may be lost");
                }
            }
            Err(error) => tracing::debug!(%address, %error, "peer messages may be lost"),
        }
    }
}

fn take_batch(first: PeerMessage, queue: &mut mpsc::Receiver<PeerMessage>) -> Vec<PeerMessage> {
    let mut size = message_bytes(&first);
    let mut batch = vec![first];
    while size < BATCH_BYTES
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
        MessageBody::Snapshot(chunk) => chunk.data.len(),
        _ => 0,
    }
}
