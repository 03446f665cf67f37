//! Starts and stops a small cluster in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use oriolecrank_agent::{AgentError, AgentOptions, AgentProcess};
use oriolecrank_control::{ControlError, ControlOptions, ControlProcess, InitialMember};
use oriolecrank_entry::{EntryError, EntryOptions, EntryProcess};
use oriolecrank_fakes::{EngineOptions, FakeEngine, FakeLedger};
use oriolecrank_net::intake::IntakeSettings;
use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::shutdown::{ShutdownSignal, ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{ClusterSecret, ControlClient, HttpClient, HttpHandler, serve};
use oriolecrank_schema::control::{Command, CommandOutcome, UpstreamRole};
use oriolecrank_schema::digest::key_digest;
use oriolecrank_schema::document::{
    ConfigDocument, KeyConfig, OrganisationConfig, PriorityClass, RegionConfig, RouteConfig,
    ServiceConfig, ServiceKind,
};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// API key of the demo organisation.
pub const LOCAL_KEY: &str = "local-demo-key";

/// Name of the local cluster, of its only region and of its only failure domain.
const LOCAL_NAME: &str = "local";

/// Time limit for the control instance to accept the document.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Error while a local cluster starts.
#[derive(Debug, Snafu)]
pub enum LocalError {
    /// A fake upstream cannot listen on a free loopback port.
    #[snafu(display("cannot listen on a loopback port for a fake upstream: {source}"))]
    Listen {
        /// Cause.
        source: std::io::Error,
    },
    /// The control instance cannot start.
    #[snafu(transparent)]
    Control {
        /// Cause.
        source: ControlError,
    },
    /// An agent cannot start.
    #[snafu(transparent)]
    Agent {
        /// Cause.
        source: AgentError,
    },
    /// The entry cannot start.
    #[snafu(transparent)]
    Entry {
        /// Cause.
        source: EntryError,
    },
    /// The document was refused, or the command that submits it failed.
    #[snafu(display("the control instance did not accept the document: {reason}"))]
    Document {
        /// Outcome of the command, or the error that prevented one.
        reason: String,
    },
}

/// Settings of a [`LocalCluster`].
#[derive(Debug, Clone)]
pub struct LocalOptions {
    /// Folder in which the control instance stores its data. A folder of an earlier run keeps its
    /// document.
    pub data_folder: PathBuf,
    /// Address at which the entry listens for callers; port 0 selects a free port.
    pub caller_listen: SocketAddr,
    /// Number of fake engines, each with its own agent.
    pub engines: u32,
    /// Latencies of the fake engines.
    pub engine: EngineOptions,
}

impl Default for LocalOptions {
    fn default() -> Self {
        Self {
            data_folder: PathBuf::from("oriolecrank-data"),
            caller_listen: loopback(),
            engines: 2,
            engine: EngineOptions::default(),
        }
    }
}

/// A running cluster and its fake upstreams.
#[derive(Debug)]
pub struct LocalCluster {
    /// Address at which the entry listens for callers.
    pub caller_address: SocketAddr,
    /// Client of the control instance.
    pub control: ControlClient,
    /// Fake engines.
    pub engines: Vec<FakeEngine>,
    /// Addresses of the fake engines, in the same order.
    pub engine_addresses: Vec<SocketAddr>,
    /// Fake plain service with its own agent.
    pub ledger: FakeLedger,
    /// Process groups in the order in which they stop: the entry, the agents with their upstreams,
    /// the control instance. Each group depends on the later ones until it has stopped.
    groups: [ProcessGroup; 3],
}

/// Processes that start and stop together.
#[derive(Debug)]
struct ProcessGroup {
    trigger: ShutdownTrigger,
    signal: ShutdownSignal,
    tasks: JoinSet<()>,
}

impl ProcessGroup {
    fn new() -> Self {
        let (trigger, signal) = shutdown_channel();
        Self {
            trigger,
            signal,
            tasks: JoinSet::new(),
        }
    }

    fn spawn<E: std::fmt::Display>(
        &mut self,
        process: impl Future<Output = Result<(), E>> + Send + 'static,
    ) {
        self.tasks.spawn(async move { log_failure(process.await) });
    }

    async fn stop(mut self) {
        self.trigger.trigger();
        while self.tasks.join_next().await.is_some() {}
    }
}

impl LocalCluster {
    /// Starts all processes and submits the demo document. Does not wait until the entry has
    /// received the document, so the first requests may be refused.
    pub async fn start(options: LocalOptions) -> Result<Self, LocalError> {
        let secret = ClusterSecret::new("local-cluster-secret").expect("the secret is long enough");
        let mut control_group = ProcessGroup::new();
        let process = ControlProcess::bind(control_options(&options.data_folder, &secret)).await?;
        let control_address = process.address();
        control_group.spawn(process.run(control_group.signal.clone()));

        let mut agents = AgentGroup {
            secret: secret.clone(),
            control_address,
            group: ProcessGroup::new(),
        };
        let mut engines = Vec::new();
        let mut engine_addresses = Vec::new();
        for number in 1..=options.engines {
            let engine = FakeEngine::new(options.engine.clone());
            let name = format!("engine-{number}");
            let address = agents
                .start(engine.clone(), &name, "assistant", UpstreamRole::Mixed)
                .await?;
            engines.push(engine);
            engine_addresses.push(address);
        }
        let ledger = FakeLedger::default();
        agents
            .start(ledger.clone(), "ledger-1", "ledger", UpstreamRole::Plain)
            .await?;

        let mut entry_group = ProcessGroup::new();
        let entry = EntryProcess::bind(entry_options(&options, &secret, control_address)).await?;
        let caller_address = entry.address();
        entry_group.spawn(entry.run(entry_group.signal.clone()));

        let control = ControlClient::new(HttpClient::default(), secret, &[control_address]);
        submit(&control, local_document()).await?;
        let groups = [entry_group, agents.group, control_group];
        Ok(Self {
            caller_address,
            control,
            engines,
            engine_addresses,
            ledger,
            groups,
        })
    }

    /// Stops all processes gracefully and waits until they have ended.
    pub async fn stop(self) {
        for group in self.groups {
            group.stop().await;
        }
    }
}

/// Agents and the fake upstreams that they serve.
#[derive(Debug)]
struct AgentGroup {
    secret: ClusterSecret,
    control_address: SocketAddr,
    group: ProcessGroup,
}

impl AgentGroup {
    /// Starts an agent and its upstream; returns the address of the upstream.
    async fn start<H: HttpHandler>(
        &mut self,
        upstream: H,
        name: &str,
        service: &str,
        role: UpstreamRole,
    ) -> Result<SocketAddr, LocalError> {
        let listener = TcpListener::bind(loopback()).await.context(ListenSnafu)?;
        let upstream_address = listener.local_addr().context(ListenSnafu)?;
        let signal = self.group.signal.clone();
        self.group
            .tasks
            .spawn(serve(listener, Arc::new(upstream), signal.clone()));
        let options = AgentOptions {
            upstream: name.to_owned(),
            region: LOCAL_NAME.to_owned(),
            failure_domain: LOCAL_NAME.to_owned(),
            listen: loopback(),
            operator_listen: loopback(),
            secret: self.secret.clone(),
            control: vec![self.control_address],
            service: service.to_owned(),
            role,
            model: (role == UpstreamRole::Mixed).then(|| "demo".to_owned()),
            version: None,
            upstream_address,
            capacity_blocks: 256,
            checks_fencing: false,
            shutdown_limit: Duration::from_secs(10),
            intake: IntakeSettings::default(),
            log_format: LogFormat::Text,
        };
        let process = AgentProcess::bind(options).await?;
        self.group.spawn(process.run(signal));
        Ok(upstream_address)
    }
}

fn control_options(folder: &Path, secret: &ClusterSecret) -> ControlOptions {
    ControlOptions {
        cluster: LOCAL_NAME.to_owned(),
        instance: "control-1".to_owned(),
        listen: loopback(),
        operator_listen: loopback(),
        secret: secret.clone(),
        data_folder: folder.to_owned(),
        members: vec![InitialMember {
            instance: "control-1".to_owned(),
            address: loopback(),
        }],
        platform: None,
        usage: None,
        shutdown_limit: Duration::from_secs(10),
        log_format: LogFormat::Text,
    }
}

fn entry_options(
    options: &LocalOptions,
    secret: &ClusterSecret,
    control_address: SocketAddr,
) -> EntryOptions {
    EntryOptions {
        name: "entry-1".to_owned(),
        region: LOCAL_NAME.to_owned(),
        failure_domain: LOCAL_NAME.to_owned(),
        caller_listen: options.caller_listen,
        operator_listen: loopback(),
        secret: secret.clone(),
        control: vec![control_address],
        freshness_lease: Duration::from_secs(3),
        drain_notice: Duration::ZERO,
        max_body_bytes: 4 * 1024 * 1024,
        shutdown_limit: Duration::from_secs(10),
        intake: IntakeSettings::default(),
        log_format: LogFormat::Text,
    }
}

/// Configuration document of the local cluster.
pub fn local_document() -> ConfigDocument {
    let key = KeyConfig {
        digest: key_digest(LOCAL_KEY),
        name: "demo".to_owned(),
    };
    let organisation = OrganisationConfig {
        keys: vec![key],
        limits: Vec::new(),
        name: "demo".to_owned().into(),
        services: Vec::new(),
        weight: 1,
    };
    let assistant = ServiceConfig {
        budget: None,
        class: PriorityClass::Standard,
        deadline_ms: 30_000,
        kind: ServiceKind::Engine,
        models: vec!["demo".to_owned()],
        name: "assistant".to_owned().into(),
        routes: Vec::new(),
    };
    let ledger = ServiceConfig {
        kind: ServiceKind::Plain,
        models: Vec::new(),
        name: "ledger".to_owned().into(),
        routes: vec![
            route("/entries", "POST"),
            RouteConfig {
                idempotent: true,
                ..route("/status", "GET")
            },
        ],
        ..assistant.clone()
    };
    let region = RegionConfig {
        failure_domains: vec![LOCAL_NAME.to_owned().into()],
        name: LOCAL_NAME.to_owned().into(),
    };
    ConfigDocument {
        budget: None,
        organisations: vec![organisation],
        regions: vec![region],
        services: vec![assistant, ledger],
        usage_window_s: 60,
    }
}

fn route(path: &str, method: &str) -> RouteConfig {
    RouteConfig {
        class: PriorityClass::Standard,
        coalesce: false,
        deadline_ms: None,
        idempotent: false,
        methods: vec![method.to_owned()],
        open: false,
        path: path.to_owned(),
    }
}

async fn submit(control: &ControlClient, document: ConfigDocument) -> Result<(), LocalError> {
    let command = Command::Submit {
        base_revision: 0,
        document,
        operator: "local".to_owned(),
        origin: "local".to_owned(),
        request_id: "local-document".to_owned(),
    };
    match control.command(&command, SUBMIT_TIMEOUT).await {
        // A conflict means that the data folder holds the document of an earlier run.
        Ok(CommandOutcome::DocumentAccepted { .. } | CommandOutcome::DocumentConflict { .. }) => {
            Ok(())
        }
        Ok(outcome) => DocumentSnafu {
            reason: format!("{outcome:?}"),
        }
        .fail(),
        Err(error) => DocumentSnafu {
            reason: error.to_string(),
        }
        .fail(),
    }
}

fn log_failure<E: std::fmt::Display>(result: Result<(), E>) {
    if let Err(error) = result {
        tracing::error!(%error, "a process of the local cluster failed; the others keep running without it");
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
