//! Repairs the control group: an instance that is no member asks to join, one without a leader asks
//! whether it was removed, and the leader replaces failed members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use indexmap::IndexSet;
use oriolecrank_consensus::{
    InstanceId, Member, Membership, MembershipRequest, NodeStatus, RoleName,
};
use oriolecrank_net::BootClock;
use oriolecrank_routing::{JoiningMember, RepairPlanner, RepairSettings};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{JoinRequest, JoiningInstance};
use oriolecrank_schema::event::LogEvent;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::control_link::LinkError;
use crate::site_messages::JOIN_PATH;
use crate::site_publisher::SitePublisher;
use crate::site_tables::SiteTables;

/// Interval between checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a leader after which a member asks whether it was removed; longer than the
/// elections after a failed leader.
const REMOVAL_CHECK_DELAY: Duration = Duration::from_secs(3);

/// Timeout of a request to join.
const JOIN_TIMEOUT: Duration = Duration::from_millis(700);

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
    /// Notified when another instance states that this one was removed from the group.
    pub(crate) removed: Arc<Notify>,
}

impl GroupRepair {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leaderless_since: Option<TimePoint> = None;
        let mut planner = RepairPlanner::new(self.settings.clone());
        loop {
            ticks.tick().await;
            let now = BootClock.now();
            self.tables.lock().prune(now);
            let status = self.publisher.replica.status().node;
            if status.role == RoleName::Leader || status.leader.is_some() {
                leaderless_since = None;
            } else {
                let since = *leaderless_since.get_or_insert(now);
                let is_member = !status.membership.is_empty();
                if !is_member || now.since(since) > REMOVAL_CHECK_DELAY {
                    self.request_join(&status).await;
                }
            }
            let joining = self.joining(&status, now);
            if let Some(request) = planner.next_change(&status, &joining, now) {
                self.change(&status.membership, request).await;
            }
        }
    }

    /// Asks the seeds and all known members to let this instance join. A member that was removed
    /// while it was cut off learns of that from the answer.
    async fn request_join(&self, status: &NodeStatus) {
        let request = Arc::new(JoinRequest {
            cluster: self.cluster.clone(),
            instance: JoiningInstance {
                address: self.address.to_string(),
                instance: status.id.to_string(),
                name: self.address.to_string(),
            },
        });
        let mut addresses: IndexSet<SocketAddr> = self.seeds.borrow().iter().copied().collect();
        addresses.extend(self.publisher.other_members());
        let mut calls = JoinSet::new();
        for address in addresses {
            if address == self.address {
                continue;
            }
            let (link, request) = (self.publisher.link.clone(), Arc::clone(&request));
            calls.spawn(async move {
                let answer = link.notify(address, JOIN_PATH, &*request, JOIN_TIMEOUT);
                match answer.await {
                    Err(LinkError::Refused { status, .. }) if status == StatusCode::GONE => true,
                    Err(error) => {
                        tracing::debug!(%address, %error, "a request to join failed; it is repeated");
                        false
                    }
                    Ok(()) => false,
                }
            });
        }
        while let Some(answer) = calls.join_next().await {
            if answer.is_ok_and(|is_removed| is_removed) {
                self.removed.notify_one();
            }
        }
    }

    /// Instances that ask to join and are not members.
    fn joining(&self, status: &NodeStatus, now: TimePoint) -> Vec<JoiningMember> {
        let waiting = self.tables.lock().joins.waiting(
            |id| status.membership.member(&InstanceId::new(id)).is_some(),
            now,
        );
        let joining = waiting.into_iter().map(|instance| JoiningMember {
            id: InstanceId::new(&instance.instance),
            address: instance.address,
        });
        joining.collect()
    }

    /// Proposes a change of the membership and logs what becomes of it.
    async fn change(&self, membership: &Membership, request: MembershipRequest) {
        let count = request.members.len();
        let change = describe_change(membership, &request.members);
        match self.publisher.replica.change_membership(request).await {
            Ok(_) => {
                tracing::info!(
                    event = LogEvent::MembershipChanged.number(),
                    members = count,
                    change,
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
