//! Keeps the state of an entry current.

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

/// Longest silence of a subscription; control instances send a heartbeat each 500 ms.
const SILENCE_BOUND: Duration = Duration::from_millis(1_500);

/// Interval of freshness pings. With the lease of 3 s, a confirmation may be lost several times
/// before keyed work is refused.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the answer to one ping.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Bounds of the random delay before a lost subscription is reopened, in milliseconds. The spread
/// keeps the entries of a returning region from subscribing all at once.
const RECONNECT_DELAY_MS: std::ops::Range<u64> = 20..200;

/// Largest factor on the delay after several lost subscriptions in a row.
const MAX_BACKOFF_FACTOR: u32 = 8;

/// Follows the control group.
#[derive(Debug)]
pub struct ControlFollower {
    /// Client of the control group.
    pub client: ControlClient,
    /// State that is kept current.
    pub state: Arc<EntryState>,
    /// Upstreams that follow the state.
    pub pool: Arc<UpstreamPool>,
    /// Suspects that follow the state.
    pub suspects: Arc<SuspectGate>,
    /// Limits that follow the state and the answers to pings.
    pub admission: Arc<AdmissionControl>,
    /// Demand that is sent with pings.
    pub demand: Arc<DemandMeter>,
    /// Metrics.
    pub metrics: Arc<EntryMetrics>,
    /// Settings.
    pub options: EntryOptions,
}

impl ControlFollower {
    /// Subscribes and pings for ever.
    pub async fn run(&self) {
        let mut index = 0;
        let mut backoff = 1;
        loop {
            let address = self.client.address(index);
            let before = BootClock.now();
            tokio::select! {
                () = self.follow_stream(address) => {}
                () = self.ping_for_ever(address) => {}
            }
            if BootClock.now().since(before) > SILENCE_BOUND {
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
            .subscribe(address, &request, SILENCE_BOUND)
            .await
        {
            Ok(reader) => reader,
            Err(error) => return log_lost(address, &error),
        };
        loop {
            let frame = match reader.next::<SubscriptionFrame>(SILENCE_BOUND).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return log_lost(address, &"the stream ended"),
                Err(error) => return log_lost(address, &error),
            };
            if let Err(fault) = self.apply(frame.header) {
                return log_lost(address, &fault);
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

    async fn ping_for_ever(&self, address: SocketAddr) {
        let mut ticks = interval(PING_INTERVAL);
        loop {
            ticks.tick().await;
            // A tick may come a moment before the interval has passed by the boot-time clock.
            let Some(ping) = self.state.next_ping(BootClock.now()) else {
                continue;
            };
            if let Err(error) = self.ping(address, ping).await {
                let event = LogEvent::PingFailed.number();
                tracing::warn!(event, %address, %error, "ping failed");
                return;
            }
        }
    }

    async fn ping(&self, address: SocketAddr, ping: PingNumber) -> Result<(), ControlError> {
        // The demand itself is counted call by call, with the shape of each call.
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

fn log_lost(address: SocketAddr, reason: &impl std::fmt::Display) {
    let event = LogEvent::SubscriptionLost.number();
    tracing::warn!(event, %address, %reason, "subscription lost");
}
