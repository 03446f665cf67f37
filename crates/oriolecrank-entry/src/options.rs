//! Validated settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use oriolecrank_net::ClusterSecret;
use oriolecrank_net::intake::IntakeSettings;
use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::settings_file::{self, SettingsError, invalid_value};
use oriolecrank_schema::settings::EntrySettings;

/// Longest freshness lease, in milliseconds. A withdrawn key has to stop working within 4 s, and an
/// entry without contact to control accepts it until the lease ends.
const MAX_FRESHNESS_LEASE_MS: u64 = 3_500;

/// Validated settings of an entry, with the cluster secret loaded.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name of the instance, unique in the cluster.
    pub name: String,
    /// Region of the instance.
    pub region: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Listen address for callers.
    pub caller_listen: SocketAddr,
    /// Listen address for health checks, readiness checks and metrics.
    pub operator_listen: SocketAddr,
    /// Secret that all processes of the cluster share.
    pub secret: ClusterSecret,
    /// Addresses of control instances; never empty.
    pub control: Vec<SocketAddr>,
    /// Requests with an API key are refused when the newest confirmation of the state is older than
    /// this.
    pub freshness_lease: Duration,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time at shutdown during which the entry reports that it is not ready but still accepts
    /// connections.
    pub drain_notice: Duration,
    /// Time limit for unfinished answers after the listener was closed; answers still running
    /// afterwards are cut off.
    pub shutdown_limit: Duration,
    /// Resources of the process, from which the limits for callers follow.
    pub intake: IntakeSettings,
    /// Output format of the log.
    pub log_format: LogFormat,
}

impl TryFrom<EntrySettings> for EntryOptions {
    type Error = SettingsError;

    fn try_from(settings: EntrySettings) -> Result<Self, SettingsError> {
        let secret = ClusterSecret::read(settings.secret_file.as_ref())
            .map_err(|error| invalid_value("secret_file", error.to_string()))?;
        if settings.freshness_lease_ms > MAX_FRESHNESS_LEASE_MS {
            let reason =
                format!("must be at most {MAX_FRESHNESS_LEASE_MS}, to stop withdrawn keys in time");
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
            intake: settings.intake.unwrap_or_default().try_into()?,
            log_format: settings.log_format.into(),
        })
    }
}
