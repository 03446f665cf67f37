//! Keeps the control group complete: announces this instance, and as leader changes the members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_consensus::{InstanceId, MembershipRequest, NodeStatus, RoleName};
use oriolecrank_net::BootClock;
use oriolecrank_routing::{JoiningMember, MemberHealth, RepairSettings, next_members};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{JoinRequest, JoiningInstance};
use oriolecrank_schema::event::LogEvent;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use crate::site_messages::JOIN_PATH;
use crate::site_publisher::SitePublisher;
use crate::site_tables::SiteTables;

/// Interval of checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for an instance to note this one.
const JOIN_TIMEOUT: Duration = Duration::from_millis(700);

/// A member with at most this many entries missing has caught up; as in the consensus core.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// Task that repairs the group.
#[derive(Debug)]
pub(crate) struct GroupRepair {
    pub(crate) cluster: String,
    /// Own internal address.
    pub(crate) address: SocketAddr,
    /// Internal addresses from the settings.
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
    pub(crate) settings: RepairSettings,
    pub(crate) publisher: SitePublisher,
    pub(crate) tables: Arc<SiteTables>,
}

impl GroupRepair {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut led_since: Option<TimePoint> = None;
        loop {
            ticks.tick().await;
            let now = BootClock.now();
            self.tables.lock().prune(now);
            let status = self.publisher.replica.status().node;
            if status.role != RoleName::Leader {
                led_since = None;
                self.announce_if_outside(&status).await;
                continue;
            }
            let since = *led_since.get_or_insert(now);
            self.repair(&status, since, now).await;
        }
    }

    /// Announces an instance that is in no membership.
    async fn announce_if_outside(&self, status: &NodeStatus) {
        if !status.membership.is_empty() {
            return;
        }
        let request = JoinRequest {
            cluster: self.cluster.clone(),
            instance: JoiningInstance {
                address: self.address.to_string(),
                instance: status.id.to_string(),
                name: self.address.to_string(),
            },
        };
        let seeds = self.seeds.borrow().clone();
        for seed in seeds.into_iter().filter(|seed| *seed != self.address) {
            let link = &self.publisher.link;
            if let Err(error) = link.tell(seed, JOIN_PATH, &request, JOIN_TIMEOUT).await {
                tracing::debug!(%seed, %error, "the announcement to join was not noted");
            }
        }
    }

    /// Makes the next change of the membership, if one is due.
    async fn repair(&self, status: &NodeStatus, led_since: TimePoint, now: TimePoint) {
        let health: Vec<MemberHealth> = member_health(status, led_since, now);
        let waiting = self.tables.lock().joins.waiting(
            |id| status.membership.member(&InstanceId::new(id)).is_some(),
            now,
        );
        let joining: Vec<JoiningMember> = waiting
            .into_iter()
            .map(|instance| JoiningMember {
                id: InstanceId::new(&instance.instance),
                address: instance.address,
            })
            .filter(|joining| !status.membership.is_retired(&joining.id))
            .collect();
        let membership = &status.membership;
        let next = next_members(&self.settings, membership, &status.id, &health, &joining);
        let Some(members) = next else {
            return;
        };
        let count = members.len();
        let request = MembershipRequest {
            base_version: membership.version,
            members,
            forced: false,
        };
        let event = LogEvent::MembershipChanged.number();
        match self.publisher.replica.change_membership(request).await {
            Ok(_) => {
                tracing::info!(event, members = count, "the control group has changed");
            }
            Err(error) => {
                tracing::info!(
                    event = LogEvent::MembershipWaits.number(),
                    %error,
                    "a change of the control group must wait"
                );
            }
        }
    }
}

/// What the leader knows of its members. Silence counts from the begin of its leadership at the
/// earliest.
fn member_health(status: &NodeStatus, led_since: TimePoint, now: TimePoint) -> Vec<MemberHealth> {
    let progress = status.progress.iter();
    let health = progress.map(|known| {
        let last_contact = known
            .last_contact
            .map_or(led_since, |answered| answered.max(led_since));
        let own = known.id == status.id;
        MemberHealth {
            id: known.id.clone(),
            silent_for: if own {
                Duration::ZERO
            } else {
                now.since(last_contact)
            },
            caught_up: status.last_index.0 <= known.match_index.0 + CAUGHT_UP_ENTRIES,
        }
    });
    health.collect()
}
