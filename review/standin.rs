//! Stand-ins for the cases of the review: clients, servers, the operator and the platform, and the
//! start of the project's programs. Only the standard library is used.
//!
//! `review-standin CASE FOLDER PROGRAM` runs a case and writes `record.txt` in FOLDER. It exits with
//! 1 if the rule was broken, 0 if it held and 2 if the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time in which a machine must have been calm to be in touch, in milliseconds (`contactMs`).
const CONTACT_MS: u64 = 4_000;

/// Interval between the heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Text in the path of a request that crashes the servers that run it.
const MARKER: &str = "poison";

/// Key of the only tenant.
const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// Service of the model servers, and service of the ledger.
const ENGINES: &str = "huvo11a";
const LEDGER: &str = "wuno96b";

const HOST: &str = "ficu95.example";

fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Id that no other request or server of this run has.
fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let seed = u64::from(std::process::id()) << 32 | number;
    format!("{:016x}", seed.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Record of a case; every process of the case appends lines to the same file.
#[derive(Clone)]
struct Record(Arc<Mutex<File>>);

impl Record {
    fn open(path: &Path) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(path);
        Self(Arc::new(Mutex::new(
            file.expect("the record can be written"),
        )))
    }

    fn line(&self, text: &str) {
        let line = format!("{} {text}\n", now_ms());
        let mut file = self.0.lock().expect("no writer panics");
        let _ = file.write_all(line.as_bytes());
    }
}

/// Start line, header fields with names in lower case, and body of a message.
struct Message {
    start: String,
    fields: HashMap<String, String>,
    body: Vec<u8>,
}

impl Message {
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Some(Message {
        start: start.trim_end().to_owned(),
        fields,
        body: Vec::new(),
    })
}

