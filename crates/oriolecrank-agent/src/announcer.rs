//! Announces the upstream to the control group.

use std::time::Duration;

use oriolecrank_net::ControlClient;
use oriolecrank_net::shutdown::ShutdownSignal;
use oriolecrank_schema::control::{Command, CommandOutcome, UpstreamPhase, UpstreamRecord};
use oriolecrank_schema::data_path::UpstreamLoad;
use oriolecrank_schema::event::LogEvent;
use tokio::time::sleep;

/// Interval of renewals; the lease is 3 s.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the answer to one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces the upstream until shutdown, then announces that it leaves.
pub async fn announce_until_shutdown(
    client: ControlClient,
    mut record: UpstreamRecord,
    load: impl Fn() -> UpstreamLoad,
    mut shutdown: ShutdownSignal,
) {
    let mut announced = false;
    while !shutdown.is_triggered() {
        let joined = announce(&client, &record, load()).await;
        if joined && !announced {
            let event = LogEvent::UpstreamAnnounced.number();
            tracing::info!(event, upstream = %*record.upstream, "upstream announced");
        }
        announced = joined;
        tokio::select! {
            () = sleep(RENEWAL_INTERVAL) => {}
            () = shutdown.triggered() => {}
        }
    }
    record.phase = UpstreamPhase::Leaving;
    announce(&client, &record, load()).await;
}

async fn announce(client: &ControlClient, record: &UpstreamRecord, load: UpstreamLoad) -> bool {
    let command = Command::Announce {
        load: Some(load),
        record: record.clone(),
    };
    match client.command(&command, ANNOUNCE_TIMEOUT).await {
        Ok(CommandOutcome::Superseded { incarnation }) => {
            let event = LogEvent::AgentSuperseded.number();
            tracing::error!(event, incarnation, "a newer agent for this upstream exists");
            false
        }
        Ok(_) => true,
        Err(error) => {
            let event = LogEvent::AnnounceFailed.number();
            tracing::warn!(event, %error, "announcement failed");
            false
        }
    }
}
