//! The processes of a run, their links, and the fake upstreams.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use oriolecrank_fakes::{EngineOptions, FakeEngine, FakeLedger, FakeServer};
use snafu::{ResultExt, Snafu};
use tempfile::TempDir;

use crate::fault_schedule::FaultSchedule;
use crate::faulty_proxy::FaultyProxy;
use crate::soak_process::{ProcessError, SoakProcess};

/// Number of members of the control group.
const CONTROL_INSTANCES: u16 = 3;

/// Number of entries.
pub(crate) const ENTRIES: u16 = 2;

/// Number of upstreams of each service.
const UPSTREAMS_PER_SERVICE: u16 = 2;

/// Number of processes of a run.
pub(crate) const PROCESSES: usize =
    (CONTROL_INSTANCES + ENTRIES + 2 * UPSTREAMS_PER_SERVICE) as usize;

/// Number of links of a run: two to each control instance, one for the agents and one for the
/// entries, and one to each upstream.
pub(crate) const LINKS: usize = (2 * CONTROL_INSTANCES + 2 * UPSTREAMS_PER_SERVICE) as usize;

/// First port of the control instances. All ports are fixed, because every run uses a loopback
/// address of its own.
const CONTROL_PORT: u16 = 9_200;
/// First port of the entries for callers.
const ENTRY_PORT: u16 = 9_100;
/// First port of the agents.
const AGENT_PORT: u16 = 9_300;
/// First port of the operator listeners; every process has one.
const OPERATOR_PORT: u16 = 9_400;

const SECRET: &str = "secret-of-the-soak";

/// Time between two tokens of a stream, long enough that faults occur during the stream.
const TOKEN_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);

/// The cluster cannot be started.
#[derive(Debug, Snafu)]
pub enum ClusterError {
    /// A file cannot be written, or a socket cannot be opened.
    #[snafu(display("cannot set up {what}: {source}"))]
    Setup {
        /// What could not be set up; the name of a process means its settings file.
        what: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A process cannot be started.
    #[snafu(transparent)]
    Process {
        /// Cause.
        source: ProcessError,
    },
}

/// A running cluster.
#[derive(Debug)]
pub(crate) struct SoakCluster {
    /// Folder with settings, logs and data; removed at the end unless it is kept.
    pub(crate) folder: TempDir,
    /// Processes in the order of their start.
    pub(crate) processes: Vec<SoakProcess>,
    /// Links in the order of their start, see [`FaultTarget::Link`](crate::FaultTarget::Link).
    pub(crate) links: Vec<FaultyProxy>,
    /// Fake upstreams of the agents of the ledger service.
    pub(crate) ledgers: Vec<FakeLedger>,
    /// Loopback address of all processes, derived from the id of this process and the seed, so that
    /// concurrent runs do not share ports.
    ip: IpAddr,
    /// Servers of the fake upstreams, which stop when they are dropped.
    servers: Vec<FakeServer>,
}

/// Starts proxies, fake upstreams and processes one after the other.
struct ClusterBuilder<'a> {
    /// Folder of the programs.
    programs: &'a Path,
    cluster: SoakCluster,
}

impl SoakCluster {
    /// Starts all processes, with the programs in the folder `programs`.
    pub(crate) async fn start(programs: &Path, seed: u64) -> Result<Self, ClusterError> {
        let folder = tempfile::tempdir().context(SetupSnafu {
            what: "the folder of the run",
        })?;
        let process_id = std::process::id().to_le_bytes();
        let ip = Ipv4Addr::new(
            127,
            80 + process_id[1] % 64,
            process_id[0],
            1 + (seed % 250) as u8,
        );
        let mut builder = ClusterBuilder {
            programs,
            cluster: Self {
                folder,
                processes: Vec::new(),
                links: Vec::new(),
                ledgers: Vec::new(),
                ip: ip.into(),
                servers: Vec::new(),
            },
        };
        builder.start_all().await?;
        Ok(builder.cluster)
    }

    /// Fault schedule of a run with this seed and length.
    pub(crate) fn schedule(seed: u64, length: std::time::Duration) -> FaultSchedule {
        FaultSchedule::draw(seed, length, PROCESSES, LINKS)
    }

    /// Keeps the folder with settings, logs and data after the run, and returns its path.
    pub(crate) fn keep_folder(&mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    /// Addresses of the entries for callers.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        let ports = (0..ENTRIES).map(|number| ENTRY_PORT + number);
        ports.map(|port| SocketAddr::new(self.ip, port)).collect()
    }

    /// Addresses of the control instances themselves, not of the links to them.
    pub(crate) fn control(&self) -> Vec<SocketAddr> {
        let ports = (0..CONTROL_INSTANCES).map(|number| CONTROL_PORT + number);
        ports.map(|port| SocketAddr::new(self.ip, port)).collect()
    }

