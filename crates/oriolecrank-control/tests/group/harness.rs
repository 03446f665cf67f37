//! A group of control processes and its clients.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use oriolecrank_control::{
    CommandReplica as _, ControlOptions, ControlProcess, GroupMembership as _, InitialMember,
    RaftReplica,
};
use oriolecrank_ctl::{CtlEnvironment, CtlOutput};
use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::shutdown::{ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{BootClock, ClusterSecret, ControlClient, ControlError, HttpClient};
use oriolecrank_schema::control::{
    Command, CommandOutcome, PingAnswer, PingRequest, Query, QueryResult,
};
use oriolecrank_schema::digest::key_digest;
use oriolecrank_schema::document::{ConfigDocument, KeyConfig, OrganisationConfig, RegionConfig};
use tempfile::TempDir;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::relay::Relay;

/// Longest wait for anything that must happen; reached only by a failing test.
pub const PATIENCE: Duration = Duration::from_secs(20);

const SECRET: &str = "a-secret-for-tests-only";

/// Time between two looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// A running control process.
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub replica: RaftReplica,
    _trigger: ShutdownTrigger,
    task: JoinHandle<()>,
}

/// Control processes with a relay from each to each other.
pub struct Group {
    pub instances: Vec<Instance>,
    /// Sender, receiver and the relay between them.
    relays: Vec<(usize, usize, Relay)>,
    /// Relay to each instance for entries.
    entry_relays: Vec<Relay>,
    pub folder: TempDir,
}

impl Instance {
    pub async fn start(folder: &TempDir, name: &str, members: Vec<InitialMember>) -> Self {
        let options = ControlOptions {
            cluster: "test".to_owned(),
            instance: name.to_owned(),
            listen: loopback(),
            operator_listen: loopback(),
            secret: secret(),
            data_folder: folder.path().join(name),
            members,
            platform: None,
            usage: None,
            shutdown_limit: Duration::from_secs(10),
            log_format: LogFormat::Text,
        };
        let process = ControlProcess::bind(options).await.unwrap();
        let address = process.address();
        let mut shown = process.replica();
        let (trigger, signal) = shutdown_channel();
        let task = tokio::spawn(async move { process.run(signal).await.unwrap() });
        let replica = shown
            .wait_for(Option::is_some)
            .await
            .unwrap()
            .clone()
            .unwrap();
        Self {
            name: name.to_owned(),
            address,
            replica,
            _trigger: trigger,
            task,
        }
    }

    /// Ends the process without any notice to its peers and clients.
    pub async fn kill(&self) {
        self.task.abort();
        self.replica.stop();
        self.replica.stopped().await;
    }

    pub fn has_authority(&self) -> bool {
        self.replica.authority(BootClock.now()).is_some()
    }

    /// Sends a ping; `None` if it is not confirmed.
    pub async fn ping(&self, subscriber: &str) -> Option<PingAnswer> {
        let ping = PingRequest {
            demand: Vec::new(),
            ping: 1,
            revision: 0,
            subscriber: subscriber.to_owned(),
        };
        let client = client(&[self.address]);
        let answer = client.post(self.address, "/v1/ping", &ping, PATIENCE).await;
        answer.ok()
    }
}

