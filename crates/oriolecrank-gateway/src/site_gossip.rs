//! Copies announcements of upstreams to the other control instances.

use oriolecrank_schema::event::LogEvent;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_net::BootClock;
use oriolecrank_routing::{UpstreamAnnouncement, UpstreamName};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::site_messages::{AgedAnnouncement, GOSSIP_PATH, GossipBatch};
use crate::site_publisher::SitePublisher;

/// Time over which announcements are collected into one message. Entries learn of a change from any
/// control instance, so a short delay costs little and saves most messages.
const COLLECT_TIME: Duration = Duration::from_millis(200);

/// Longest wait for a copy of a departure before it is acknowledged to the upstream.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(300);

/// Announcements that may wait to be copied.
const QUEUE: usize = 4_096;

/// Sends announcements to the other members.
#[derive(Debug, Clone)]
pub(crate) struct SiteGossip {
    cluster: String,
    publisher: SitePublisher,
    queue: mpsc::Sender<UpstreamAnnouncement>,
}

impl SiteGossip {
    /// Gossip and the task that sends what is collected.
    pub(crate) fn start(cluster: String, publisher: SitePublisher) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE);
        let gossip = Self {
            cluster,
            publisher,
            queue,
        };
        tokio::spawn(gossip.clone().run(receiver));
        gossip
    }

    /// Copies an announcement soon. It may be lost; upstreams repeat their announcements.
    pub(crate) fn spread(&self, announcement: UpstreamAnnouncement) {
        if self.queue.try_send(announcement).is_err() {
            tracing::warn!(
                event = LogEvent::ReportFailed.number(),
                "announcements are not copied, because too many wait"
            );
        }
    }

    /// Copies a departure to all members that answer in time, so that every entry learns of it even
    /// if this instance is lost right after it has acknowledged the departure.
    pub(crate) async fn spread_now(&self, announcement: UpstreamAnnouncement) {
        let batch = self.batch(vec![announcement]);
        self.send(batch, DEPARTURE_TIMEOUT).await;
    }

    async fn run(self, mut receiver: mpsc::Receiver<UpstreamAnnouncement>) {
        while let Some(first) = receiver.recv().await {
            sleep(COLLECT_TIME).await;
            let mut newest: IndexMap<UpstreamName, UpstreamAnnouncement> = IndexMap::new();
            newest.insert(first.name.clone(), first);
            while let Ok(next) = receiver.try_recv() {
                newest.insert(next.name.clone(), next);
            }
            let batch = self.batch(newest.into_values().collect());
            self.send(batch, DEPARTURE_TIMEOUT).await;
        }
    }

    fn batch(&self, upstreams: Vec<UpstreamAnnouncement>) -> GossipBatch {
        let aged = upstreams.into_iter().map(|announcement| AgedAnnouncement {
            announcement,
            age: Duration::ZERO,
        });
        GossipBatch {
            cluster: self.cluster.clone(),
            upstreams: aged.collect(),
        }
    }

    async fn send(&self, batch: GossipBatch, bound: Duration) {
        let batch = Arc::new(batch);
        let mut calls = JoinSet::new();
        for address in self.publisher.other_members() {
            let (link, batch) = (self.publisher.link.clone(), Arc::clone(&batch));
            calls.spawn(async move {
                if let Err(error) = link.tell(address, GOSSIP_PATH, &*batch, bound).await {
                    tracing::debug!(%address, %error, "announcements were not copied");
                }
            });
        }
        while calls.join_next().await.is_some() {}
    }
}

/// Takes the announcements of another control instance.
pub(crate) fn take_batch(tables: &crate::site_tables::SiteTables, batch: GossipBatch) {
    let now = BootClock.now();
    for aged in batch.upstreams {
        let heard = oriolecrank_schema::TimePoint::from_millis(
            now.as_millis().saturating_sub(aged.age.as_millis() as u64),
        );
        tables.announce(aged.announcement, heard);
    }
}
