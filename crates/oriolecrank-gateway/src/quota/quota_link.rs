//! Asks the leader for tokens of organisations' quotas.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::BootClock;
use oriolecrank_policy::quota::{LedgerAnswer, ShareAsk};
use oriolecrank_routing::OrganisationName;
use oriolecrank_schema::event::LogEvent;
use tokio::time::{sleep, timeout};

use super::quota_messages::{OrganisationAsk, QUOTA_PATH, QuotaReply, QuotaRequest};
use crate::control_link::ControlLink;
use crate::entry_shared::EntryShared;

/// Timeout of an ask; an entry has one ask in flight.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest time between two asks, over which requests that lack tokens are gathered.
const ASK_INTERVAL: Duration = Duration::from_millis(30);

/// Time between two looks for shares that run low or are about to lapse.
const REFILL_INTERVAL: Duration = Duration::from_millis(150);

/// Delay after an ask that was not answered.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Task that keeps the shares of an entry filled.
#[derive(Debug)]
pub(crate) struct QuotaLink<D> {
    pub(crate) shared: Arc<EntryShared<D>>,
    pub(crate) link: ControlLink,
}

impl<D> QuotaLink<D> {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let gate = &self.shared.quota;
        let mut failed = false;
        loop {
            // A timeout only means that no request lacks tokens.
            let _ = timeout(REFILL_INTERVAL, gate.lacking.notified()).await;
            let sent_at = BootClock.now();
            let asks = gate.asks(self.shared.entry_count(), sent_at);
            if asks.is_empty() {
                continue;
            }
            let answers = self.ask(&asks).await;
            self.shared.metrics.count_quota_ask(answers.is_ok());
            match answers {
                Ok(answers) => {
                    gate.apply(&asks, &answers, sent_at, BootClock.now());
                    failed = false;
                    sleep(ASK_INTERVAL).await;
                }
                Err(reason) => {
                    gate.apply(&asks, &[], sent_at, BootClock.now());
                    if !failed {
                        tracing::warn!(
                            event = LogEvent::ReportFailed.number(),
                            organisations = asks.len(),
                            reason,
                            "the leader did not grant tokens of quotas; the ask is repeated"
                        );
                    }
                    failed = true;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn ask(
        &self,
        asks: &[(OrganisationName, ShareAsk)],
    ) -> Result<Vec<Option<LedgerAnswer>>, String> {
        let Some(leader) = self.shared.control_group().leader else {
            return Err("no leader is known".to_owned());
        };
        let request = QuotaRequest {
            run: self.shared.options.run.run,
            asks: asks
                .iter()
                .map(|(organisation, ask)| OrganisationAsk::new(organisation.clone(), ask))
                .collect(),
        };
        let reply = self.link.call(leader, QUOTA_PATH, &request, ASK_TIMEOUT);
        match reply.await {
            Ok(QuotaReply::Answered(grants)) => Ok(grants
                .into_iter()
                .map(|grant| grant.map(Into::into))
                .collect()),
            Ok(QuotaReply::NotLeader) => Err(format!("{leader} does not lead")),
            Err(error) => Err(error.to_string()),
        }
    }
}
