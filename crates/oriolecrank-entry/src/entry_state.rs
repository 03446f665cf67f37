//! State that an entry has in force.

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

/// A frame that shows that the subscription has to be opened again, at another instance if there is
/// one.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum FrameFault {
    /// The control instance lags behind the revision in force.
    #[snafu(display("the instance is at revision {}, in force is {}", offered.0, in_force.0))]
    Lagging {
        /// Revision of the snapshot.
        offered: Revision,
        /// Revision in force, which stays.
        in_force: Revision,
    },
    /// Changes between the revision in force and a delta are missing.
    #[snafu(display("a delta from revision {} does not fit {}", base.0, in_force.0))]
    Gap {
        /// Revision that the delta belongs to.
        base: Revision,
        /// Revision in force, which stays.
        in_force: Revision,
    },
    /// The document is not valid for this version of the program.
    #[snafu(display("the document is not valid: {reason}"))]
    InvalidDocument {
        /// First error.
        reason: String,
    },
}

/// One consistent view of configuration, upstreams and suspects.
#[derive(Debug, Clone, Default)]
pub struct StateView {
    /// Never falls.
    revision: Revision,
    document: Arc<CheckedDocument>,
    /// Holds the newest known incarnation of each upstream.
    upstreams: Arc<IndexMap<UpstreamId, UpstreamRecord>>,
    /// All suspects and refused fingerprints.
    suspects: Arc<Vec<SuspectRecord>>,
}

impl StateView {
    /// Revision of the document.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Document in force.
    pub fn document(&self) -> &CheckedDocument {
        &self.document
    }

    /// All upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.upstreams.values()
    }

    /// An upstream, if this incarnation of its agent is still a member.
    pub fn upstream(&self, id: &UpstreamId, incarnation: u64) -> Option<&UpstreamRecord> {
        let record = self.upstreams.get(id)?;
        (record.incarnation == incarnation).then_some(record)
    }

    /// Suspects and refused fingerprints.
    pub fn suspects(&self) -> &[SuspectRecord] {
        &self.suspects
    }

    /// Service that serves a model to an organisation.
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

    fn set_upstreams(&mut self, updated: Vec<UpstreamRecord>, removed: &[UpstreamId]) {
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

/// State shared by all requests of an entry. Requests hold a view; changes replace it.
#[derive(Debug)]
pub struct EntryState {
    /// Lock order: each lock is taken alone and never held across an await.
    view: RwLock<Arc<StateView>>,
    freshness: Mutex<FreshnessLease>,
}

impl EntryState {
    /// Empty state, whose freshness lease lasts for `lease` after each confirmed ping.
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

    /// Present view.
    pub fn view(&self) -> Arc<StateView> {
        Arc::clone(&self.view.read().expect("no holder of the view lock panics"))
    }

    /// Takes a frame of the subscription into force.
    ///
    /// # Errors
    ///
    /// Returns [`FrameFault`] if the frame does not fit; the state then stays as it is.
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
                view.set_upstreams(upstreams, &[]);
                view.suspects = Arc::new(suspects);
            }
            SubscriptionFrame::Document {
                base_revision,
                delta,
                revision,
            } => view.apply_delta(Revision(base_revision), Revision(revision), &delta)?,
            SubscriptionFrame::Upstreams { removed, updated } => {
                view.set_upstreams(updated, &removed);
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

    /// Number of the ping to send now, if its time has come. Send it after this call.
    pub fn next_ping(&self, now: TimePoint) -> Option<PingNumber> {
        self.lease().next_ping(now)
    }

    /// A ping was answered with the latest committed revision.
    ///
    /// The answer counts only if that revision is in force here; returns whether it counted.
    pub fn confirm(&self, ping: PingNumber, revision: Revision) -> bool {
        let in_force = self.view().revision;
        in_force >= revision && self.lease().confirm(ping)
    }

    /// Whether keyed work may be accepted.
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
