//! Log output.

use oriolecrank_schema::settings::{
    AgentSettingsLogFormat, ControlSettingsLogFormat, EntrySettingsLogFormat,
};
use tracing_subscriber::EnvFilter;

use crate::lossy_output::LossyOutput;

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
    // An error means that a subscriber is already set, which is kept.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// Starts writing one JSON object for each event to standard output.
///
/// A line that a full pipe cannot take at once is dropped, so that logging never delays a request.
pub fn start_stdout() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(LossyOutput::default)
        .json()
        .flatten_event(true)
        .with_target(false);
    // An error means that a subscriber is already set, which is kept.
    let _ = builder.try_init();
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
