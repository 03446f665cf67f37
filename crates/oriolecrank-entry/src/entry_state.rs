//! State in force at an entry: configuration, upstreams and suspects, with its freshness lease.

use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_policy::freshness::{FreshnessLease, FreshnessSettings, PingNumber};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{
    DocumentDelta, SubscriptionFrame, SuspectRecord, UpstreamRecord,
};
use oriolecrank_schema::document::{ConfigDocument, OrganisationConfig, ServiceConfig, UpstreamId};
use oriolecrank_state::{CheckedDocument, Revision};
use snafu::Snafu;

/// Reason why a frame of the subscription cannot be applied. The subscription is then reopened, at
/// another control instance if there is one.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum FrameFault {
    /// The snapshot is older than the revision in force: the control instance lags behind.
    #[snafu(display(
        "snapshot has revision {}, but revision {} is already in force",
        offered.0,
        in_force.0
    ))]
    Lagging {
        /// Revision of the snapshot.
        offered: Revision,
        /// Revision in force, which stays.
        in_force: Revision,
    },
    /// The delta is based on another revision than the one in force.
    #[snafu(display(
        "delta is based on revision {}, but revision {} is in force",
        base.0,
        in_force.0
    ))]
    Gap {
        /// Revision on which the delta is based.
        base: Revision,
        /// Revision in force, which stays.
        in_force: Revision,
    },
    /// The document, or the result of a delta, fails the validation of this program version.
    #[snafu(display("the document is invalid: {reason}"))]
    InvalidDocument {
        /// Path and text of the first error.
        reason: String,
    },
}

/// Immutable, consistent snapshot of configuration, upstreams and suspects.
#[derive(Debug, Clone, Default)]
pub struct StateView {
    /// Never decreases.
    revision: Revision,
    document: Arc<CheckedDocument>,
    /// The newest known incarnation of each upstream.
    upstreams: Arc<IndexMap<UpstreamId, UpstreamRecord>>,
    /// Complete list of suspects and refused fingerprints.
    suspects: Arc<Vec<SuspectRecord>>,
}

impl StateView {
    /// Revision of the document; 0 before the first one.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Document in force; empty before the first one.
    pub fn document(&self) -> &CheckedDocument {
        &self.document
    }

    /// Iterates over the upstreams of all services.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.upstreams.values()
    }

    /// Record of an upstream; `None` if the upstream has left or its agent has another incarnation.
    pub fn upstream(&self, id: &UpstreamId, incarnation: u64) -> Option<&UpstreamRecord> {
        let record = self.upstreams.get(id)?;
        (record.incarnation == incarnation).then_some(record)
    }

    /// Complete list of suspects and refused fingerprints.
    pub fn suspects(&self) -> &[SuspectRecord] {
        &self.suspects
    }

    /// First service that has the model and that the organisation may call.
    pub fn service_of_model(
        &self,
        organisation: &OrganisationConfig,
        model: &str,
    ) -> Option<&ServiceConfig> {
        self.services_of(organisation)
            .find(|service| service.models.iter().any(|name| name == model))
    }

    /// Services that an organisation may call.
    pub fn services_of(
        &self,
        organisation: &OrganisationConfig,
    ) -> impl Iterator<Item = &ServiceConfig> {
        let services = self.document.as_document().services.iter();
        services.filter(|service| CheckedDocument::may_call(organisation, &service.name))
    }

    fn set_document(
        &mut self,
        revision: Revision,
        document: ConfigDocument,
    ) -> Result<(), FrameFault> {
        let checked = if revision == Revision::default() {
            CheckedDocument::default()
        } else {
            CheckedDocument::try_from(document).map_err(|errors| {
                let first = errors.first();
                let reason = first.map(|error| format!("{}: {}", error.path, error.reason));
                FrameFault::InvalidDocument {
                    reason: reason.unwrap_or_default(),
                }
            })?
        };
        self.document = Arc::new(checked);
        self.revision = revision;
        Ok(())
    }

    fn apply_delta(
        &mut self,
        base: Revision,
        revision: Revision,
        delta: &DocumentDelta,
    ) -> Result<(), FrameFault> {
        if revision <= self.revision {
            return Ok(());
        }
        if base != self.revision {
            return GapSnafu {
                base,
                in_force: self.revision,
            }
            .fail();
        }
        let document = self.document.apply(delta).map_err(|error| {
            let reason = error.to_string();
            FrameFault::InvalidDocument { reason }
        })?;
        self.document = Arc::new(document);
        self.revision = revision;
        Ok(())
    }

    fn update_upstreams(&mut self, updated: Vec<UpstreamRecord>, removed: &[UpstreamId]) {
        let table = Arc::make_mut(&mut self.upstreams);
        for id in removed {
            table.swap_remove(id);
        }
        for record in updated {
            let known = table.get(&record.upstream);
            if known.is_some_and(|known| known.incarnation > record.incarnation) {
                continue;
            }
            table.insert(record.upstream.clone(), record);
        }
    }
}

