//! Validated settings of a control instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::settings_file::{self, SettingsError};
use oriolecrank_net::{ClusterSecret, settings_file::invalid_value};
use oriolecrank_schema::settings::ControlSettings;

/// An initial voter of the control group, as named in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InitialMember {
    /// Name of the instance.
    pub instance: String,
    /// Its listen address for other processes.
    pub address: SocketAddr,
}

/// Validated settings of a control instance, with the cluster secret loaded.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// Name of the cluster; messages of other clusters are refused.
    pub cluster: String,
    /// Name of this instance. Its identity in the group can contain a random suffix besides the
    /// name.
    pub instance: String,
    /// Listen address for other processes.
    pub listen: SocketAddr,
    /// Listen address for health checks, readiness checks and metrics.
    pub operator_listen: SocketAddr,
    /// Secret that all processes of the cluster share.
    pub secret: ClusterSecret,
    /// Folder for the log, the snapshots and the identity of this instance.
    pub data_folder: PathBuf,
    /// Initial voters of the group. Used to found the group if the data folder is empty and this
    /// instance is one of them; an instance that is not a member sends them its request to join.
    pub members: Vec<InitialMember>,
    /// Address of the platform interface. Without one, upstreams are neither started nor stopped.
    pub platform: Option<SocketAddr>,
    /// Address of the usage interface. Without one, usage windows are closed but not reported.
    pub usage: Option<SocketAddr>,
    /// Time limit of a graceful shutdown; requests still running afterwards are cut off.
    pub shutdown_limit: Duration,
    /// Output format of the log.
    pub log_format: LogFormat,
}

impl TryFrom<ControlSettings> for ControlOptions {
    type Error = SettingsError;

    fn try_from(settings: ControlSettings) -> Result<Self, SettingsError> {
        let secret = ClusterSecret::read(settings.secret_file.as_ref())
            .map_err(|error| invalid_value("secret_file", error.to_string()))?;
        let mut members = Vec::new();
        for member in settings.members {
            let address = settings_file::parse_address("members.address", &member.address)?;
            members.push(InitialMember {
                instance: member.instance,
                address,
            });
        }
        let platform = optional_address("platform", settings.platform.as_deref())?;
        let usage = optional_address("usage", settings.usage.as_deref())?;
        Ok(Self {
            cluster: settings.cluster,
            instance: settings.instance,
            listen: settings_file::parse_address("listen", &settings.listen)?,
            operator_listen: settings_file::parse_address(
                "operator_listen",
                &settings.operator_listen,
            )?,
            secret,
            data_folder: settings.data_folder.into(),
            members,
            platform,
            usage,
            shutdown_limit: Duration::from_millis(settings.shutdown_ms),
            log_format: settings.log_format.into(),
        })
    }
}

fn optional_address(
    key: &'static str,
    text: Option<&str>,
) -> Result<Option<SocketAddr>, SettingsError> {
    text.map(|text| settings_file::parse_address(key, text))
        .transpose()
}
