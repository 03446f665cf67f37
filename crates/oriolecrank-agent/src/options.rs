//! Validated settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use oriolecrank_net::ClusterSecret;
use oriolecrank_net::intake::IntakeSettings;
use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::settings_file::{self, SettingsError, invalid_value};
use oriolecrank_schema::control::UpstreamRole;
use oriolecrank_schema::settings::{AgentSettings, AgentSettingsKind};

/// Validated settings of an agent, with the cluster secret loaded.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Name of the upstream, unique in the cluster. A replacement process uses the same name.
    pub upstream: String,
    /// Region of the upstream.
    pub region: String,
    /// Failure domain of the upstream.
    pub failure_domain: String,
    /// Listen address for entries and control instances.
    pub listen: SocketAddr,
    /// Listen address for health checks, readiness checks and metrics.
    pub operator_listen: SocketAddr,
    /// Secret that all processes of the cluster share.
    pub secret: ClusterSecret,
    /// Addresses of control instances; never empty.
    pub control: Vec<SocketAddr>,
    /// Name of the service that the upstream provides.
    pub service: String,
    /// Role of the upstream at startup; orders may change it later.
    pub role: UpstreamRole,
    /// Model loaded at startup; required for engines.
    pub model: Option<String>,
    /// Version of the model, or of a plain service.
    pub version: Option<String>,
    /// Address at which the agent calls the upstream.
    pub upstream_address: SocketAddr,
    /// Engine memory in blocks of about 1,000 tokens; for a plain service, the number of concurrent
    /// calls. At least 1.
    pub capacity_blocks: u64,
    /// Whether the upstream itself refuses orders with outdated fencing numbers.
    pub checks_fencing: bool,
    /// Time limit of a graceful shutdown; answers still running afterwards are cut off.
    pub shutdown_limit: Duration,
    /// Resources of the process, from which the limits for entries follow.
    pub intake: IntakeSettings,
    /// Output format of the log.
    pub log_format: LogFormat,
}

impl TryFrom<AgentSettings> for AgentOptions {
    type Error = SettingsError;

    fn try_from(settings: AgentSettings) -> Result<Self, SettingsError> {
        let secret = ClusterSecret::read(settings.secret_file.as_ref())
            .map_err(|error| invalid_value("secret_file", error.to_string()))?;
        let role = match settings.kind {
            AgentSettingsKind::Engine => UpstreamRole::Mixed,
            AgentSettingsKind::Plain => UpstreamRole::Plain,
        };
        if role == UpstreamRole::Mixed && settings.model.is_none() {
            return Err(invalid_value(
                "model",
                "an engine requires the name of its model",
            ));
        }
        if settings.capacity_blocks == 0 {
            return Err(invalid_value(
                "capacity_blocks",
                "must be at least 1, found 0",
            ));
        }
        Ok(Self {
            upstream: settings.upstream,
            region: settings.region,
            failure_domain: settings.failure_domain,
            listen: settings_file::parse_address("listen", &settings.listen)?,
            operator_listen: settings_file::parse_address(
                "operator_listen",
                &settings.operator_listen,
            )?,
            secret,
            control: settings_file::parse_addresses("control", &settings.control)?,
            service: settings.service,
            role,
            model: settings.model,
            version: settings.version,
            upstream_address: settings_file::parse_address(
                "upstream_address",
                &settings.upstream_address,
            )?,
            capacity_blocks: settings.capacity_blocks,
            checks_fencing: settings.checks_fencing,
            shutdown_limit: Duration::from_millis(settings.shutdown_ms),
            intake: settings.intake.unwrap_or_default().try_into()?,
            log_format: settings.log_format.into(),
        })
    }
}