/// State that all requests of an entry share. A request keeps the [`StateView`] that it started
/// with; a change replaces the view for later requests.
#[derive(Debug)]
pub struct EntryState {
    /// Lock order: each lock is taken alone and never held across an await.
    view: RwLock<Arc<StateView>>,
    freshness: Mutex<FreshnessLease>,
}

impl EntryState {
    /// Creates an empty state. After a ping was confirmed, the state is fresh for `lease`, counted
    /// from the time at which that ping was sent.
    pub fn new(lease: Duration, ping_interval: Duration) -> Self {
        let settings = FreshnessSettings {
            lease,
            ping_interval,
            ..FreshnessSettings::default()
        };
        Self {
            view: RwLock::default(),
            freshness: Mutex::new(FreshnessLease::new(settings)),
        }
    }

    /// Current view.
    pub fn view(&self) -> Arc<StateView> {
        Arc::clone(&self.view.read().expect("no holder of the view lock panics"))
    }

    /// Applies a frame of the subscription.
    ///
    /// # Errors
    ///
    /// Returns [`FrameFault`] if the frame does not match the revision in force or its document is
    /// invalid; the state is then unchanged.
    pub fn apply(&self, frame: SubscriptionFrame) -> Result<(), FrameFault> {
        let mut view = StateView::clone(&self.view());
        match frame {
            SubscriptionFrame::Snapshot {
                document,
                revision,
                suspects,
                upstreams,
            } => {
                let offered = Revision(revision);
                if offered < view.revision {
                    return LaggingSnafu {
                        offered,
                        in_force: view.revision,
                    }
                    .fail();
                }
                view.set_document(offered, document)?;
                view.upstreams = Arc::default();
                view.update_upstreams(upstreams, &[]);
                view.suspects = Arc::new(suspects);
            }
            SubscriptionFrame::Document {
                base_revision,
                delta,
                revision,
            } => view.apply_delta(Revision(base_revision), Revision(revision), &delta)?,
            SubscriptionFrame::Upstreams { removed, updated } => {
                view.update_upstreams(updated, &removed);
            }
            SubscriptionFrame::Suspects { records } => view.suspects = Arc::new(records),
            SubscriptionFrame::Heartbeat => return Ok(()),
        }
        *self
            .view
            .write()
            .expect("no holder of the view lock panics") = Arc::new(view);
        Ok(())
    }

    /// Starts a ping and returns its number; `None` if the ping interval has not passed yet. The
    /// message must be sent after this call, because `now` counts as its send time.
    pub fn next_ping(&self, now: TimePoint) -> Option<PingNumber> {
        self.lease().next_ping(now)
    }

    /// Records the answer to a ping, which names the latest committed revision.
    ///
    /// Returns whether the answer extended the freshness lease. It does not if the revision in
    /// force is older, or the ping is unknown or not newer than the last confirmed one.
    pub fn confirm(&self, ping: PingNumber, revision: Revision) -> bool {
        let in_force = self.view().revision;
        in_force >= revision && self.lease().confirm(ping)
    }

    /// Whether requests with an API key may be accepted.
    pub fn is_fresh(&self, now: TimePoint) -> bool {
        self.lease().is_fresh(now)
    }

    /// End of the freshness lease; `None` before the first confirmation.
    pub fn fresh_until(&self) -> Option<TimePoint> {
        self.lease().valid_until()
    }

    fn lease(&self) -> std::sync::MutexGuard<'_, FreshnessLease> {
        self.freshness
            .lock()
            .expect("no holder of the lease lock panics")
    }
}