    /// Path of the file with the cluster secret.
    pub(crate) fn secret_file(&self) -> PathBuf {
        self.folder.path().join("secret")
    }
}

impl ClusterBuilder<'_> {
    async fn start_all(&mut self) -> Result<(), ClusterError> {
        let secret = self.cluster.secret_file();
        std::fs::write(secret, SECRET).context(SetupSnafu {
            what: "the secret file",
        })?;
        self.start_control()?;
        // The first set of links is for the agents, the second for the entries.
        let mut control_addresses = Vec::new();
        for _ in 0..2 {
            let mut addresses = Vec::new();
            for target in self.cluster.control() {
                addresses.push(self.link(target).await?.to_string());
            }
            control_addresses.push(format!("{addresses:?}"));
        }
        for number in 0..UPSTREAMS_PER_SERVICE {
            let engine = FakeEngine::new(EngineOptions {
                between_tokens: TOKEN_INTERVAL,
                ..EngineOptions::default()
            });
            let server = FakeServer::start(engine).await;
            let server = server.context(SetupSnafu {
                what: "a fake engine",
            })?;
            self.start_agent("engine", number, &server, &control_addresses[0])
                .await?;
            self.cluster.servers.push(server);
            let ledger = FakeLedger::default();
            let server = FakeServer::start(ledger.clone()).await;
            let server = server.context(SetupSnafu {
                what: "a fake ledger",
            })?;
            self.start_agent("ledger", number, &server, &control_addresses[0])
                .await?;
            self.cluster.servers.push(server);
            self.cluster.ledgers.push(ledger);
        }
        for (number, address) in self.cluster.entries().into_iter().enumerate() {
            let text = format!(
                "name = \"entry-{number}\"\ncaller_listen = \"{address}\"\ncontrol = {}\n",
                control_addresses[1]
            );
            self.start_process("oriolecrank-entry", &format!("entry-{number}"), &text)?;
        }
        Ok(())
    }

    fn start_control(&mut self) -> Result<(), ClusterError> {
        let addresses = self.cluster.control();
        let members = addresses.iter().enumerate().map(|(number, address)| {
            format!("[[members]]\ninstance = \"control-{number}\"\naddress = \"{address}\"\n")
        });
        let members: String = members.collect();
        for (number, address) in addresses.iter().enumerate() {
            let data = self.cluster.folder.path().join(format!("data-{number}"));
            let text = format!(
                "cluster = \"soak\"\ninstance = \"control-{number}\"\nlisten = \"{address}\"\n\
                 data_folder = \"{}\"\n{members}",
                data.display()
            );
            self.start_process("oriolecrank-control", &format!("control-{number}"), &text)?;
        }
        Ok(())
    }

    async fn start_agent(
        &mut self,
        kind: &str,
        number: u16,
        server: &FakeServer,
        control: &str,
    ) -> Result<(), ClusterError> {
        let upstream = self.link(server.address()).await?;
        let (service, service_kind) = match kind {
            "engine" => ("assistant", "engine"),
            _ => ("ledger", "plain"),
        };
        let offset = if kind == "engine" {
            0
        } else {
            UPSTREAMS_PER_SERVICE
        };
        let listen = SocketAddr::new(self.cluster.ip, AGENT_PORT + offset + number);
        let text = format!(
            "upstream = \"{kind}-{number}\"\nlisten = \"{listen}\"\ncontrol = {control}\n\
             service = \"{service}\"\nkind = \"{service_kind}\"\nmodel = \"demo\"\n\
             upstream_address = \"{upstream}\"\nshutdown_ms = 5000\n"
        );
        self.start_process(
            "oriolecrank-agent",
            &format!("agent-{kind}-{number}"),
            &text,
        )
    }

    async fn link(&mut self, target: SocketAddr) -> Result<SocketAddr, ClusterError> {
        let link = FaultyProxy::start(self.cluster.ip, target).await;
        let link = link.context(SetupSnafu {
            what: "the proxy of a link",
        })?;
        let address = link.address();
        self.cluster.links.push(link);
        Ok(address)
    }

    /// Writes the settings file of a process and starts it.
    fn start_process(&mut self, program: &str, name: &str, text: &str) -> Result<(), ClusterError> {
        let port = OPERATOR_PORT + self.cluster.processes.len() as u16;
        let operator = SocketAddr::new(self.cluster.ip, port);
        let secret = self.cluster.secret_file();
        let common = format!(
            "region = \"local\"\nfailure_domain = \"local\"\nlog_format = \"json\"\n\
             operator_listen = \"{operator}\"\nsecret_file = \"{}\"\n",
            secret.display()
        );
        let file = self.cluster.folder.path().join(format!("{name}.toml"));
        let written = std::fs::write(&file, common + text);
        written.context(SetupSnafu { what: name })?;
        let process = SoakProcess::start(name, self.programs.join(program), file)?;
        self.cluster.processes.push(process);
        Ok(())
    }
}
