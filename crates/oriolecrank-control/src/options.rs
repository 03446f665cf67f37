//! Checked settings of a control instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::settings_file::{self, SettingsError};
use oriolecrank_net::{ClusterSecret, settings_file::invalid_value};
use oriolecrank_schema::settings::ControlSettings;

/// A control instance named in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InitialMember {
    /// Identity of the instance.
    pub instance: String,
    /// Address for other processes.
    pub address: SocketAddr,
}

/// Settings of a control instance.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// Name of the cluster.
    pub cluster: String,
    /// Identity of this instance.
    pub instance: String,
    /// Address for other processes.
    pub listen: SocketAddr,
    /// Address of the operator listener.
    pub operator_listen: SocketAddr,
    /// Secret of the cluster.
    pub secret: ClusterSecret,
    /// Folder for durable state.
    pub data_folder: PathBuf,
    /// Initial voters, used only when the data folder is empty.
    pub members: Vec<InitialMember>,
    /// Address of the platform interface.
    pub platform: Option<SocketAddr>,
    /// Address of the usage interface.
    pub usage: Option<SocketAddr>,
    /// Longest graceful shutdown.
    pub shutdown_limit: Duration,
    /// Format of log lines.
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
