//! Demands of all entries at a control instance, by service.

use indexmap::IndexMap;
use oriolecrank_policy::fair_share::{FairShareSettings, WorkDemand, WorkLedger};
use oriolecrank_routing::{EntryRun, ServiceName};
use oriolecrank_schema::TimePoint;

use super::share_messages::{NamedShare, ServiceDemand, ServiceShares};

/// Ledger of each service with a reported demand.
#[derive(Debug, Default)]
pub(crate) struct WorkTable {
    settings: FairShareSettings,
    services: IndexMap<ServiceName, WorkLedger>,
}

impl WorkTable {
    /// An empty table.
    pub(crate) fn new(settings: FairShareSettings) -> Self {
        Self {
            settings,
            services: IndexMap::new(),
        }
    }

    /// Replaces the demands of an entry.
    pub(crate) fn record(&mut self, run: &EntryRun, demands: Vec<ServiceDemand>, now: TimePoint) {
        for (service, ledger) in &mut self.services {
            if !demands.iter().any(|demand| demand.service == *service) {
                ledger.record(run.run, WorkDemand::default(), now);
            }
        }
        self.services.retain(|_, ledger| !ledger.is_empty());
        for demand in demands {
            let settings = self.settings;
            let ledger = self.services.entry(demand.service.clone());
            let ledger = ledger.or_insert_with(|| WorkLedger::new(settings));
            ledger.record(run.run, demand.into(), now);
        }
    }

    /// Shares of all services with a demand.
    pub(crate) fn shares(&mut self, now: TimePoint) -> Vec<ServiceShares> {
        let services = self.services.iter_mut();
        let shares = services.map(|(service, ledger)| ServiceShares {
            service: service.clone(),
            exceeding: ledger.shares(now).iter().map(NamedShare::from).collect(),
        });
        shares.collect()
    }
}
