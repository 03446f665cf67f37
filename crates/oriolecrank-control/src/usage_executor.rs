//! Closes usage windows and sends them to the usage interface.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oriolecrank_consensus::Term;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, CommandOutcome, Query, QueryResult, UsageWindow};
use oriolecrank_schema::event::LogEvent;
use oriolecrank_state::ClusterState;
use tokio::time::{MissedTickBehavior, interval};

use crate::action_authority::{
    AuthorityWait, LeaderPermit, TermGuard, TimeSource, WaitSettings, WaitState, WritePermit as _,
};
use crate::cluster_label::ClusterLabel;
use crate::command_replica::CommandReplica;
use crate::control_metrics::ControlMetrics;
use crate::shared_state::SharedState;
use crate::usage_client::{ReportAnswer, UsageClient, UsageReport};

/// Interval at which the executor checks whether a window is to be closed or reported.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of windows that are sent in one round, oldest first, so that a long backlog does
/// not delay the close of the open window.
const WINDOWS_PER_ROUND: usize = 16;

/// Timing of a [`UsageExecutor`].
#[derive(Debug, Clone)]
pub struct UsageSettings {
    /// Wait of a new leader before it sends reports.
    pub wait: WaitSettings,
    /// Wait before a window is sent again for the first time; it doubles with each attempt.
    pub initial_backoff: Duration,
    /// Longest wait before a window is sent again. Several attempts fit into one window length.
    pub max_backoff: Duration,
    /// Shortest remaining authority with which a report is sent; with less, the answer would not
    /// arrive in time.
    pub min_remaining_authority: Duration,
    /// Longest interval between attempts to close the first window, whose opening time cannot be
    /// queried. Every later window opened when the previous one was closed.
    pub first_close_interval: Duration,
}

impl Default for UsageSettings {
    fn default() -> Self {
        Self {
            wait: WaitSettings::default(),
            initial_backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(10),
            min_remaining_authority: Duration::from_millis(50),
            first_close_interval: Duration::from_secs(5),
        }
    }
}

/// Estimates the current log time.
///
/// The log time of the state advances only with log entries, so the local time since the last
/// proposal of this instance is added to it.
#[derive(Debug, Clone, Copy)]
struct LogClock {
    /// Log time after the last proposal.
    log_time: TimePoint,
    /// Local time at which that proposal was made.
    at: TimePoint,
}

impl LogClock {
    fn log_time(self, now: TimePoint) -> TimePoint {
        self.log_time + now.since(self.at)
    }
}

#[derive(Debug, Clone, Copy)]
struct ReportBackoff {
    attempts: u32,
    next_at: TimePoint,
}

/// Progress of one term.
#[derive(Debug)]
struct TermProgress {
    term: Term,
    clock: LogClock,
    /// Earliest time of the next attempt to close the window.
    close_at: TimePoint,
    /// Backoffs by window id.
    backoffs: IndexMap<u64, ReportBackoff>,
    /// Ids of the windows that were counted as late.
    late: IndexSet<u64>,
}

/// Closes usage windows and reports them while this instance leads.
#[derive(Debug)]
pub struct UsageExecutor<R, T, U> {
    guard: TermGuard<R, T>,
    replica: Arc<R>,
    state: Arc<SharedState>,
    time: T,
    /// Client for the usage interface; without one, windows are closed and kept in the state.
    client: Option<U>,
    cluster: ClusterLabel,
    metrics: ControlMetrics,
    settings: UsageSettings,
    wait: AuthorityWait,
    progress: Option<TermProgress>,
}

impl<R: CommandReplica, T: TimeSource, U: UsageClient> UsageExecutor<R, T, U> {
    /// Creates an executor. Without a `client`, windows are closed and kept in the state.
    pub fn new(
        replica: Arc<R>,
        state: Arc<SharedState>,
        time: T,
        client: Option<U>,
        cluster: ClusterLabel,
        metrics: ControlMetrics,
        settings: UsageSettings,
    ) -> Self {
        Self {
            guard: TermGuard::new(Arc::clone(&replica), time.clone()),
            replica,
            state,
            time,
            client,
            cluster,
            metrics,
            wait: AuthorityWait::new(settings.wait.clone()),
            settings,
            progress: None,
        }
    }

