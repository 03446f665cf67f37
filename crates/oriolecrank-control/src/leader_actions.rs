//! Runs the executors through which the leader acts outside the replicated log.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_net::{BootClock, HttpClient};
use oriolecrank_schema::control::ControlMember;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::capacity_executor::CapacityExecutor;
use crate::capacity_settings::{CapacitySettings, CapacitySources};
use crate::cluster_label::ClusterLabel;
use crate::command_replica::CommandReplica;
use crate::control_metrics::{ControlMetrics, GaugeValues};
use crate::leader_tables::LeaderTables;
use crate::options::ControlOptions;
use crate::order_executor::{OrderExecutor, OrderSettings};
use crate::platform_client::HttpPlatform;
use crate::platform_executor::{PlatformExecutor, PlatformSettings};
use crate::shared_state::SharedState;
use crate::usage_client::HttpUsage;
use crate::usage_executor::{UsageExecutor, UsageSettings};

/// Interval at which the gauge metrics are updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Executors of a control instance; they act outside the log only while the instance leads.
#[derive(Debug)]
pub struct LeaderActions<R> {
    replica: Arc<R>,
    state: Arc<SharedState>,
    tables: Arc<LeaderTables<R>>,
    metrics: ControlMetrics,
    orders: OrderExecutor<R, BootClock>,
    platform: Option<PlatformExecutor<R, BootClock, HttpPlatform>>,
    usage: UsageExecutor<R, BootClock, HttpUsage>,
    capacity: CapacityExecutor<R, BootClock>,
}

impl<R: CommandReplica> LeaderActions<R> {
    /// Creates the executors with the addresses in `options`. Without a platform address, no
    /// upstream is started or stopped; without a usage address, usage windows are closed and kept.
    pub fn new(
        options: &ControlOptions,
        replica: &Arc<R>,
        state: &Arc<SharedState>,
        tables: &Arc<LeaderTables<R>>,
        metrics: &ControlMetrics,
    ) -> Self {
        let cluster = ClusterLabel::new(&options.cluster);
        let orders = OrderExecutor::new(
            Arc::clone(replica),
            Arc::clone(state),
            BootClock,
            options.secret.clone(),
            metrics.clone(),
            OrderSettings::default(),
        );
        let platform = options.platform.map(|address| {
            PlatformExecutor::new(
                Arc::clone(replica),
                Arc::clone(state),
                BootClock,
                HttpPlatform::new(address, HttpClient::default()),
                cluster.clone(),
                metrics.clone(),
                PlatformSettings::default(),
            )
        });
        let usage = UsageExecutor::new(
            Arc::clone(replica),
            Arc::clone(state),
            BootClock,
            options.usage.map(HttpUsage::new),
            cluster,
            metrics.clone(),
            UsageSettings::default(),
        );
        let sources = CapacitySources {
            inputs: tables.inputs(),
            orders: orders.outcomes(),
            starts: platform.as_ref().map(PlatformExecutor::outcomes),
        };
        let capacity = CapacityExecutor::new(
            Arc::clone(replica),
            Arc::clone(state),
            BootClock,
            sources,
            metrics.clone(),
            CapacitySettings::default(),
        );
        Self {
            replica: Arc::clone(replica),
            state: Arc::clone(state),
            tables: Arc::clone(tables),
            metrics: metrics.clone(),
            orders,
            platform,
            usage,
            capacity,
        }
    }

    /// Runs all executors, each in its own task, so that slow planning does not delay orders. Does
    /// not return; the tasks end when the future is dropped.
    pub async fn run(self) {
        let Self {
            replica,
            state,
            tables,
            metrics,
            mut orders,
            platform,
            mut usage,
            mut capacity,
        } = self;
        let mut tasks = JoinSet::new();
        tasks.spawn(async move { orders.run().await });
        tasks.spawn(async move { usage.run().await });
        tasks.spawn(async move { capacity.run().await });
        if let Some(mut platform) = platform {
            tasks.spawn(async move { platform.run().await });
        }
        tasks.spawn(async move {
            let mut ticks = interval(GAUGE_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                metrics.set_gauges(&current_gauge_values(&*replica, &state, &tables));
            }
        });
        // The tasks run until they are aborted, so `join_next` returns only after a panic, which is
        // propagated.
        if let Some(Err(error)) = tasks.join_next().await
            && error.is_panic()
        {
            std::panic::resume_unwind(error.into_panic());
        }
    }
}

fn current_gauge_values<R: CommandReplica>(
    replica: &R,
    state: &SharedState,
    tables: &LeaderTables<R>,
) -> GaugeValues {
    let authority = replica.authority(BootClock.now());
    let members: Vec<ControlMember> = replica.members();
    let values = state.read(|state| GaugeValues {
        leader: authority.is_some(),
        term: authority.map_or(0, |authority| authority.term.0),
        revision: state.revision().0,
        applied_index: state.applied_index().0,
        upstreams: state.members().count(),
        members: members.len(),
        lowest_in_force: state.revision().0,
        orders_in_flight: state.orders_in_flight().count(),
        intents: state.intents().count(),
        unreported_windows: state.unreported_windows().count(),
    });
    let lowest = tables
        .in_force(values.revision)
        .and_then(|report| report.lowest);
    GaugeValues {
        lowest_in_force: lowest.unwrap_or(values.revision),
        ..values
    }
}
