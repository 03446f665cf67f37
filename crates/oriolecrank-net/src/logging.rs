//! Set-up of log output.

use std::time::Duration;

use oriolecrank_schema::event::LogEvent;
use oriolecrank_schema::settings::{
    AgentSettingsLogFormat, ControlSettingsLogFormat, EntrySettingsLogFormat,
};
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;
use tracing_subscriber::{EnvFilter, Layer as _};

use crate::log_budget::{BudgetFilter, BudgetSettings, take_dropped_lines};
use crate::lossy_output::LossyOutput;

/// Interval between reports of dropped lines. The reports are not urgent, and a longer interval
/// causes fewer wake-ups.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// One human-readable line for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}

/// Starts writing log lines to standard error. `RUST_LOG` selects levels; the default is `info`.
///
/// A second call has no effect.
pub fn start(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // An error means that a subscriber is already installed; it stays in place.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// Starts writing one JSON object for each event to standard output.
///
/// Lines that exceed `budget` are dropped. So are lines that standard output cannot accept
/// immediately, so that logging never delays a request. [`report_dropped_lines`] logs how many were
/// dropped.
pub fn start_stdout(budget: BudgetSettings) {
    let levels = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(LossyOutput::default)
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_filter(BudgetFilter::new(budget));
    // An error means that a subscriber is already installed; it stays in place.
    let _ = tracing_subscriber::registry()
        .with(levels)
        .with(lines)
        .try_init();
}

/// Runs until cancelled. Every five seconds, logs how many lines were dropped since the last
/// report, if any.
pub async fn report_dropped_lines() {
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        let dropped = take_dropped_lines();
        if dropped > 0 {
            let event = LogEvent::LinesDropped.number();
            tracing::warn!(event, dropped, "log lines were dropped");
        }
    }
}

impl From<AgentSettingsLogFormat> for LogFormat {
    fn from(format: AgentSettingsLogFormat) -> Self {
        match format {
            AgentSettingsLogFormat::Text => Self::Text,
            AgentSettingsLogFormat::Json => Self::Json,
        }
    }
}

impl From<ControlSettingsLogFormat> for LogFormat {
    fn from(format: ControlSettingsLogFormat) -> Self {
        match format {
            ControlSettingsLogFormat::Text => Self::Text,
            ControlSettingsLogFormat::Json => Self::Json,
        }
    }
}

impl From<EntrySettingsLogFormat> for LogFormat {
    fn from(format: EntrySettingsLogFormat) -> Self {
        match format {
            EntrySettingsLogFormat::Text => Self::Text,
            EntrySettingsLogFormat::Json => Self::Json,
        }
    }
}
