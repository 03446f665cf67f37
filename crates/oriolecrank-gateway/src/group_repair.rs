//! Repairs the control group: an instance that is no member asks to join, and the leader replaces
//! failed members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_consensus::{
    InstanceId, Member, Membership, MembershipRequest, NodeStatus, RoleName,
};
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

/// Interval between checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a request to join.
const JOIN_TIMEOUT: Duration = Duration::from_millis(700);

/// A member that lacks at most this many log entries has caught up; the same limit as in the
/// consensus core.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// Task that sends requests to join or, while this instance leads, changes the members.
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
        let mut leader_since: Option<TimePoint> = None;
        loop {
            ticks.tick().await;
            let now = BootClock.now();
            self.tables.lock().prune(now);
            let status = self.publisher.replica.status().node;
            if status.role != RoleName::Leader {
                leader_since = None;
                self.request_join_if_not_member(&status).await;
                continue;
            }
            let leader_since = *leader_since.get_or_insert(now);
            self.repair(&status, leader_since, now).await;
        }
    }

    /// Asks all seeds to let this instance join, unless it already has a membership.
    async fn request_join_if_not_member(&self, status: &NodeStatus) {
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
            if let Err(error) = link.notify(seed, JOIN_PATH, &request, JOIN_TIMEOUT).await {
                tracing::debug!(%seed, %error, "a request to join failed; it is repeated");
            }
        }
    }

    /// Proposes the next change of the membership, if one is due.
    async fn repair(&self, status: &NodeStatus, leader_since: TimePoint, now: TimePoint) {
        let health: Vec<MemberHealth> = member_health(status, leader_since, now);
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
        let next_members = next_members(&self.settings, membership, &status.id, &health, &joining);
        let Some(members) = next_members else {
            return;
        };
        let count = members.len();
        let change = describe_change(membership, &members);
        let leading_for = now.since(leader_since);
        let request = MembershipRequest {
            base_version: membership.version,
            members,
            forced: false,
        };
        let event = LogEvent::MembershipChanged.number();
        match self.publisher.replica.change_membership(request).await {
            Ok(_) => {
                tracing::info!(
                    event,
                    members = count,
                    change,
                    leading_for_ms = leading_for.as_millis() as u64,
                    "the control group has changed"
                );
            }
            Err(error) => {
                tracing::info!(
                    event = LogEvent::MembershipWaits.number(),
                    change,
                    %error,
                    "a membership change was not committed; it is retried"
                );
            }
        }
    }
}

/// Text for the log that names what a change adds, promotes and removes.
fn describe_change(membership: &Membership, members: &[Member]) -> String {
    let mut changes = Vec::new();
    for member in members {
        match membership.member(&member.id) {
            None => changes.push(format!("adds {}", member.id)),
            Some(known) if known.role != member.role => {
                changes.push(format!("promotes {}", member.id));
            }
            Some(_) => {}
        }
    }
    for known in &membership.members {
        if members.iter().all(|member| member.id != known.id) {
            changes.push(format!("removes {}", known.id));
        }
    }
    changes.join(", ")
}

/// Health of the members as the leader sees it. Silence counts from the start of its leadership at
/// the earliest, because it has no contacts before that.
fn member_health(
    status: &NodeStatus,
    leader_since: TimePoint,
    now: TimePoint,
) -> Vec<MemberHealth> {
    let progress = status.progress.iter();
    let health = progress.map(|member| {
        let last_contact = member
            .last_contact
            .map_or(leader_since, |contact| contact.max(leader_since));
        let is_self = member.id == status.id;
        MemberHealth {
            id: member.id.clone(),
            silent_for: if is_self {
                Duration::ZERO
            } else {
                now.since(last_contact)
            },
            caught_up: status.last_index.0 <= member.match_index.0 + CAUGHT_UP_ENTRIES,
        }
    });
    health.collect()
}