impl Group {
    /// Three founding voters.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let names = ["c1", "c2", "c3"];
        let mut relays = Vec::new();
        let mut instances = Vec::new();
        for (sender, name) in names.iter().enumerate() {
            let mut members = Vec::new();
            for (receiver, other) in names.iter().enumerate() {
                let mut address = loopback();
                if receiver != sender {
                    let relay = Relay::start().await;
                    address = relay.address;
                    relays.push((sender, receiver, relay));
                }
                members.push(InitialMember {
                    instance: (*other).to_owned(),
                    address,
                });
            }
            instances.push(Instance::start(&folder, name, members).await);
        }
        for (_, receiver, relay) in &relays {
            relay.set_target(instances[*receiver].address);
        }
        let mut entry_relays = Vec::new();
        for instance in &instances {
            let relay = Relay::start().await;
            relay.set_target(instance.address);
            entry_relays.push(relay);
        }
        Self {
            instances,
            relays,
            entry_relays,
            folder,
        }
    }

    /// Drops everything between an instance and the others and the entries, without closing a
    /// connection.
    pub fn silence(&self, instance: usize) {
        self.entry_relays[instance].silence();
        for (sender, receiver, relay) in &self.relays {
            if *sender == instance || *receiver == instance {
                relay.silence();
            }
        }
    }

    /// Waits until an instance other than `except` has authority; returns its position.
    pub async fn leader(&self, except: Option<usize>) -> usize {
        let found = async {
            loop {
                let mut others = self.instances.iter().enumerate();
                let leader =
                    others.find(|(at, instance)| Some(*at) != except && instance.has_authority());
                if let Some((at, _)) = leader {
                    return at;
                }
                sleep(LOOK_INTERVAL).await;
            }
        };
        timeout(PATIENCE, found).await.unwrap()
    }

    /// Addresses of all instances, beginning with `first`.
    pub fn addresses(&self, first: usize) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .instances
            .iter()
            .map(|instance| instance.address)
            .collect();
        addresses.rotate_left(first);
        addresses
    }

    /// Addresses for entries, beginning with that of `first`.
    pub fn entry_addresses(&self, first: usize) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .entry_relays
            .iter()
            .map(|relay| relay.address)
            .collect();
        addresses.rotate_left(first);
        addresses
    }

    /// Submits a document at the given addresses until it is answered.
    pub async fn submit(&self, first: usize, command: &Command) -> CommandOutcome {
        let client = client(&self.addresses(first));
        client.command(command, PATIENCE).await.unwrap()
    }

    /// Runs `oriolecrank-ctl`.
    pub async fn ctl(&self, arguments: &[&str]) -> CtlOutput {
        let file = self.folder.path().join("secret");
        std::fs::write(&file, SECRET).unwrap();
        let control: Vec<String> = self.addresses(0).iter().map(ToString::to_string).collect();
        let environment = CtlEnvironment {
            control: Some(control.join(",")),
            secret_file: Some(file.to_str().unwrap().to_owned()),
            operator: Some("alma".to_owned()),
        };
        oriolecrank_ctl::run(lexopt::Parser::from_args(arguments), &environment).await
    }

    /// Asks one instance.
    pub async fn query(&self, instance: usize, query: &Query) -> Result<QueryResult, ControlError> {
        let address = self.instances[instance].address;
        let client = client(&[address]);
        client.post(address, "/v1/query", query, PATIENCE).await
    }

    /// Actions of the audit trail.
    pub async fn audited(&self) -> Vec<String> {
        let query = Query::Audit {
            first_index: 0,
            limit: 100,
        };
        let leader = self.leader(None).await;
        let QueryResult::Audit { records, .. } = self.query(leader, &query).await.unwrap() else {
            panic!("no audit trail");
        };
        records.into_iter().map(|record| record.action).collect()
    }

    /// Waits until the leader knows that an instance stores the whole log.
    pub async fn wait_caught_up(&self, instance: &str) {
        let caught_up = async {
            loop {
                let leader = self.leader(None).await;
                let members = self.instances[leader].replica.members();
                let matched = |wanted: &dyn Fn(&str, bool) -> bool| {
                    let mut members = members.iter();
                    let member = members.find(|member| wanted(&member.instance, member.leader));
                    member.map_or(0, |member| member.matched_index)
                };
                let end = matched(&|_, leads| leads);
                if end > 0 && matched(&|name, _| name == instance) == end {
                    return;
                }
                sleep(LOOK_INTERVAL).await;
            }
        };
        timeout(PATIENCE, caught_up).await.unwrap();
    }

    /// Waits until the leader no longer hears from an instance.
    pub async fn wait_silent(&self, instance: &str) {
        let silent = async {
            loop {
                let leader = self.leader(None).await;
                let mut members = self.instances[leader].replica.members().into_iter();
                if members.any(|member| member.instance == instance && !member.live) {
                    return;
                }
                sleep(LOOK_INTERVAL).await;
            }
        };
        timeout(PATIENCE, silent).await.unwrap();
    }

    /// Version of the membership at the leader.
    pub async fn version(&self) -> u64 {
        let leader = self.leader(None).await;
        self.instances[leader].replica.membership().version.0
    }
}

pub fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

pub fn secret() -> ClusterSecret {
    ClusterSecret::new(SECRET).unwrap()
}

pub fn client(addresses: &[SocketAddr]) -> ControlClient {
    ControlClient::new(HttpClient::default(), secret(), addresses)
}

/// A document with one organisation that has the given keys.
pub fn document(keys: &[&str]) -> ConfigDocument {
    let keys = keys.iter().map(|key| KeyConfig {
        digest: key_digest(key),
        name: (*key).to_owned(),
    });
    ConfigDocument {
        budget: None,
        organisations: vec![OrganisationConfig {
            keys: keys.collect(),
            limits: Vec::new(),
            name: "grove".to_owned().into(),
            services: Vec::new(),
            weight: 1,
        }],
        regions: vec![RegionConfig {
            failure_domains: vec!["piedmont-1".to_owned().into()],
            name: "piedmont".to_owned().into(),
        }],
        services: Vec::new(),
        usage_window_s: 60,
    }
}

pub fn submission(request_id: &str, base_revision: u64, document: ConfigDocument) -> Command {
    Command::Submit {
        base_revision,
        document,
        operator: "alma".to_owned(),
        origin: String::new(),
        request_id: request_id.to_owned(),
    }
}