    /// Closes and reports windows; never returns.
    pub async fn run(&mut self) {
        let mut ticks = interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.round().await;
        }
    }

    /// Closes the open window once its length has passed, and reports the windows that are due.
    pub async fn round(&mut self) {
        let now = self.time.now();
        let wait = self.wait.observe(self.replica.authority(now), now);
        let Some(permit) = self.guard.permit().await else {
            return;
        };
        self.close_window(permit.term()).await;
        self.count_late_windows();
        if wait != WaitState::Open(permit.term()) {
            return;
        }
        for window in self.due_windows() {
            if !self.report(&window, &permit).await {
                return;
            }
        }
    }

    async fn close_window(&mut self, term: Term) {
        let now = self.time.now();
        let known = self.progress.as_ref();
        if known.is_some_and(|known| known.term == term && now < known.close_at) {
            return;
        }
        // The first proposal of a term also brings the log time of the state up to date.
        let min_wait = match self.replica.propose(Command::CloseWindow).await {
            CommandOutcome::NotLeader { .. } | CommandOutcome::Unavailable => return,
            CommandOutcome::Refused { reason } => {
                let event = LogEvent::WindowNotClosed.number();
                tracing::warn!(
                    event,
                    reason,
                    "the usage window cannot be closed and stays open; closing is tried again"
                );
                self.settings.max_backoff
            }
            _ => self.settings.initial_backoff,
        };
        let (log_time, opened_ms, length) = self.state.read(|state| {
            let opened_ms = last_close_ms(state);
            (state.log_time(), opened_ms, window_length(state))
        });
        let left = match opened_ms {
            Some(opened_ms) => (TimePoint::from_millis(opened_ms) + length).since(log_time),
            None => length.min(self.settings.first_close_interval),
        };
        let left = left.max(min_wait);
        let clock = LogClock { log_time, at: now };
        let close_at = now + left;
        match &mut self.progress {
            Some(progress) if progress.term == term => {
                progress.clock = clock;
                progress.close_at = close_at;
            }
            progress => {
                *progress = Some(TermProgress {
                    term,
                    clock,
                    close_at,
                    backoffs: IndexMap::new(),
                    late: IndexSet::new(),
                });
            }
        }
    }

    /// Counts windows that were not accepted within one window length after their close. Without a
    /// usage interface no window is late.
    fn count_late_windows(&mut self) {
        let (Some(progress), true) = (&mut self.progress, self.client.is_some()) else {
            return;
        };
        let log_time = progress.clock.log_time(self.time.now());
        let late: Vec<u64> = self.state.read(|state| {
            let length = window_length(state);
            let is_late = |window: &&UsageWindow| {
                log_time > TimePoint::from_millis(window.closed_ms) + length
            };
            let windows = state.unreported_windows().filter(is_late);
            windows.map(|window| window.window_id).collect()
        });
        for window_id in late {
            if progress.late.insert(window_id) {
                self.metrics.count_late_window();
                let event = LogEvent::WindowLate.number();
                tracing::warn!(
                    event,
                    window_id,
                    "usage window not accepted within one window length after its close"
                );
            }
        }
    }

    /// The oldest windows that may be sent now.
    fn due_windows(&mut self) -> Vec<UsageWindow> {
        let (Some(progress), true) = (&mut self.progress, self.client.is_some()) else {
            return Vec::new();
        };
        let now = self.time.now();
        self.state.read(|state| {
            let ids: IndexSet<u64> = state
                .unreported_windows()
                .map(|window| window.window_id)
                .collect();
            progress.backoffs.retain(|id, _| ids.contains(id));
            let is_due = |window: &&UsageWindow| {
                let backoff = progress.backoffs.get(&window.window_id);
                backoff.is_none_or(|backoff| now >= backoff.next_at)
            };
            let due = state.unreported_windows().filter(is_due);
            due.take(WINDOWS_PER_ROUND).cloned().collect()
        })
    }

    /// Reports one window; `false` if too little authority remains.
    async fn report(&mut self, window: &UsageWindow, permit: &LeaderPermit<R, T>) -> bool {
        let (Some(client), Some(progress)) = (&self.client, &mut self.progress) else {
            return false;
        };
        let window_id = window.window_id;
        let now = self.time.now();
        let backoff = progress.backoffs.get(&window_id);
        let remaining = permit.remaining();
        if remaining.is_none_or(|left| left < self.settings.min_remaining_authority) {
            return false;
        }
        let attempts = backoff.map_or(0, |backoff| backoff.attempts);
        let factor = 2_u32.saturating_pow(attempts.min(16));
        let wait = self.settings.initial_backoff.saturating_mul(factor);
        let backoff = ReportBackoff {
            attempts: attempts + 1,
            next_at: now + wait.min(self.settings.max_backoff),
        };
        progress.backoffs.insert(window_id, backoff);
        let report = UsageReport::new(&self.cluster, window);
        let reason = match client.report(&report, permit).await {
            Ok(ReportAnswer::Accepted) => {
                self.commit_report(window_id).await;
                return true;
            }
            Ok(ReportAnswer::Refused { reason }) => reason,
            Err(error) => error.to_string(),
        };
        let event = LogEvent::WindowNotAccepted.number();
        tracing::warn!(
            event,
            window_id,
            reason,
            "usage window not accepted; it is sent again with the same bytes"
        );
        true
    }

    /// Commits that a window was accepted. If that fails, the window is sent again with the same
    /// bytes.
    async fn commit_report(&self, window_id: u64) {
        let command = Command::WindowReported { window_id };
        if self.replica.propose(command).await == CommandOutcome::Accepted {
            self.metrics.count_reported_window();
            let event = LogEvent::WindowReported.number();
            tracing::info!(event, window_id, "usage window reported");
        }
    }
}

fn window_length(state: &ClusterState) -> Duration {
    Duration::from_secs(state.document().as_document().usage_window_s)
}

/// Log time, in milliseconds, at which the last window was closed and the open one began; `None`
/// before the first close.
fn last_close_ms(state: &ClusterState) -> Option<u64> {
    let QueryResult::Summary { summary } = state.query(&Query::Summary) else {
        return None;
    };
    let query = Query::Windows {
        after_window_id: summary.open_window_id.saturating_sub(2),
        limit: 1,
        unreported: false,
    };
    match state.query(&query) {
        QueryResult::Windows { windows, .. } => windows.last().map(|window| window.closed_ms),
        _ => None,
    }
}
