//! Fan-out of state changes to subscribers.

use bytes::Bytes;
use oriolecrank_net::frame::encode_frame;
use oriolecrank_net::{AnswerBody, BodySender};
use oriolecrank_schema::control::SubscriptionFrame;
use tokio::sync::broadcast;
use tokio::time::{Duration, timeout};

/// Changes that a slow subscriber may fall behind before its stream is closed; it then subscribes
/// again and gets a snapshot.
const BACKLOG: usize = 256;

/// Interval of heartbeats on an idle subscription.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Sends encoded frames to all subscribers; each change is encoded once.
#[derive(Debug)]
pub struct SubscriptionHub {
    sender: broadcast::Sender<Bytes>,
}

impl Default for SubscriptionHub {
    fn default() -> Self {
        Self {
            sender: broadcast::channel(BACKLOG).0,
        }
    }
}

impl SubscriptionHub {
    /// Sends a change to all subscribers.
    pub fn publish(&self, frame: &SubscriptionFrame) {
        // An error means that there is no subscriber.
        let _ = self.sender.send(encode_frame(frame, &[]));
    }

    /// Opens a subscription that begins with `snapshot`.
    ///
    /// The caller holds the lock of the state, so that no change falls between the snapshot and
    /// the first frame.
    pub fn open(&self, snapshot: &SubscriptionFrame) -> AnswerBody {
        let receiver = self.sender.subscribe();
        let (body_sender, body) = AnswerBody::stream();
        tokio::spawn(forward(encode_frame(snapshot, &[]), receiver, body_sender));
        body
    }
}

async fn forward(first: Bytes, mut receiver: broadcast::Receiver<Bytes>, sender: BodySender) {
    let mut next = first;
    let heartbeat = encode_frame(&SubscriptionFrame::Heartbeat, &[]);
    loop {
        if sender.send(Ok(next)).await.is_err() {
            return;
        }
        next = match timeout(HEARTBEAT_INTERVAL, receiver.recv()).await {
            Ok(Ok(frame)) => frame,
            // The subscriber is too slow or the process stops; the stream ends.
            Ok(Err(_)) => return,
            Err(_) => heartbeat.clone(),
        };
    }
}
