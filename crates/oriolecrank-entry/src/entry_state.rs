//! State that an entry has in force.

use std::sync::{Arc, RwLock};
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{SubscriptionFrame, UpstreamPhase, UpstreamRecord};
use oriolecrank_schema::document::{
    ConfigDocument, KeyDigest, OrganisationId, ServiceConfig, ServiceId, UpstreamId,
};

/// One consistent view of configuration and upstreams.
#[derive(Debug, Clone, Default)]
pub struct StateView {
    /// Revision of the document.
    pub revision: u64,
    keys: IndexMap<String, OrganisationId>,
    services: IndexMap<ServiceId, ServiceConfig>,
    models: IndexMap<String, ServiceId>,
    upstreams: IndexMap<UpstreamId, UpstreamRecord>,
    /// Send time of the newest ping that confirmed the state.
    confirmed_at: Option<TimePoint>,
}

impl StateView {
    /// Organisation of a key.
    pub fn organisation(&self, digest: &KeyDigest) -> Option<&OrganisationId> {
        self.keys.get(&digest.0)
    }

    /// Service that serves a model.
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceConfig> {
        self.services.get(self.models.get(model)?)
    }

    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.get(&ServiceId(name.to_owned()))
    }

    /// Names of all models.
    pub fn models(&self) -> impl Iterator<Item = &str> {
        self.models.keys().map(String::as_str)
    }

    /// Upstreams of a service that take new work.
    pub fn upstreams(&self, service: &ServiceId) -> impl Iterator<Item = &UpstreamRecord> {
        let ready = |record: &&UpstreamRecord| record.phase == UpstreamPhase::Ready;
        self.upstreams
            .values()
            .filter(move |record| record.service == *service)
            .filter(ready)
    }

    /// Whether the state was confirmed within the freshness lease.
    pub fn is_fresh(&self, lease: Duration, now: TimePoint) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed| now.since(confirmed) <= lease)
    }

    fn set_document(&mut self, revision: u64, document: &ConfigDocument) {
        self.revision = revision;
        self.keys.clear();
        self.services.clear();
        self.models.clear();
        for organisation in &document.organisations {
            for key in &organisation.keys {
                self.keys
                    .insert(key.digest.0.clone(), organisation.name.clone());
            }
        }
        for service in &document.services {
            for model in &service.models {
                self.models.insert(model.clone(), service.name.clone());
            }
            self.services.insert(service.name.clone(), service.clone());
        }
    }

    fn set_upstreams(&mut self, updated: Vec<UpstreamRecord>, removed: &[UpstreamId]) {
        for id in removed {
            self.upstreams.swap_remove(id);
        }
        for record in updated {
            self.upstreams.insert(record.upstream.clone(), record);
        }
    }
}

/// State shared by all requests of an entry. Requests hold a view; changes replace it.
#[derive(Debug, Default)]
pub struct EntryState {
    /// Lock order: locked alone and never across an await.
    view: RwLock<Arc<StateView>>,
}

impl EntryState {
    /// Present view.
    pub fn view(&self) -> Arc<StateView> {
        Arc::clone(&self.view.read().expect("no holder of the view lock panics"))
    }

    /// Takes a frame of the subscription into force.
    pub fn apply(&self, frame: SubscriptionFrame) {
        let mut view = StateView::clone(&self.view());
        match frame {
            SubscriptionFrame::Snapshot {
                document,
                revision,
                upstreams,
                ..
            } => {
                // An older snapshot of a lagging instance must not revert the configuration.
                if revision < view.revision {
                    return;
                }
                view.set_document(revision, &document);
                view.upstreams.clear();
                view.set_upstreams(upstreams, &[]);
            }
            SubscriptionFrame::Upstreams { removed, updated } => {
                view.set_upstreams(updated, &removed);
            }
            _ => return,
        }
        self.replace(view);
    }

    /// A ping that was sent at `sent_at` was answered with the committed `revision`.
    pub fn confirm(&self, revision: u64, sent_at: TimePoint) {
        let mut view = StateView::clone(&self.view());
        if view.revision < revision || view.confirmed_at >= Some(sent_at) {
            return;
        }
        view.confirmed_at = Some(sent_at);
        self.replace(view);
    }

    fn replace(&self, view: StateView) {
        *self
            .view
            .write()
            .expect("no holder of the view lock panics") = Arc::new(view);
    }
}
