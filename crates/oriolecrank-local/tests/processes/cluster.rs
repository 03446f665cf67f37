//! Starts a cluster of separate programs and sends requests to it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use oriolecrank_net::{ClientResponse, HttpClient};
use tempfile::TempDir;

use crate::program::{RunningProgram, WAIT_LIMIT, binary};
use crate::reserved_address::ReservedAddress;

const SECRET: &str = "secret-of-the-process-tests";

/// API key in the example document.
pub const KEY: &str = "example-key";

/// Status and complete body of an answer.
#[derive(Debug)]
pub struct ReceivedAnswer {
    pub status: StatusCode,
    pub body: String,
}

/// Running programs, with their settings and data in a temporary folder.
pub struct TestCluster {
    folder: TempDir,
    /// Tables that the settings of each entry have besides.
    entry_tables: String,
    /// Tables that the settings of each agent have besides.
    agent_tables: String,
    /// Addresses of the control instances, reserved because each instance's settings list those of
    /// all others before any of them runs.
    reserved: Vec<ReservedAddress>,
    pub control: Vec<RunningProgram>,
    pub agents: Vec<RunningProgram>,
    pub fakes: Vec<RunningProgram>,
    pub entries: Vec<RunningProgram>,
}

/// Programs of a [`TestCluster`].
pub struct ClusterPlan<'a> {
    /// Number of control instances.
    pub control: usize,
    /// Number of entries.
    pub entries: usize,
    /// Extra command-line arguments of each fake engine; each engine has its own agent.
    pub engines: &'a [&'a [&'a str]],
    /// Extra command-line arguments of the fake ledger.
    pub ledger: &'a [&'a str],
    /// Tables that the settings of each entry have besides.
    pub entry_tables: &'a str,
    /// Tables that the settings of each agent have besides.
    pub agent_tables: &'a str,
}

impl Default for ClusterPlan<'_> {
    fn default() -> Self {
        Self {
            control: 1,
            entries: 1,
            engines: &[&[]],
            ledger: &[],
            entry_tables: "",
            agent_tables: "",
        }
    }
}

impl TestCluster {
    /// Starts all programs, submits the example document and waits until every entry serves it.
    pub async fn start(plan: ClusterPlan<'_>) -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("secret"), SECRET).unwrap();
        let mut cluster = Self {
            folder,
            entry_tables: plan.entry_tables.to_owned(),
            agent_tables: plan.agent_tables.to_owned(),
            reserved: Vec::new(),
            control: Vec::new(),
            agents: Vec::new(),
            fakes: Vec::new(),
            entries: Vec::new(),
        };
        cluster.start_control(plan.control);
        for (index, arguments) in plan.engines.iter().enumerate() {
            cluster.start_upstream("engine", index, arguments);
        }
        cluster.start_upstream("ledger", 0, plan.ledger);
        for index in 0..plan.entries {
            cluster.start_entry(index);
        }
        let output = cluster.ctl(&[
            "submit",
            "--wait",
            example("document.toml").to_str().unwrap(),
        ]);
        assert!(output.status.success(), "{output:?}");
        for index in 0..plan.entries {
            cluster.wait_ready(index).await;
        }
        cluster
    }

    fn start_control(&mut self, count: usize) {
        self.reserved = (0..count).map(|_| ReservedAddress::reserve()).collect();
        let reserved = self.reserved.iter();
        let addresses: Vec<_> = reserved.map(|reserved| reserved.address).collect();
        let members = addresses.iter().enumerate().map(|(index, address)| {
            format!("[[members]]\ninstance = \"control-{index}\"\naddress = \"{address}\"\n")
        });
        let members: String = members.collect();
        for (index, address) in addresses.iter().enumerate() {
            let text = format!(
                "{}cluster = \"test\"\ninstance = \"control-{index}\"\nlisten = \"{address}\"\n\
                 data_folder = \"{}\"\n{members}",
                self.common_settings(),
                self.path(&format!("data-{index}")),
            );
            let program =
                self.start_program("oriolecrank-control", &format!("control-{index}"), &text);
            self.control.push(program);
        }
    }

    /// Starts a fake upstream and its agent.
    fn start_upstream(&mut self, kind: &str, index: usize, arguments: &[&str]) {
        let arguments = [&[kind, "127.0.0.1:0"], arguments].concat();
        let fake = RunningProgram::start("oriolecrank-fakes", &arguments);
        self.start_agent(kind, index, fake.address);
        self.fakes.push(fake);
    }

    /// Starts an agent for a running upstream.
    pub fn start_agent(&mut self, kind: &str, index: usize, upstream: SocketAddr) {
        let (service, service_kind) = if kind == "engine" {
            ("assistant", "engine")
        } else {
            ("ledger", "plain")
        };
        let text = format!(
            "{}upstream = \"{kind}-{index}\"\nlisten = \"127.0.0.1:0\"\ncontrol = {}\n\
             service = \"{service}\"\nkind = \"{service_kind}\"\nmodel = \"demo\"\n\
             upstream_address = \"{upstream}\"\n{}",
            self.common_settings(),
            self.control_addresses(),
            self.agent_tables,
        );
        let program =
            self.start_program("oriolecrank-agent", &format!("agent-{kind}-{index}"), &text);
        self.agents.push(program);
    }

