//! Subscription and freshness pings, which keep the state of an entry current.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::{BootClock, ControlClient, ControlError};
use oriolecrank_policy::freshness::PingNumber;
use oriolecrank_schema::control::{PingAnswer, PingRequest, SubscribeRequest, SubscriptionFrame};
use oriolecrank_schema::event::LogEvent;
use oriolecrank_state::Revision;
use rand::Rng as _;
use tokio::time::{interval, sleep};

use crate::admission::AdmissionControl;
use crate::demand_meter::DemandMeter;
use crate::entry_metrics::EntryMetrics;
use crate::entry_state::EntryState;
use crate::options::EntryOptions;
use crate::suspect_gate::SuspectGate;
use crate::upstream_pool::UpstreamPool;

/// Longest time without a frame before a subscription counts as lost. Control instances send a
/// heartbeat every 500 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval of freshness pings. With the default lease of 3 s, several consecutive confirmations
/// may be lost before requests with an API key are refused.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Range of the random delay before a lost subscription is reopened, in milliseconds. The jitter
/// prevents all entries of a recovering region from subscribing at once.
const RECONNECT_DELAY_MS: std::ops::Range<u64> = 20..200;

/// Upper limit of the factor by which the delay grows with consecutive lost subscriptions.
const MAX_BACKOFF_FACTOR: u32 = 8;

/// Subscribes to the control group, applies its frames and sends freshness pings.
#[derive(Debug)]
pub struct ControlFollower {
    /// Client of the control group, which supplies the addresses of its instances.
    pub client: ControlClient,
    /// State to which frames are applied and whose freshness lease the pings extend.
    pub state: Arc<EntryState>,
    /// Updated with the upstreams of the state.
    pub pool: Arc<UpstreamPool>,
    /// Updated with the suspects of the state.
    pub suspects: Arc<SuspectGate>,
    /// Updated with the limits of the document and the limit shares in answers to pings.
    pub admission: Arc<AdmissionControl>,
    /// Supplies the demand that is sent with pings.
    pub demand: Arc<DemandMeter>,
    /// Records the revision in force.
    pub metrics: Arc<EntryMetrics>,
    /// Supplies the name and the failure domain under which the entry subscribes.
    pub options: EntryOptions,
}

impl ControlFollower {
    /// Subscribes to one control instance after the other and pings the one that is subscribed to.
    /// Never returns.
    pub async fn run(&self) {
        let mut index = 0;
        let mut backoff = 1;
        loop {
            let address = self.client.address(index);
            let started_at = BootClock.now();
            tokio::select! {
                () = self.follow_stream(address) => {}
                () = self.ping_periodically(address) => {}
            }
            if BootClock.now().since(started_at) > SILENCE_TIMEOUT {
                backoff = 1;
            }
            index += 1;
            let delay = rand::rng().random_range(RECONNECT_DELAY_MS);
            sleep(Duration::from_millis(delay) * backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF_FACTOR);
        }
    }

    async fn follow_stream(&self, address: SocketAddr) {
        let request = SubscribeRequest {
            failure_domain: self.options.failure_domain.clone().into(),
            revision: self.state.view().revision().0,
            subscriber: self.options.name.clone(),
        };
        let mut reader = match self
            .client
            .subscribe(address, &request, SILENCE_TIMEOUT)
            .await
        {
            Ok(reader) => reader,
            Err(error) => return log_subscription_lost(address, &error),
        };
        loop {
            let frame = match reader.next::<SubscriptionFrame>(SILENCE_TIMEOUT).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return log_subscription_lost(address, &"the stream ended"),
                Err(error) => return log_subscription_lost(address, &error),
            };
            if let Err(fault) = self.apply(frame.header) {
                return log_subscription_lost(address, &fault);
            }
        }
    }

    fn apply(&self, frame: SubscriptionFrame) -> Result<(), crate::entry_state::FrameFault> {
        if frame == SubscriptionFrame::Heartbeat {
            return Ok(());
        }
        let before = self.state.view().revision();
        self.state.apply(frame)?;
        let view = self.state.view();
        self.pool.update(&view);
        self.suspects.update(view.suspects(), BootClock.now());
        let revision = view.revision();
        if revision != before {
            self.admission.set_document(view.document());
            self.metrics.set_revision(revision);
            let event = LogEvent::DocumentInForce.number();
            tracing::info!(event, revision = revision.0, "revision in force");
        }
        Ok(())
    }

    async fn ping_periodically(&self, address: SocketAddr) {
        let mut ticks = interval(PING_INTERVAL);
        loop {
            ticks.tick().await;
            // The timer may fire before the interval has passed according to the boot-time clock.
            let Some(ping) = self.state.next_ping(BootClock.now()) else {
                continue;
            };
            if let Err(error) = self.ping(address, ping).await {
                let event = LogEvent::PingFailed.number();
                tracing::warn!(
                    event,
                    %address,
                    %error,
                    "ping failed; another control instance is tried"
                );
                return;
            }
        }
    }

    async fn ping(&self, address: SocketAddr, ping: PingNumber) -> Result<(), ControlError> {
        // Only starts a new demand period of the limiter; the returned demand is not used. The
        // reported demand comes from the demand meter, which also records the shapes of calls.
        self.admission.take_demand();
        let sent_at = BootClock.now();
        let demand = self.demand.take();
        let request = PingRequest {
            demand,
            ping: ping.into(),
            revision: self.state.view().revision().0,
            subscriber: self.options.name.clone(),
        };
        let answer = self
            .client
            .post::<_, PingAnswer>(address, "/v1/ping", &request, PING_TIMEOUT)
            .await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.demand.restore(&request.demand);
                return Err(error);
            }
        };
        self.admission.set_shares(&answer, sent_at, BootClock.now());
        self.state
            .confirm(answer.ping.into(), Revision(answer.revision));
        Ok(())
    }
}

fn log_subscription_lost(address: SocketAddr, reason: &impl std::fmt::Display) {
    let event = LogEvent::SubscriptionLost.number();
    tracing::warn!(
        event,
        %address,
        %reason,
        "subscription lost; another control instance is tried"
    );
}
