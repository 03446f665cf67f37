//! Keeps the state of an entry current.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::{BootClock, ControlClient, FrameError};
use oriolecrank_schema::control::{PingAnswer, PingRequest, SubscribeRequest, SubscriptionFrame};
use oriolecrank_schema::event::LogEvent;
use rand::Rng as _;
use tokio::time::{interval, sleep};

use crate::entry_state::EntryState;
use crate::options::EntryOptions;

/// Longest silence of a subscription; control instances send a heartbeat each 500 ms.
const SILENCE_BOUND: Duration = Duration::from_millis(1_500);

/// Interval of freshness pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the answer to one ping.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Bounds of the random delay before a lost subscription is reopened, in milliseconds. The spread
/// keeps the entries of a returning region from subscribing all at once.
const RECONNECT_DELAY_MS: std::ops::Range<u64> = 20..200;

/// Subscribes and pings for ever.
pub async fn follow_control(client: ControlClient, state: Arc<EntryState>, options: &EntryOptions) {
    let mut index = 0;
    loop {
        let address = client.address(index);
        tokio::select! {
            result = follow_stream(&client, &state, options, address) => {
                if let Err(error) = result {
                    let event = LogEvent::SubscriptionLost.number();
                    tracing::warn!(event, %address, %error, "subscription lost");
                }
            }
            () = ping_for_ever(&client, &state, options, address) => {}
        }
        index += 1;
        let delay = rand::rng().random_range(RECONNECT_DELAY_MS);
        sleep(Duration::from_millis(delay)).await;
    }
}

async fn follow_stream(
    client: &ControlClient,
    state: &EntryState,
    options: &EntryOptions,
    address: SocketAddr,
) -> Result<(), oriolecrank_net::ControlError> {
    let request = SubscribeRequest {
        failure_domain: options.failure_domain.clone().into(),
        revision: state.view().revision,
        subscriber: options.name.clone(),
    };
    let mut reader = client.subscribe(address, &request, SILENCE_BOUND).await?;
    loop {
        match reader.next::<SubscriptionFrame>(SILENCE_BOUND).await {
            Ok(Some(frame)) => {
                let before = state.view().revision;
                state.apply(frame.header);
                let revision = state.view().revision;
                if revision != before {
                    tracing::info!(
                        event = LogEvent::DocumentInForce.number(),
                        revision,
                        "in force"
                    );
                }
            }
            Ok(None) => return Ok(()),
            Err(error) => {
                log_lost(address, &error);
                return Ok(());
            }
        }
    }
}

fn log_lost(address: SocketAddr, error: &FrameError) {
    tracing::warn!(event = LogEvent::SubscriptionLost.number(), %address, %error, "subscription lost");
}

async fn ping_for_ever(
    client: &ControlClient,
    state: &EntryState,
    options: &EntryOptions,
    address: SocketAddr,
) {
    let mut ticks = interval(PING_INTERVAL);
    for ping in 1.. {
        ticks.tick().await;
        let request = PingRequest {
            demand: Vec::new(),
            ping,
            revision: state.view().revision,
            subscriber: options.name.clone(),
        };
        let sent_at = BootClock.now();
        let answer = client
            .post::<_, PingAnswer>(address, "/v1/ping", &request, PING_TIMEOUT)
            .await;
        match answer {
            Ok(answer) => state.confirm(answer.revision, sent_at),
            Err(error) => {
                tracing::warn!(event = LogEvent::StateStale.number(), %error, "ping failed");
                return;
            }
        }
    }
}