    fn start_entry(&mut self, index: usize) {
        let text = format!(
            "{}name = \"entry-{index}\"\ncaller_listen = \"127.0.0.1:0\"\ncontrol = {}\n{}",
            self.common_settings(),
            self.control_addresses(),
            self.entry_tables,
        );
        let program = self.start_program("oriolecrank-entry", &format!("entry-{index}"), &text);
        self.entries.push(program);
    }

    /// Writes the settings `text` to `NAME.toml` and starts the program with that file.
    fn start_program(&self, program: &str, name: &str, text: &str) -> RunningProgram {
        let path = self.folder.path().join(format!("{name}.toml"));
        std::fs::write(&path, text).unwrap();
        RunningProgram::start(program, &["--settings", path.to_str().unwrap()])
    }

    /// Settings that all programs share.
    fn common_settings(&self) -> String {
        format!(
            "region = \"local\"\nfailure_domain = \"local\"\nlog_format = \"json\"\n\
             operator_listen = \"127.0.0.1:0\"\nsecret_file = \"{}\"\n",
            self.path("secret")
        )
    }

    /// Addresses of the control instances as a TOML array.
    fn control_addresses(&self) -> String {
        let addresses = self
            .control
            .iter()
            .map(|program| program.address.to_string());
        format!("{:?}", addresses.collect::<Vec<_>>())
    }

    fn path(&self, name: &str) -> String {
        self.folder.path().join(name).display().to_string()
    }

    /// Runs `oriolecrank-ctl` against all control instances.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(binary("oriolecrank-ctl"));
        for program in &self.control {
            command.args(["--control", &program.address.to_string()]);
        }
        command.args([
            "--secret-file",
            &self.path("secret"),
            "--operator",
            "tester",
        ]);
        command.args(["--timeout-ms", "20000"]);
        command.args(arguments).output().unwrap()
    }

    /// Sends a request to an entry and returns when the head of the answer has arrived. All
    /// requests have the same idempotency key.
    pub async fn send(
        &self,
        entry: usize,
        key: &str,
        method: Method,
        path: &str,
        body: String,
    ) -> ClientResponse {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "entry")
            .header("authorization", format!("Bearer {key}"))
            .header("idempotency-key", "booking-1")
            .body(Full::new(Bytes::from(body)))
            .unwrap();
        HttpClient::default()
            .send(self.entries[entry].address, request, WAIT_LIMIT)
            .await
            .unwrap()
    }

    /// Sends a completion and returns its answer.
    pub async fn complete(&self, entry: usize, key: &str, prompt: &str) -> ReceivedAnswer {
        let body = completion(prompt, 4, false);
        let response = self
            .send(entry, key, Method::POST, "/v1/chat/completions", body)
            .await;
        read_answer(response).await
    }

    /// Sends a booking to the ledger. Because of the common idempotency key, each further one
    /// repeats the first.
    pub async fn book(&self, entry: usize) -> ReceivedAnswer {
        let path = "/services/ledger/entries";
        let response = self
            .send(entry, KEY, Method::POST, path, "drain vat 7".to_owned())
            .await;
        read_answer(response).await
    }

    /// Waits until an entry serves both the engine and the ledger.
    pub async fn wait_ready(&self, entry: usize) {
        let status = "/services/ledger/status";
        wait_for(async || {
            let ledger = self
                .send(entry, KEY, Method::GET, status, String::new())
                .await;
            let engine = self.complete(entry, KEY, "ready").await;
            ledger.status() == StatusCode::OK && engine.status == StatusCode::OK
        })
        .await;
    }
}

/// Request body of a completion.
pub fn completion(prompt: &str, tokens: u64, stream: bool) -> String {
    serde_json::json!({
        "model": "demo", "max_tokens": tokens, "stream": stream,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string()
}

/// Reads the rest of an answer.
pub async fn read_answer(response: ClientResponse) -> ReceivedAnswer {
    let status = response.status();
    let body = response.collect(1024 * 1024, WAIT_LIMIT).await.unwrap();
    ReceivedAnswer {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

/// Reads a counter from an admin path of a fake, without going through the cluster.
pub async fn ask_fake(fake: &RunningProgram, path: &str) -> u32 {
    let request = Request::get(path)
        .header("host", "fake")
        .body(Full::default())
        .unwrap();
    let response = HttpClient::default()
        .send(fake.address, request, WAIT_LIMIT)
        .await
        .unwrap();
    read_answer(response).await.body.parse().unwrap()
}

/// Repeats a check until it returns true; panics after [`WAIT_LIMIT`].
pub async fn wait_for(mut check: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !check().await {
        assert!(
            Instant::now() < deadline,
            "the condition did not become true within {WAIT_LIMIT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Path of a file in the `examples` folder.
pub fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}
