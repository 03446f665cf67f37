//! Broadcast of state changes to subscribers.

use bytes::Bytes;
use oriolecrank_net::frame::encode_frame;
use oriolecrank_net::{AnswerBody, BodySender};
use oriolecrank_schema::control::SubscriptionFrame;
use tokio::sync::broadcast;
use tokio::time::{Duration, timeout};

/// Number of frames that a subscriber may lag behind before its stream is closed. The subscriber
/// then subscribes again and receives a snapshot.
const MAX_LAG_FRAMES: usize = 256;

/// Time without a change after which a heartbeat frame is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Sends frames to all subscribers; each frame is encoded once.
#[derive(Debug)]
pub struct SubscriptionHub {
    sender: broadcast::Sender<Bytes>,
}

impl Default for SubscriptionHub {
    fn default() -> Self {
        Self {
            sender: broadcast::channel(MAX_LAG_FRAMES).0,
        }
    }
}

impl SubscriptionHub {
    /// Sends a frame to all subscribers.
    pub fn publish(&self, frame: &SubscriptionFrame) {
        // Sending fails only if there is no subscriber.
        let _ = self.sender.send(encode_frame(frame, &[]));
    }

    /// Opens a subscription whose stream starts with `snapshot`.
    ///
    /// The caller must hold the lock of the state, so that no change is lost between the snapshot
    /// and the next frame.
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
            // The subscriber lags too far behind, or the hub was dropped; the stream ends.
            Ok(Err(_)) => return,
            Err(_) => heartbeat.clone(),
        };
    }
}
