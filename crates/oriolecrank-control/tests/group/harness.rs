//! A group of control processes and its clients, for the tests of this folder.

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

/// Time limit of waits for an event; reached only when a test fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

const SECRET: &str = "a-secret-for-tests-only";

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running control process.
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub replica: RaftReplica,
    _trigger: ShutdownTrigger,
    task: JoinHandle<()>,
}

/// Control processes, with a relay for each ordered pair of them. An instance knows the others by
/// the addresses of its relays.
pub struct Group {
    pub instances: Vec<Instance>,
    /// Position of the sender, position of the receiver, and the relay that carries the sender's
    /// connections to the receiver.
    relays: Vec<(usize, usize, Relay)>,
    /// Relays through which entries reach the instances, by position.
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
        let mut replica_receiver = process.replica();
        let (trigger, signal) = shutdown_channel();
        let task = tokio::spawn(async move { process.run(signal).await.unwrap() });
        let replica = replica_receiver
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

    /// Ends the process without notice to its peers and clients.
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
        let answer = client
            .post(self.address, "/v1/ping", &ping, EVENT_TIMEOUT)
            .await;
        answer.ok()
    }
}

impl Group {
    /// Starts three founding voters.
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

    /// Drops all traffic between an instance and the others, and between it and the entries,
    /// without closing a connection. Clients that use the instance's own address still reach it.
    pub fn isolate(&self, instance: usize) {
        self.entry_relays[instance].stop_forwarding();
        for (sender, receiver, relay) in &self.relays {
            if *sender == instance || *receiver == instance {
                relay.stop_forwarding();
            }
        }
    }

    /// Waits until an instance other than `except` has authority; returns its position.
    pub async fn leader(&self, except: Option<usize>) -> usize {
        let found = async {
            loop {
                let mut others = self.instances.iter().enumerate();
                let leader = others.find(|(position, instance)| {
                    Some(*position) != except && instance.has_authority()
                });
                if let Some((position, _)) = leader {
                    return position;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(EVENT_TIMEOUT, found).await.unwrap()
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

    /// Sends a command to the instances, beginning with `first`, until one of them answers it.
    pub async fn submit(&self, first: usize, command: &Command) -> CommandOutcome {
        let client = client(&self.addresses(first));
        client.command(command, EVENT_TIMEOUT).await.unwrap()
    }

    /// Runs `oriolecrank-ctl` with the addresses of all instances.
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

    /// Sends a query to one instance.
    pub async fn query(&self, instance: usize, query: &Query) -> Result<QueryResult, ControlError> {
        let address = self.instances[instance].address;
        let client = client(&[address]);
        client
            .post(address, "/v1/query", query, EVENT_TIMEOUT)
            .await
    }

    /// Actions in the audit trail, oldest first.
    pub async fn audited_actions(&self) -> Vec<String> {
        let query = Query::Audit {
            first_index: 0,
            limit: 100,
        };
        let leader = self.leader(None).await;
        let QueryResult::Audit { records, .. } = self.query(leader, &query).await.unwrap() else {
            panic!("expected the audit trail as the answer to an audit query");
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
                let last_index = matched(&|_, leads| leads);
                if last_index > 0 && matched(&|name, _| name == instance) == last_index {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(EVENT_TIMEOUT, caught_up).await.unwrap();
    }

    /// Waits until the leader reports an instance as not live.
    pub async fn wait_silent(&self, instance: &str) {
        let silent = async {
            loop {
                let leader = self.leader(None).await;
                let mut members = self.instances[leader].replica.members().into_iter();
                if members.any(|member| member.instance == instance && !member.live) {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(EVENT_TIMEOUT, silent).await.unwrap();
    }

    /// Version of the membership at the leader.
    pub async fn membership_version(&self) -> u64 {
        let leader = self.leader(None).await;
        self.instances[leader].replica.membership().version.0
    }
}

/// Loopback address with port 0, at which the system chooses a free port.
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
