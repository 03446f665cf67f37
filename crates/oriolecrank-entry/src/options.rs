//! Checked settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use oriolecrank_net::ClusterSecret;
use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::settings_file::{self, SettingsError, invalid_value};
use oriolecrank_schema::settings::EntrySettings;

/// Longest freshness lease, in milliseconds: a withdrawn key has to stop working within 4 s.
const MAX_FRESHNESS_LEASE_MS: u64 = 3_500;

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name of the instance, unique.
    pub name: String,
    /// Region of the instance.
    pub region: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address of the operator listener.
    pub operator_listen: SocketAddr,
    /// Secret of the cluster.
    pub secret: ClusterSecret,
    /// Addresses of control instances; never empty.
    pub control: Vec<SocketAddr>,
    /// Keyed work is refused when the state is older.
    pub freshness_lease: Duration,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time between the fall of the readiness and the close of the listener at shutdown.
    pub drain_notice: Duration,
    /// Longest graceful shutdown.
    pub shutdown_limit: Duration,
    /// Format of log lines.
    pub log_format: LogFormat,
}

impl TryFrom<EntrySettings> for EntryOptions {
    type Error = SettingsError;

    fn try_from(settings: EntrySettings) -> Result<Self, SettingsError> {
        let secret = ClusterSecret::read(settings.secret_file.as_ref())
            .map_err(|error| invalid_value("secret_file", error.to_string()))?;
        if settings.freshness_lease_ms > MAX_FRESHNESS_LEASE_MS {
            let reason = format!("must be at most {MAX_FRESHNESS_LEASE_MS}");
            return Err(invalid_value("freshness_lease_ms", reason));
        }
        Ok(Self {
            name: settings.name,
            region: settings.region,
            failure_domain: settings.failure_domain,
            caller_listen: settings_file::parse_address("caller_listen", &settings.caller_listen)?,
            operator_listen: settings_file::parse_address(
                "operator_listen",
                &settings.operator_listen,
            )?,
            secret,
            control: settings_file::parse_addresses("control", &settings.control)?,
            freshness_lease: Duration::from_millis(settings.freshness_lease_ms),
            max_body_bytes: settings.max_body_bytes as usize,
            drain_notice: Duration::from_millis(settings.drain_notice_ms),
            shutdown_limit: Duration::from_millis(settings.shutdown_ms),
            log_format: settings.log_format.into(),
        })
    }
}