/// Reads one chunk of a chunked body; empty at its end, `None` if the body is cut off.
fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.field("transfer-encoding") == "chunked" {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Sends one request on a new connection and returns the answer, without the body of a stream.
fn call(
    address: SocketAddr,
    start: &str,
    fields: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Option<(Message, BufReader<TcpStream>)> {
    let stream = TcpStream::connect_timeout(&address, millis(1_000)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("{start} HTTP/1.1\r\nHost: {HOST}\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    Some((head, reader))
}

/// Sends a call with a JSON body and returns the status; 0 without an answer within a second.
fn call_json(address: SocketAddr, start: &str, body: &str) -> u16 {
    let fields = [("Content-Type", "application/json".to_owned())];
    let answer = call(address, start, &fields, body, millis(1_000));
    answer.map_or(0, |(head, _)| head.word(1).parse().unwrap_or(0))
}

// ---------------------------------------------------------------------------------------------
// Servers

/// A model server, which runs in a process of its own.
struct Server {
    id: String,
    born: u64,
    address: SocketAddr,
    zone: String,
    service: String,
    /// What a marked request does to the server.
    crash: Crash,
    /// Set once the machine of the server is dark: nothing is read, answered or announced any more.
    dark: AtomicBool,
    controls: Vec<SocketAddr>,
    record: Record,
    running: AtomicUsize,
}

const SLOTS: usize = 12;

/// What a marked request does to the server that runs it.
#[derive(Clone, Copy)]
enum Crash {
    Never,
    /// The process ends this long after the first event of the stream.
    Ends(Duration),
    /// The machine falls silent when the run begins, and is started again after this time.
    GoesDark(Duration),
}

impl Crash {
    /// Decodes `never`, `ends:MS` or `dark:MS`.
    fn parse(text: &str) -> Option<Self> {
        let (kind, time) = text.split_once(':').unwrap_or((text, "0"));
        let time = millis(time.parse().ok()?);
        match kind {
            "never" => Some(Self::Never),
            "ends" => Some(Self::Ends(time)),
            "dark" => Some(Self::GoesDark(time)),
            _ => None,
        }
    }
}

impl Server {
    fn run(self: Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the address is free");
        let beating = Arc::clone(&self);
        spawn(move || beating.send_heartbeats());
        for stream in listener.incoming().flatten() {
            self.stay_dark();
            let server = Arc::clone(&self);
            spawn(move || server.serve(&stream));
        }
    }

    /// Never returns while the machine is dark.
    fn stay_dark(&self) {
        while self.dark.load(Ordering::Relaxed) {
            sleep(millis(100));
        }
    }

    /// Makes the machine silent for `time`, and then ends the process.
    fn go_dark(&self, id: &str, time: Duration) {
        if !self.dark.swap(true, Ordering::Relaxed) {
            self.record
                .line(&format!("server {} crashes request={id}", self.id));
            sleep(time);
            exit(3);
        }
        self.stay_dark();
    }

    fn send_heartbeats(&self) {
        let mut target = 0;
        for sequence in 1_u64.. {
            self.stay_dark();
            let phase = if self.service == ENGINES {
                "\"phase\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            } else {
                ""
            };
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,{phase}\
                 \"seq\":{sequence},\
                 \"born\":{}}}",
                self.service, self.address, self.zone, self.born
            );
            let start = format!("POST /instances/{}/heartbeat", self.id);
            for _ in 0..self.controls.len() {
                let address = self.controls[target % self.controls.len()];
                if (200..300).contains(&call_json(address, &start, &body)) {
                    break;
                }
                target += 1;
            }
            sleep(HEARTBEAT);
        }
    }

    /// Serves the requests of one connection, one at a time.
    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if !self.answer(&request, stream) {
                return;
            }
        }
    }

    /// Answers a request; false if the connection is at its end.
    fn answer(&self, request: &Message, stream: &TcpStream) -> bool {
        let id = request.field("x-oriolecrank-request-id");
        let refuse = |status: &str| {
            let text = format!(
                "HTTP/1.1 {status}\r\nX-Oriolecrank-Request-Id: {id}\r\n\
                 X-Oriolecrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            (&mut &*stream).write_all(text.as_bytes()).is_ok()
        };
        if request.field("x-oriolecrank-expect-instance") != self.id {
            return refuse("421 Misdirected Request");
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= 2 * SLOTS {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return refuse("503 Service Unavailable");
        }
        let complete = if self.service == ENGINES {
            self.run_stream(request, stream)
        } else {
            self.run_plain(request, stream)
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        complete.is_ok()
    }

    /// Streams the events of a request. The path states how many there are: `/PREFIX/NAME-EVENTS`.
    fn run_stream(&self, request: &Message, stream: &TcpStream) -> std::io::Result<()> {
        let (path, id) = (request.word(1), request.field("x-oriolecrank-request-id"));
        let marked = path.contains(MARKER);
        let after: u64 = request.field("last-event-id").parse().unwrap_or(0);
        let events = path.rsplit('-').next().and_then(|text| text.parse().ok());
        let events: u64 = events.unwrap_or(2);
        let limit = request.field("x-oriolecrank-deadline-ms").parse();
        let deadline = Instant::now() + millis(limit.unwrap_or(15_000));
        self.record.line(&format!(
            "server {} runs request={id} path={path} after={after} marked={marked}",
            self.id
        ));
        let mut stream = stream;
        sleep(millis(20));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Oriolecrank-Request-Id: {id}\r\n\
             X-Oriolecrank-Server-Stamp: {}.{id}\r\nX-Oriolecrank-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        let began = Instant::now();
        for number in after + 1..=events {
            if Instant::now() > deadline {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if let Crash::Ends(time) = self.crash
                && marked
                && began.elapsed() >= time
            {
                self.record
                    .line(&format!("server {} crashes request={id}", self.id));
                // The kernel closes the listener and all connections at once, as after a crash.
                exit(3);
            }
            sleep(EVENT_INTERVAL);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

impl Server {
    /// Runs a request without a stream, such as an entry in the ledger.
    fn run_plain(&self, request: &Message, mut stream: &TcpStream) -> std::io::Result<()> {
        let (path, id) = (request.word(1), request.field("x-oriolecrank-request-id"));
        let marked = path.contains(MARKER);
        self.record.line(&format!(
            "server {} runs request={id} path={path} marked={marked}",
            self.id
        ));
        if let Crash::GoesDark(time) = self.crash
            && marked
        {
            self.go_dark(id, time);
        }
        sleep(millis(30));
        self.stay_dark();
        let body = format!("{path} {id} ").repeat(20);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Oriolecrank-Request-Id: {id}\r\n\
             X-Oriolecrank-Server-Stamp: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        stream.write_all(text.as_bytes())
    }
}

fn run_server(arguments: &[String]) {
    let [id, address, zone, service, crash, controls, record] = arguments else {
        exit(2);
    };
    let parse = |text: &str| text.parse::<SocketAddr>().expect("an address");
    let server = Server {
        id: id.clone(),
        born: now_ms(),
        address: parse(address),
        zone: zone.clone(),
        service: service.clone(),
        crash: Crash::parse(crash).expect("a known crash"),
        dark: AtomicBool::new(false),
        controls: controls.split(',').map(parse).collect(),
        record: Record::open(Path::new(record)),
        running: AtomicUsize::new(0),
    };
    Arc::new(server).run();
}

// ---------------------------------------------------------------------------------------------
// Site

/// Processes of the case; all are ended when it is dropped.
struct Site {
    folder: PathBuf,
    program: PathBuf,
    record: Record,
    record_path: PathBuf,
    /// First two bytes and third byte of the loopback addresses of this run.
    network: String,
    children: Arc<Mutex<BTreeMap<String, Child>>>,
    stopping: Arc<AtomicBool>,
}

const ZONES: [&str; 3] = ["santiago-a", "temuco-a", "antofagasta-a"];
const MACHINES: usize = 3;

impl Site {
    fn new(case_folder: &Path, program: &Path) -> Self {
        let record_path = case_folder.join("record.txt");
        let _ = std::fs::remove_file(&record_path);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        // A network of its own for each run, so that the addresses are free.
        let network = (0..200_u32).find_map(|attempt| {
            let number = std::process::id().wrapping_add(attempt * 7919) % 65_000;
            let network = format!("127.{}.{}", 100 + number / 250 % 100, number % 250);
            let probe = |machine| TcpListener::bind(format!("{network}.{machine}:7660")).is_ok();
            (1..=MACHINES).all(probe).then_some(network)
        });
        Self {
            folder,
            program: program.to_owned(),
            record: Record::open(&record_path),
            record_path,
            network: network.expect("a free loopback network"),
            children: Arc::default(),
            stopping: Arc::default(),
        }
    }

    fn address(&self, machine: usize, port: u16) -> SocketAddr {
        let text = format!("{}.{machine}:{port}", self.network);
        text.parse().expect("an address")
    }

    fn entry(&self, machine: usize) -> SocketAddr {
        self.address(machine, 8405)
    }

    fn controls(&self) -> Vec<SocketAddr> {
        (1..=MACHINES)
            .map(|machine| self.address(machine, 8407))
            .collect()
    }

    /// Settings as the platform fills them into `deploy/node.toml`, with the bounds of the users'
    /// sheet of a small deployment.
    fn settings(&self, machine: usize, role: &str) -> PathBuf {
        let zone = ZONES[machine - 1];
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let regions: Vec<String> = ZONES
            .iter()
            .map(|zone| format!("\"{zone}\" = \"{}\"", zone.trim_end_matches("-a")))
            .collect();
        let text = format!(
            "name = \"front-{zone}-1\"\ndomain = \"{zone}\"\ncluster = \"site\"\n\
             secret = \"internal-network-of-the-site\"\nip = \"{ip}\"\ninternal_port = 7660\n\
             seeds = [{seeds}]\nbootstrap = true\ndata_folder = \"{data}\"\n\
             tolerated_losses = 1\ncatch_up_s = 4\nstop_limit_s = 8\n[regions]\n{regions}\n\
             [listen]\ncallers = \"{ip}:8405\"\nready = \"{ip}:8406\"\noperators = \"{ip}:8407\"\n\
             [retries]\nshare = 0.2\nfixed = 64\nwindow_s = 10\n\
             [usage]\naddress = \"{usage}\"\nwindow_s = 5\ndue_s = 10\nlease_ms = 3000\n\
             [orders]\nlease_ms = 3000\n[metrics]\nentry_port = 9464\ncontrol_port = 9465\n",
            ip = self.address(machine, 0).ip(),
            seeds = seeds.join(","),
            data = self.folder.join(format!("data-{role}-{machine}")).display(),
            regions = regions.join("\n"),
            usage = self.address(200, 8408),
        );
        let path = self.folder.join(format!("{role}-{machine}.toml"));
        std::fs::write(&path, text).expect("the settings can be written");
        path
    }

    /// Starts `oriolecrank-platform ROLE`, the command of the deploy file.
    fn start_role(&self, role: &str, machine: usize) {
        let settings = self.settings(machine, role);
        let log = File::create(self.folder.join(format!("{role}-{machine}.log")));
        let child = Command::new(&self.program)
            .arg(role)
            .env("ORIOLECRANK_CONFIG", settings)
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn();
        let child = child.expect("the program was built");
        let name = format!("{role}-{machine}");
        self.record
            .line(&format!("started {name} pid={}", child.id()));
        self.children.lock().expect("no panic").insert(name, child);
    }

    /// Keeps a server running: starts it again `down` after it has ended.
    fn keep_server(&self, number: usize, service: &'static str, crash: &str, down: Duration) {
        let address = self.address(10 + number, 8080).to_string();
        let zone = ZONES[number % ZONES.len()].to_owned();
        let controls: Vec<String> = self.controls().iter().map(ToString::to_string).collect();
        let controls = controls.join(",");
        let (children, stopping) = (Arc::clone(&self.children), Arc::clone(&self.stopping));
        let (record, path) = (self.record.clone(), self.record_path.clone());
        let crash = crash.to_owned();
        spawn(move || {
            let name = format!("server-{number}");
            while !stopping.load(Ordering::Relaxed) {
                let id = format!("i-{}", &new_id()[8..]);
                let own = std::env::current_exe().expect("the own program");
                let child = Command::new(own)
                    .args(["server", &id, &address, &zone, service, &crash, &controls])
                    .arg(&path)
                    .stderr(Stdio::null())
                    .spawn();
                let child = child.expect("a server starts");
                record.line(&format!("started {name} pid={} id={id}", child.id()));
                children
                    .lock()
                    .expect("no panic")
                    .insert(name.clone(), child);
                loop {
                    sleep(millis(50));
                    let mut children = children.lock().expect("no panic");
                    let child = children.get_mut(&name);
                    if child.is_none_or(|child| !matches!(child.try_wait(), Ok(None))) {
                        break;
                    }
                }
                sleep(down);
            }
        });
    }

    /// Interface of the platform that takes usage reports.
    fn start_platform(&self) {
        let listener = TcpListener::bind(self.address(200, 8408)).expect("the address is free");
        let record = self.record.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let record = record.clone();
                spawn(move || {
                    let mut reader = BufReader::new(&stream);
                    while let Some(request) = read_message(&mut reader) {
                        record.line(&format!(
                            "platform call {} holder={} fence={} body={}",
                            request.word(1),
                            request.field("x-oriolecrank-duty-holder"),
                            request.field("x-oriolecrank-fence-token"),
                            String::from_utf8_lossy(&request.body)
                        ));
                        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                        if (&stream).write_all(answer).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    /// Sends the configuration until it is acknowledged.
    fn publish(&self, config: &str) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            for address in self.controls() {
                let status = call_json(address, "POST /config/replace", config);
                self.record
                    .line(&format!("operator {address} answers {status}"));
                if status == 200 {
                    return true;
                }
            }
            sleep(millis(300));
        }
        false
    }

    fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        sleep(millis(100));
        for child in self.children.lock().expect("no panic").values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Ends the case with an exit code and a last line in the record.
fn finish(site: &Site, code: i32, reason: &str) -> ! {
    site.record.line(&format!("verdict {code}: {reason}"));
    println!("{reason}");
    site.stop();
    exit(code);
}

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-chat","host":"ficu95.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":15000,"latencyTargetMs":150,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":120},
{"name":"r-check","host":"ficu95.example","pathPrefix":"/check/","kind":"stream","timeoutMs":2000,"latencyTargetMs":200,"priority":0,"service":"huvo11a","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":120},
{"name":"r-log","host":"ficu95.example","pathPrefix":"/log/","kind":"non_idempotent","timeoutMs":1200,"latencyTargetMs":250,"priority":2,"service":"wuno96b","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":160,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCacheTokens":1540000,"kvTokenBytes":192512,"linkMbps":18000000.0,"moves":false,"backups":false,"stride":77,"most":12,"kvTtlS":5.0,"switchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}},{"name":"wuno96b","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":["2b9wu3fexd9dnn2ctnfz"],"priority":1}]}"#;

// ---------------------------------------------------------------------------------------------
// Clients

/// What a client saw of a stream.
struct StreamOutcome {
    status: u16,
    events: u64,
    complete: bool,
}

/// Sends one attempt at a stream and reads it to its end.
fn stream_request(site: &Site, entry: SocketAddr, path: &str, parts: &str) -> StreamOutcome {
    let id = new_id();
    let chat = path.starts_with("/chat/");
    let limit = if chat { 15_000 } else { 2_000 };
    site.record
        .line(&format!("client sends request={id} path={path} to={entry}"));
    let fields = [
        ("X-Oriolecrank-Request-Id", id.clone()),
        ("X-Oriolecrank-Model", "m".to_owned()),
        ("X-Oriolecrank-Token-Count", "220,80".to_owned()),
        ("X-Oriolecrank-Prefix-Hash", parts.to_owned()),
        ("X-Oriolecrank-Deadline-Ms", limit.to_string()),
        ("X-Api-Key", KEY.to_owned()),
    ];
    let mut outcome = StreamOutcome {
        status: 0,
        events: 0,
        complete: false,
    };
    // Clients abandon a stream after a gap of two seconds.
    let answer = call(
        entry,
        &format!("POST {path}"),
        &fields,
        "ask",
        millis(2_000),
    );
    let mut retry_after = String::new();
    if let Some((head, mut reader)) = answer {
        outcome.status = head.word(1).parse().unwrap_or(0);
        retry_after = head.field("retry-after").to_owned();
        if head.field("transfer-encoding") == "chunked" {
            let mut text = Vec::new();
            while let Some(chunk) = read_chunk(&mut reader) {
                if chunk.is_empty() {
                    outcome.complete = true;
                    break;
                }
                text.extend(chunk);
            }
            let text = String::from_utf8_lossy(&text);
            outcome.events = text.matches("\n\n").count() as u64;
        }
    }
    site.record.line(&format!(
        "client got request={id} status={} events={} complete={} retry-after={retry_after}",
        outcome.status, outcome.events, outcome.complete
    ));
    outcome
}

/// A chat request crashes each server that runs it, some time after its first event, and comes again.
fn crashing_stream(site: &Arc<Site>, trouble: bool) {
    let crash_ms = std::env::var("CRASH_AFTER_MS").unwrap_or_else(|_| "700".to_owned());
    let crash = if trouble {
        format!("ends:{crash_ms}")
    } else {
        "never".to_owned()
    };
    site.start_platform();
    for machine in 1..=MACHINES {
        site.start_role("control", machine);
        site.start_role("entry", machine);
    }
    for number in 0..4 {
        site.keep_server(number, ENGINES, &crash, Duration::from_secs(3));
    }
    if !site.publish(CONFIG) {
        finish(site, 2, "the configuration was not acknowledged");
    }
    sleep(Duration::from_secs(6));
    for machine in 1..=MACHINES {
        let outcome = stream_request(site, site.entry(machine), "/check/warm-2", "aa:100,bb1:120");
        if !outcome.complete {
            finish(
                site,
                2,
                "a sound request was not served before the disruption",
            );
        }
    }
    let (sound, cut) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    for number in 0..6_usize {
        let (site, sound, cut) = (Arc::clone(site), Arc::clone(&sound), Arc::clone(&cut));
        spawn(move || {
            for turn in 0_usize.. {
                if site.stopping.load(Ordering::Relaxed) {
                    return;
                }
                let path = format!("/check/n{number}t{turn}-12");
                let parts = format!("aa:100,c{number}{turn:04}:120");
                let outcome = stream_request(
                    &site,
                    site.entry((number + turn) % MACHINES + 1),
                    &path,
                    &parts,
                );
                sound.fetch_add(1, Ordering::Relaxed);
                if outcome.status == 200 && !outcome.complete {
                    cut.fetch_add(1, Ordering::Relaxed);
                }
                sleep(millis(150));
            }
        });
    }
    let began = Instant::now();
    for turn in 0_usize.. {
        if began.elapsed() > Duration::from_secs(54) {
            break;
        }
        let (site, machine) = (Arc::clone(site), turn % MACHINES + 1);
        spawn(move || {
            stream_request(
                &site,
                site.entry(machine),
                "/chat/poison-60",
                "aa:100,dead1:120",
            );
        });
        sleep(Duration::from_secs(3));
    }
    judge_crashes(
        site,
        trouble,
        sound.load(Ordering::Relaxed),
        cut.load(Ordering::Relaxed),
    );
}

/// Ends a case with a crashing request: at most three arrivals are allowed later than `contactMs`
/// after its third crash.
fn judge_crashes(site: &Site, trouble: bool, sound: usize, lost: usize) -> ! {
    let text = std::fs::read_to_string(&site.record_path).expect("the record");
    let times = |what: &str, also: &str| -> Vec<u64> {
        let lines = text
            .lines()
            .filter(|line| line.contains(what) && line.contains(also));
        lines
            .filter_map(|line| line.split(' ').next()?.parse().ok())
            .collect()
    };
    let crashes = times(" crashes ", "server");
    let runs = times(" runs ", "marked=true");
    let summary = format!(
        "crashes={} runs of the crashing request={} sound requests={sound} lost={lost}",
        crashes.len(),
        runs.len()
    );
    let Some(third) = crashes.get(2) else {
        let code = if trouble { 2 } else { 0 };
        finish(site, code, &format!("{summary}; fewer than three crashes"));
    };
    let late = runs
        .iter()
        .filter(|time| **time > third + CONTACT_MS)
        .count();
    let reason = format!(
        "{summary}; it reached servers {late} times later than contactMs after its third crash \
         (3 are allowed)"
    );
    finish(site, i32::from(late > 3), &reason);
}

/// Sends one attempt at a ledger entry; returns the status, 0 without an answer in time.
fn ledger_request(site: &Site, entry: SocketAddr, path: &str) -> u16 {
    let id = new_id();
    site.record
        .line(&format!("client sends request={id} path={path} to={entry}"));
    let fields = [
        ("X-Oriolecrank-Request-Id", id.clone()),
        ("X-Oriolecrank-Deadline-Ms", "2500".to_owned()),
        ("X-Api-Key", KEY.to_owned()),
    ];
    let answer = call(
        entry,
        &format!("POST {path}"),
        &fields,
        "weight=412",
        millis(2_500),
    );
    let status = answer.map_or(0, |(head, _)| head.word(1).parse().unwrap_or(0));
    site.record
        .line(&format!("client got request={id} status={status}"));
    status
}

/// An entry for the ledger makes the machine of each server that runs it go dark, and comes again.
fn dark_servers(site: &Arc<Site>, trouble: bool) {
    site.start_platform();
    for machine in 1..=MACHINES {
        site.start_role("control", machine);
        site.start_role("entry", machine);
    }
    let crash = if trouble { "dark:3000" } else { "never" };
    for number in 0..4 {
        site.keep_server(number, LEDGER, crash, millis(100));
    }
    if !site.publish(CONFIG) {
        finish(site, 2, "the configuration was not acknowledged");
    }
    sleep(Duration::from_secs(6));
    for machine in 1..=MACHINES {
        if ledger_request(site, site.entry(machine), "/log/warm") != 200 {
            finish(
                site,
                2,
                "a sound request was not served before the disruption",
            );
        }
    }
    let (sound, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    for number in 0..6_usize {
        let (site, sound, lost) = (Arc::clone(site), Arc::clone(&sound), Arc::clone(&lost));
        spawn(move || {
            for turn in 0_usize.. {
                if site.stopping.load(Ordering::Relaxed) {
                    return;
                }
                let path = format!("/log/n{number}t{turn}");
                let status =
                    ledger_request(&site, site.entry((number + turn) % MACHINES + 1), &path);
                sound.fetch_add(1, Ordering::Relaxed);
                if status == 502 || status == 504 || status == 0 {
                    lost.fetch_add(1, Ordering::Relaxed);
                }
                sleep(millis(100));
            }
        });
    }
    for turn in 0_usize..16 {
        let (site, machine) = (Arc::clone(site), turn % MACHINES + 1);
        spawn(move || ledger_request(&site, site.entry(machine), "/log/poison"));
        sleep(Duration::from_secs(3));
    }
    judge_crashes(
        site,
        trouble,
        sound.load(Ordering::Relaxed),
        lost.load(Ordering::Relaxed),
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "server") {
        return run_server(&arguments[1..]);
    }
    let [case, folder, program] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER PROGRAM");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let site = Arc::new(Site::new(Path::new(folder), Path::new(program)));
    match case.as_str() {
        "crashing-stream" => crashing_stream(&site, trouble),
        "dark-servers" => dark_servers(&site, trouble),
        _ => finish(&site, 2, "no such case"),
    }
}
