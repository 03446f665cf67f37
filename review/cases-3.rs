//! Cases of the third review: starts the programs of the deploy file on loopback addresses, with
//! stand-ins for clients, servers, the operator and the platform. Only the standard library is used.
//!
//! usage: cases-3 CASE FOLDER    (`record.txt` is written to FOLDER; `TROUBLE=0` leaves out the disruption)

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Any<T> = Result<T, String>;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Whether the disruption takes place.
fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------- record

/// `record.txt`: what was sent, answered and run.
#[derive(Clone)]
struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn new(folder: &Path) -> Any<Self> {
        let file = File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// A record that keeps nothing, for what is sent too often to be written.
    fn quiet(other: &Self) -> Any<Self> {
        let file = File::create("/dev/null").map_err(|error| error.to_string())?;
        Ok(Self {
            start: other.start,
            file: Arc::new(Mutex::new(file)),
        })
    }

    fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

// ---------------------------------------------------------------------------------- HTTP/1.1

#[derive(Debug, Clone, Default)]
struct Message {
    /// First line: of a request `METHOD PATH VERSION`, of an answer `VERSION STATUS REASON`.
    first: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
    /// Whether the body ended as its framing says.
    complete: bool,
}

impl Message {
    fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads from a connection with a buffer.
struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Adds bytes to the buffer; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Reads the first line and the fields; `None` if the connection ends before.
    fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first,
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
                message.fields.push(field);
            }
        }
    }

    /// Reads the body; `piece` sees each part as it arrives. `to_end` tells whether a body without
    /// framing ends with the connection, as that of an answer does.
    fn body(
        &mut self,
        message: &mut Message,
        to_end: bool,
        mut piece: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        let chunked = message
            .field("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if chunked {
            loop {
                let Some(line) = self.line()? else {
                    return Ok(());
                };
                let size = line.split(';').next().unwrap_or("").trim().to_owned();
                let Ok(size) = usize::from_str_radix(&size, 16) else {
                    return Ok(());
                };
                let Some(bytes) = self.exactly(size + 2)? else {
                    return Ok(());
                };
                if size == 0 {
                    message.complete = true;
                    return Ok(());
                }
                piece(&bytes[..size]);
                message.body.extend_from_slice(&bytes[..size]);
            }
        }
        let length = message.field("content-length");
        let length: Option<usize> = length.and_then(|value| value.parse().ok());
        if let Some(mut left) = length {
            while left > 0 {
                if self.buffer.is_empty() && !self.fill()? {
                    return Ok(());
                }
                let count = left.min(self.buffer.len());
                let bytes: Vec<u8> = self.buffer.drain(..count).collect();
                piece(&bytes);
                message.body.extend_from_slice(&bytes);
                left -= count;
            }
        } else if to_end {
            loop {
                let bytes = std::mem::take(&mut self.buffer);
                piece(&bytes);
                message.body.extend_from_slice(&bytes);
                if !self.fill()? {
                    break;
                }
            }
        }
        message.complete = true;
        Ok(())
    }
}

fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(stream)
}

fn encode_request(
    method: &str,
    path: &str,
    host: &str,
    fields: &[(String, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a connection of its own.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(String, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = connect(address, limit)?;
    stream.write_all(&encode_request(
        method,
        path,
        &address.to_string(),
        fields,
        body,
    ))?;
    let mut reader = Reader::new(stream);
    let Some(mut answer) = reader.head()? else {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    };
    reader.body(&mut answer, true, |_| {})?;
    Ok(answer)
}

fn field(name: &str, value: impl ToString) -> (String, String) {
    (name.to_owned(), value.to_string())
}

/// Serves connections of a listener until the flag is set; `handle` returns false to close one.
fn serve(
    listener: TcpListener,
    ended: Arc<AtomicBool>,
    handle: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        listener.set_nonblocking(true).ok();
        while !ended.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ms(1));
                continue;
            };
            stream.set_nonblocking(false).ok();
            stream.set_nodelay(true).ok();
            if let (Ok(kept), Ok(mut open)) = (stream.try_clone(), open.lock()) {
                open.push(kept);
            }
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = Reader::new(stream);
                while let Ok(Some(mut request)) = reader.head() {
                    if reader.body(&mut request, false, |_| {}).is_err() || !request.complete {
                        return;
                    }
                    if !handle(&request, &mut writer).unwrap_or(false) {
                        break;
                    }
                }
                let _ = writer.shutdown(Shutdown::Both);
            });
        }
        drop(listener);
        let open = open.lock().map(|mut open| std::mem::take(&mut *open));
        for stream in open.unwrap_or_default() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
}

fn answer(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(String, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

// ---------------------------------------------------------------------------------- site

/// Number of control machines; each also runs an entry.
const CONTROLS: usize = 3;

/// The programs of the deploy file as processes, each machine with a loopback address of its own.
struct Site {
    record: Record,
    folder: PathBuf,
    net: [u8; 2],
    port: u16,
    children: Arc<Mutex<BTreeMap<String, Child>>>,
    platform: SocketAddr,
    /// Usage reports: holder, fence, body.
    reports: Arc<Mutex<Vec<(String, u64, String)>>>,
    /// Memory of a process in MB, as the settings state it.
    memory_mb: u32,
}

impl Site {
    fn start(record: &Record, entries: usize) -> Any<Self> {
        Self::start_with(record, entries, 260)
    }

    fn start_with(record: &Record, entries: usize, memory_mb: u32) -> Any<Self> {
        let id = std::process::id();
        let net = [64 + (id % 128) as u8, ((id / 128) % 250) as u8 + 1];
        let folder = std::env::temp_dir().join(format!("cases-3-{id}"));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let site = Self {
            record: record.clone(),
            folder,
            net,
            port: 21_000 + (id % 400) as u16 * 20,
            children: Arc::default(),
            platform: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], 200)), 8_408),
            reports: Arc::default(),
            memory_mb,
        };
        site.start_platform()?;
        for index in 1..=CONTROLS {
            site.run_process("control", index, true)?;
        }
        for index in 1..=entries {
            site.run_process("entry", index, true)?;
        }
        Ok(site)
    }

    fn ip(&self, host: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], host as u8))
    }

    /// Address of the entry on a machine.
    fn entry(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index), self.port + 5)
    }

    fn ready(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index), self.port + 6)
    }

    fn control(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index), self.port + 7)
    }

    fn controls(&self) -> Vec<SocketAddr> {
        (1..=CONTROLS).map(|index| self.control(index)).collect()
    }

    fn settings(&self, index: usize, bootstrap: bool) -> String {
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let zone = ["santiago-a", "temuco-a", "antofagasta-a"][(index - 1) % 3];
        let data = self.folder.join(format!("data-{index}"));
        format!(
            r#"name = "front-{zone}-{index}"
domain = "{zone}"
cluster = "site"
secret = "internal-network-of-the-site"
ip = "{ip}"
internal_port = {internal}
seeds = [{seeds}]
bootstrap = {bootstrap}
data_folder = "{data}"
tolerated_losses = 1
catch_up_s = 4
start_wait_s = 1.5
stop_limit_s = 8

[regions]
"santiago-a" = "santiago"
"temuco-a" = "temuco"
"antofagasta-a" = "antofagasta"

[listen]
callers = "{callers}"
ready = "{ready}"
operators = "{operators}"

[retries]
share = 0.2
fixed = 64
window_s = 10

[usage]
address = "{platform}"
window_s = 5
due_s = 10
lease_ms = 3000

[intake]
memory_mb = {memory}
max_descriptors = 4100

[orders]
lease_ms = 3000

[spill]
domain_ms_per_kib = 1.0
paced = true

[metrics]
entry_port = 9464
control_port = 9465

[fair_share]
"#,
            ip = self.ip(index),
            internal = self.port,
            seeds = seeds.join(", "),
            data = data.display(),
            callers = self.entry(index),
            ready = self.ready(index),
            operators = self.control(index),
            platform = self.platform,
            memory = self.memory_mb,
        )
    }

    /// Starts a program of the deploy file on a machine.
    fn run_process(&self, role: &str, index: usize, bootstrap: bool) -> Any<()> {
        let settings = self.folder.join(format!("{role}-{index}.toml"));
        std::fs::write(&settings, self.settings(index, bootstrap))
            .map_err(|error| error.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{role}-{index}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new("target/release/oriolecrank-platform")
            .arg(role)
            .env("ORIOLECRANK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("the program cannot be started: {error}"))?;
        self.record
            .line(&format!("start {role} {index} as process {}", child.id()));
        if let Ok(mut children) = self.children.lock() {
            children.insert(format!("{role}-{index}"), child);
        }
        Ok(())
    }

    fn kill(&self, name: &str) {
        let child = self
            .children
            .lock()
            .ok()
            .and_then(|mut all| all.remove(name));
        if let Some(mut child) = child {
            self.record.line(&format!("signal KILL to {name}"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_running(&self, name: &str) -> bool {
        let Ok(mut children) = self.children.lock() else {
            return false;
        };
        children
            .get_mut(name)
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Memory that a process uses, in MB.
    fn memory_of(&self, name: &str) -> u64 {
        let children = self.children.lock();
        let id = children.map_or(0, |children| children.get(name).map_or(0, Child::id));
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        let used = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        used.unwrap_or(0) / 1024
    }

    /// The platform's quota of processor time: a process runs until it has used `share` of a tenth of
    /// a second, and then not at all for the rest of it.
    fn keep_quota(&self, name: &str, share: f64, done: &AtomicBool) {
        let children = self.children.lock();
        let id = children.map_or(0, |children| children.get(name).map_or(0, Child::id));
        let used = || -> u64 {
            let text = std::fs::read_to_string(format!("/proc/{id}/schedstat"));
            let text = text.unwrap_or_default();
            text.split(' ')
                .next()
                .and_then(|time| time.parse().ok())
                .unwrap_or(0)
        };
        let quota = (share * 100_000_000.0) as u64;
        while !done.load(Ordering::Relaxed) && self.is_running(name) {
            let (begin, before) = (Instant::now(), used());
            let mut stopped = false;
            while begin.elapsed() < ms(100) {
                if !stopped && used() - before >= quota {
                    // SAFETY: the process is a child of this one that has not been waited for.
                    unsafe { kill(id as i32, SIGSTOP) };
                    stopped = true;
                }
                thread::sleep(ms(1));
            }
            if stopped {
                // SAFETY: as above.
                unsafe { kill(id as i32, SIGCONT) };
            }
        }
    }

    /// The platform's watch over memory: a process that uses more than it has is killed, and started
    /// again a second later.
    fn watch_memory(
        &self,
        done: &AtomicBool,
        ends: &Mutex<BTreeMap<String, usize>>,
        peaks: &Mutex<BTreeMap<String, u64>>,
    ) {
        let limit = u64::from(self.memory_mb);
        let mut down: BTreeMap<String, Instant> = BTreeMap::new();
        while !done.load(Ordering::Relaxed) {
            let running: Vec<(String, u32)> = self.children.lock().map_or_else(
                |_| Vec::new(),
                |children| {
                    children
                        .iter()
                        .map(|(name, child)| (name.clone(), child.id()))
                        .collect()
                },
            );
            for (name, id) in running {
                let status = std::fs::read_to_string(format!("/proc/{id}/status"));
                let status = status.unwrap_or_default();
                let line = status.lines().find(|line| line.starts_with("VmRSS"));
                let used = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
                let used: u64 = used.unwrap_or(0) / 1024;
                if let Ok(mut peaks) = peaks.lock() {
                    let peak = peaks.entry(name.clone()).or_default();
                    *peak = used.max(*peak);
                }
                if used > limit {
                    self.record
                        .line(&format!("{name} uses {used} MB of {limit} MB"));
                    self.kill(&name);
                    if let Ok(mut ends) = ends.lock() {
                        *ends.entry(name.clone()).or_default() += 1;
                    }
                    down.insert(name, Instant::now() + ms(1_000));
                }
            }
            let due: Vec<String> = down
                .iter()
                .filter(|(_, at)| Instant::now() >= **at)
                .map(|(name, _)| name.clone())
                .collect();
            for name in due {
                down.remove(&name);
                if let Some((role, index)) = name.split_once('-') {
                    let index = index.parse().unwrap_or(1);
                    let _ = self.run_process(role, index, false);
                }
            }
            thread::sleep(ms(10));
        }
    }

    /// The platform's interface: accepts usage reports and records them.
    fn start_platform(&self) -> Any<()> {
        let listener = TcpListener::bind(self.platform).map_err(|error| error.to_string())?;
        let reports = Arc::clone(&self.reports);
        let record = self.record.clone();
        serve(listener, Arc::default(), move |request, stream| {
            let holder = request
                .field("x-oriolecrank-duty-holder")
                .unwrap_or("")
                .to_owned();
            let fence = request.field("x-oriolecrank-fence-token").unwrap_or("");
            let fence = fence.parse().unwrap_or(0);
            let body = String::from_utf8_lossy(&request.body).into_owned();
            record.line(&format!(
                "platform: {} by {holder} fence {fence}: {body}",
                request.word(1)
            ));
            if let Ok(mut reports) = reports.lock() {
                reports.push((holder, fence, body));
            }
            answer(stream, 200, &[], b"{}")?;
            Ok(true)
        });
        Ok(())
    }

    /// Sends an order of the operator until it gets a clear answer; returns its status.
    fn order(&self, version: u64, document: &str, limit: Duration) -> Any<u16> {
        let end = Instant::now() + limit;
        let json = [field("Content-Type", "application/json")];
        let mut index = 0;
        while Instant::now() < end {
            let address = self.control(index % CONTROLS + 1);
            index += 1;
            let body = document.as_bytes();
            let sent = call(address, "POST", "/config/replace", &json, body, ms(1_500));
            match sent {
                Ok(answer) if answer.status() < 500 => {
                    self.record.line(&format!(
                        "operator: version {version} answered {} by {address}",
                        answer.status()
                    ));
                    return Ok(answer.status());
                }
                _ => thread::sleep(ms(150)),
            }
        }
        Err(format!("version {version} was not answered"))
    }

    /// Waits until an entry says that it is ready.
    fn await_ready(&self, index: usize, limit: Duration) -> Any<()> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let answer = call(self.ready(index), "GET", "/ready", &[], b"", ms(500));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(ms(50));
        }
        Err(format!("entry {index} did not become ready"))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Ok(mut children) = self.children.lock() {
            for (_, child) in children.iter_mut() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

// ---------------------------------------------------------------------------------- servers

/// What all servers share.
#[derive(Clone, Default)]
struct Servers {
    /// Prompts that engines keep, by handle.
    handles: Arc<Mutex<HashMap<String, String>>>,
    next_handle: Arc<AtomicU64>,
}

/// A server as it announces itself.
#[derive(Clone)]
struct Server {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    version: String,
    slots: u32,
    born: u64,
    /// `prefill`, `decode`, or empty for a plain server.
    phase: &'static str,
    sequence: Arc<AtomicU64>,
    /// No heartbeats any more.
    silent: Arc<AtomicBool>,
    /// The process has ended.
    ended: Arc<AtomicBool>,
}

impl Server {
    fn new(site: &Site, host: usize, id: &str, service: &str, phase: &'static str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: SocketAddr::new(site.ip(host), 8_080),
            zone: "santiago-a".to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            born: unix_ms(),
            phase,
            sequence: Arc::default(),
            silent: Arc::default(),
            ended: Arc::default(),
        }
    }

    fn heartbeat(&self, state: &str) -> String {
        let engine = if self.phase.is_empty() {
            String::new()
        } else {
            let models = r#"[{"name":"m","version":1,"adapters":[]}]"#;
            format!(r#","phase":"{}","models":{models}"#, self.phase)
        };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"{state}","coldLeftMs":0,"seq":{},"born":{}{engine}}}"#,
            self.service,
            self.address,
            self.zone,
            self.version,
            self.slots,
            self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            self.born,
        )
    }

    /// Sends a call to the control machines until one acknowledges it; returns which and when.
    fn tell(
        &self,
        controls: &[SocketAddr],
        call_name: &str,
        body: &str,
        tries: usize,
    ) -> Option<(SocketAddr, Instant)> {
        let path = format!("/instances/{}/{call_name}", self.id);
        let json = [field("Content-Type", "application/json")];
        let first = self.sequence.load(Ordering::Relaxed) as usize;
        for index in 0..tries {
            let address = controls[(first + index) % controls.len()];
            let sent = call(address, "POST", &path, &json, body.as_bytes(), ms(1_000));
            if sent.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                return Some((address, Instant::now()));
            }
            thread::sleep(ms(50));
        }
        None
    }

    /// Sends a heartbeat every 1.2 s.
    fn announce(&self, controls: Vec<SocketAddr>) {
        let server = self.clone();
        thread::spawn(move || {
            while !server.silent.load(Ordering::Relaxed) && !server.ended.load(Ordering::Relaxed) {
                let body = server.heartbeat("ready");
                server.tell(&controls, "heartbeat", &body, 3);
                thread::sleep(ms(1_200));
            }
        });
    }

    /// Fields of each answer to a request.
    fn stamp(&self, request: &Message) -> Vec<(String, String)> {
        let id = request.field("x-oriolecrank-request-id").unwrap_or("");
        vec![
            field("X-Oriolecrank-Request-Id", id),
            field(
                "X-Oriolecrank-Server-Stamp",
                format!("stamp.{}.{id}", self.id),
            ),
            field("Keep-Alive", "timeout=10"),
        ]
    }

    fn refuse(&self, request: &Message, stream: &mut TcpStream, status: u16) -> io::Result<bool> {
        let mut fields = self.stamp(request);
        fields.push(field("X-Oriolecrank-Not-Executed", "1"));
        answer(stream, status, &fields, b"")?;
        Ok(true)
    }

    /// Whether another server is meant.
    fn is_misdirected(&self, request: &Message) -> bool {
        request
            .field("x-oriolecrank-expect-instance")
            .is_some_and(|expected| expected != self.id)
    }
}

/// How an engine works.
#[derive(Clone)]
struct Engine {
    server: Server,
    servers: Servers,
    record: Record,
    /// Prompt tokens that are read in a ms.
    tokens_per_ms: u64,
    /// Events of a stream and the time between them.
    events: u64,
    pause: Duration,
}

impl Engine {
    /// Serves requests as the pages say. Prompts are read one after the other.
    fn start(self) -> Any<()> {
        let listener = TcpListener::bind(self.server.address).map_err(|error| error.to_string())?;
        let reading = Mutex::new(());
        let ended = Arc::clone(&self.server.ended);
        serve(listener, ended, move |request, stream| {
            self.handle(request, stream, &reading)
        });
        Ok(())
    }

    fn note(&self, request: &Message, prefill: bool, status: u16) {
        let id = request.field("x-oriolecrank-request-id").unwrap_or("");
        self.record.line(&format!(
            "server {}: {} {id}{} answered {status}",
            self.server.id,
            request.first,
            if prefill { " (prefill)" } else { "" }
        ));
    }

    fn handle(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        reading: &Mutex<()>,
    ) -> io::Result<bool> {
        if request.word(0) == "DELETE" {
            answer(stream, 200, &[], b"")?;
            return Ok(true);
        }
        let prefill = request.field("x-oriolecrank-phase") == Some("prefill");
        let wrong_stage = prefill != (self.server.phase == "prefill");
        let id = request.field("x-oriolecrank-request-id").unwrap_or("");
        let status = if self.server.is_misdirected(request) || wrong_stage {
            421
        } else {
            200
        };
        if status != 200 {
            self.note(request, prefill, status);
            return self.server.refuse(request, stream, status);
        }
        let tokens = request.field("x-oriolecrank-token-count").unwrap_or("");
        let tokens: u64 = tokens.split(',').next().unwrap_or("").parse().unwrap_or(0);
        let read_prompt = || {
            let _turn = reading.lock();
            thread::sleep(ms(tokens / self.tokens_per_ms.max(1)));
        };
        let mut fields = self.server.stamp(request);
        if prefill {
            self.record.line(&format!(
                "server {}: {id} arrives to have its prompt read",
                self.server.id
            ));
            read_prompt();
            let number = self.servers.next_handle.fetch_add(1, Ordering::Relaxed);
            let handle = format!("{:012x}", 0x3fa0_9c41_0000 + number);
            if let Ok(mut handles) = self.servers.handles.lock() {
                handles.insert(handle.clone(), id.to_owned());
            }
            fields.push(field("Content-Type", "application/json"));
            let body = format!(r#"{{"kvHandle":"{handle}","tokens":{tokens},"version":1}}"#);
            self.note(request, true, 200);
            answer(stream, 200, &fields, body.as_bytes())?;
            return Ok(true);
        }
        match request.field("x-oriolecrank-kv-source") {
            Some(source) => {
                let handle = source.rsplit('/').next().unwrap_or("");
                let taken = self.servers.handles.lock().ok();
                let taken = taken.and_then(|mut handles| handles.remove(handle));
                if taken.is_none() {
                    self.note(request, false, 503);
                    return self.server.refuse(request, stream, 503);
                }
            }
            None => read_prompt(),
        }
        self.record
            .line(&format!("server {}: {id} begins to run", self.server.id));
        let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
        for (name, value) in &fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("Transfer-Encoding: chunked\r\n\r\n");
        stream.write_all(text.as_bytes())?;
        let after = request.field("last-event-id").unwrap_or("");
        let after: u64 = after.parse().unwrap_or(0);
        for number in after + 1..=self.events {
            if self.server.ended.load(Ordering::Relaxed) {
                self.record.line(&format!(
                    "server {}: ends, {id} is cut off after event {}",
                    self.server.id,
                    number - 1
                ));
                return Ok(false);
            }
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(self.pause);
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.record
            .line(&format!("server {}: {id} is done", self.server.id));
        Ok(true)
    }
}

// ---------------------------------------------------------------------------------- clients

/// A request of a client and what became of it.
#[derive(Debug, Clone, Default)]
struct Outcome {
    status: u16,
    complete: bool,
    events: u64,
    body: Vec<u8>,
    fields: Vec<(String, String)>,
    error: String,
}

/// Sends a request to an entry and reads the answer to its end.
fn ask(
    record: &Record,
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    fields: &[(String, String)],
    body: &[u8],
    limit: Duration,
) -> Outcome {
    let mut outcome = Outcome::default();
    record.line(&format!("client: {id} {method} {path} to {address}"));
    let mut all = vec![
        field("X-Oriolecrank-Request-Id", id),
        field("X-Oriolecrank-Deadline-Ms", limit.as_millis()),
    ];
    all.extend_from_slice(fields);
    let sent = (|| -> io::Result<()> {
        let mut stream = connect(address, ms(1_000))?;
        stream.set_read_timeout(Some(limit + ms(1_000)))?;
        stream.write_all(&encode_request(method, path, HOST, &all, body))?;
        let mut reader = Reader::new(stream);
        let Some(mut answer) = reader.head()? else {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
        };
        outcome.status = answer.status();
        outcome.fields = answer.fields.clone();
        let read = reader.body(&mut answer, true, |_| {});
        outcome.complete = answer.complete;
        let text = String::from_utf8_lossy(&answer.body);
        outcome.events = text.matches("id: ").count() as u64;
        outcome.body = answer.body.clone();
        read
    })();
    if let Err(error) = sent {
        outcome.error = error.to_string();
    }
    record.line(&format!(
        "client: {id} answered {} complete {} events {} {}",
        outcome.status, outcome.complete, outcome.events, outcome.error
    ));
    outcome
}

/// Host of all routes.
const HOST: &str = "ficu95.example";
/// Key of the only tenant.
const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
/// Service of the model servers.
const ENGINES: &str = "huvo11a";
/// Another service of plain servers.
const OTHER: &str = "xano55b";
/// Service of the plain servers.
const PLAIN: &str = "wuno96b";

/// Configuration like that of the site lento-sur.
fn document(version: u64, tenant: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-chat","host":"{HOST}","pathPrefix":"/pufi791/","kind":"stream","timeoutMs":15000,"latencyTargetMs":1100,"priority":1,"service":"{ENGINES}","maxAttempts":2,"public":false,"sticky":true,"resumable":false,"gapTargetMs":120}},
{{"name":"r-check","host":"{HOST}","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":2000,"latencyTargetMs":200,"priority":0,"service":"{ENGINES}","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":120}},
{{"name":"r-log","host":"{HOST}","pathPrefix":"/pule252/","kind":"non_idempotent","timeoutMs":2500,"latencyTargetMs":250,"priority":2,"service":"{PLAIN}","maxAttempts":1,"public":false}},
{{"name":"r-view","host":"{HOST}","pathPrefix":"/sewi118/","kind":"idempotent","timeoutMs":2500,"latencyTargetMs":250,"priority":2,"service":"{PLAIN}","maxAttempts":2,"public":false}}],
"services":[{{"name":"{ENGINES}","healthPath":"/healthz","maxConns":160,"protocol":"h1","tls":false,"engine":{{"slots":6,"kvCacheTokens":1540000,"kvTokenBytes":192512,"linkMbps":18000000.0,"moves":true,"backups":true,"stride":77,"most":12,"kvTtlS":5.0,"switchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}},
{{"name":"{PLAIN}","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"{tenant}","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

// ---------------------------------------------------------------------------------- cases

/// What a case has found.
enum Verdict {
    Broken(String),
    Held(String),
}

fn run_case(case: &str, record: &Record) -> Any<Verdict> {
    match case {
        "heartbeat" => partial_heartbeat(record),
        "routes" => many_routes(record),
        "parts" => prompt_parts(record),
        "kept" => kept_connections(record),
        _ => Err(format!("no such case: {case}")),
    }
}

/// Fault: control processes need more memory than they have while the configuration grows.
fn many_routes(record: &Record) -> Any<Verdict> {
    /// Routes that one change adds, as `big_config` does at most.
    const STEP: usize = 1_988;
    /// Changes that add routes.
    const STEPS: usize = 6;
    let site = Site::start_with(record, 2, 160)?;
    let large = |version: u64, routes: usize| -> String {
        let mut more = String::new();
        for index in 0..routes {
            more.push_str(&format!(
                r#"{{"name":"r-{index:07}","host":"{HOST}","pathPrefix":"/more{index:06}/","kind":"idempotent","timeoutMs":2500,"latencyTargetMs":250,"priority":2,"service":"{PLAIN}","maxAttempts":2,"public":false,"sticky":false,"resumable":false}},"#
            ));
        }
        let base = document(version, "huka270");
        base.replacen(r#""routes":["#, &format!(r#""routes":[{more}"#), 1)
    };
    site.order(7, &document(7, "huka270"), ms(15_000))?;
    site.await_ready(1, ms(10_000))?;
    let done = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let peaks: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let step = if trouble() { STEP } else { 0 };
    let acknowledged = thread::scope(|scope| -> usize {
        scope.spawn(|| site.watch_memory(&done, &ends, &peaks));
        let mut version = 8;
        let mut acknowledged = 0;
        for index in 1..=STEPS {
            let text = large(version, index * step);
            record.line(&format!(
                "operator: version {version} has {} bytes",
                text.len()
            ));
            acknowledged += usize::from(site.order(version, &text, ms(5_000)) == Ok(200));
            version += 1;
            thread::sleep(ms(1_000));
        }
        // Small changes of the large configuration, eight orders in progress at once.
        let end = Instant::now() + ms(80_000);
        while Instant::now() < end {
            let orders: Vec<_> = (0..8)
                .map(|number| {
                    let (site, large) = (&site, &large);
                    scope.spawn(move || {
                        let text = large(version + number, STEPS * step);
                        site.order(version + number, &text, ms(5_000))
                    })
                })
                .collect();
            for order in orders {
                acknowledged += usize::from(matches!(order.join(), Ok(Ok(200))));
            }
            version += 8;
            thread::sleep(ms(300));
            let ended = ends
                .lock()
                .map(|ends| ends.values().filter(|count| **count >= 3).count());
            if ended.unwrap_or(0) >= 2 {
                break;
            }
        }
        done.store(true, Ordering::Relaxed);
        acknowledged
    });
    let ends = ends.lock().map_err(|error| error.to_string())?.clone();
    let peaks = peaks.lock().map_err(|error| error.to_string())?.clone();
    let text = format!(
        "ends over the limit {ends:?}, peak MB {peaks:?}, {acknowledged} orders acknowledged"
    );
    let broken = ends.values().filter(|count| **count >= 3).count() >= 2;
    Ok(if broken {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// RECOVER: an entry whose clients keep their connections says that it is ready and closes new ones.
fn kept_connections(record: &Record) -> Any<Verdict> {
    /// `contactMs`.
    const CONTACT: Duration = Duration::from_millis(4_000);
    /// Clients that try to connect, and how long.
    const NEW_CLIENTS: usize = 10;
    const TRIED: Duration = Duration::from_millis(8_000);
    let kept = if trouble() { 2_400 } else { 100 };
    let site = Site::start(record, 1)?;
    let controls = site.controls();
    let ledger = Server::new(&site, 120, "i-ledger", PLAIN, "");
    let listener = TcpListener::bind(ledger.address).map_err(|error| error.to_string())?;
    let own = ledger.clone();
    serve(listener, Arc::default(), move |request, stream| {
        answer(stream, 200, &own.stamp(request), b"seen")?;
        Ok(true)
    });
    site.order(7, &document(7, "huka270"), ms(15_000))?;
    ledger.announce(controls);
    site.await_ready(1, ms(10_000))?;
    thread::sleep(ms(3_000));
    let mut open: Vec<Reader> = Vec::new();
    for number in 0..kept {
        let fields = [
            field("X-Oriolecrank-Request-Id", format!("{number:08x}")),
            field("X-Oriolecrank-Deadline-Ms", 2_500),
            field("X-Api-Key", KEY),
        ];
        let sent = (|| -> io::Result<Option<Reader>> {
            let mut stream = connect(site.entry(1), ms(1_000))?;
            stream.write_all(&encode_request("GET", "/sewi118/2f", HOST, &fields, b""))?;
            let mut reader = Reader::new(stream);
            let Some(mut answer) = reader.head()? else {
                return Ok(None);
            };
            reader.body(&mut answer, true, |_| {})?;
            Ok((answer.status() == 200).then_some(reader))
        })();
        if let Ok(Some(reader)) = sent {
            open.push(reader);
        }
    }
    record.line(&format!(
        "{} of {kept} clients are served and keep their connection; the entry uses {} MB",
        open.len(),
        site.memory_of("entry-1")
    ));
    let begin = Instant::now();
    // Ends of requests on new connections: seconds since the begin, and the status.
    let tries: Mutex<Vec<(f64, u16)>> = Mutex::default();
    let probes: Mutex<Vec<u16>> = Mutex::default();
    thread::scope(|scope| {
        let (site, tries, probes) = (&site, &tries, &probes);
        for client in 0..NEW_CLIENTS {
            scope.spawn(move || {
                let mut number = 0;
                while begin.elapsed() < TRIED {
                    let id = format!("f{client:02}{number:05x}");
                    let key = [field("X-Api-Key", KEY)];
                    let to = site.entry(1);
                    let outcome = ask(record, to, "GET", "/sewi118/2f", &id, &key, b"", ms(2_500));
                    if let Ok(mut tries) = tries.lock() {
                        tries.push((begin.elapsed().as_secs_f64(), outcome.status));
                    }
                    number += 1;
                    thread::sleep(ms(500));
                }
            });
        }
        scope.spawn(move || {
            while begin.elapsed() < TRIED {
                let answer = call(site.ready(1), "GET", "/ready", &[], b"", ms(1_000));
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!(
                    "platform: the entry says {status} to the question whether it is ready"
                ));
                if let Ok(mut probes) = probes.lock() {
                    probes.push(status);
                }
                thread::sleep(ms(1_000));
            }
        });
    });
    let tries = tries.lock().map_err(|error| error.to_string())?;
    let probes = probes.lock().map_err(|error| error.to_string())?;
    let served = tries.iter().filter(|(_, status)| *status == 200).count();
    let always_ready = probes.iter().all(|status| *status == 200);
    let text = format!(
        "{} kept connections: {served} of {} requests on new connections served in {} s, ready each time: {always_ready}",
        open.len(),
        tries.len(),
        TRIED.as_secs()
    );
    let broken = served == 0 && always_ready && TRIED > CONTACT;
    Ok(if broken {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// ROUTE: a heartbeat without two of its fields moves a server to another service.
fn partial_heartbeat(record: &Record) -> Any<Verdict> {
    let site = Site::start(record, 2)?;
    let controls = site.controls();
    let ledger = Server::new(&site, 101, "i-ledger", PLAIN, "");
    let view = Server::new(&site, 102, "i-view", OTHER, "");
    let runs: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    for server in [&ledger, &view] {
        let listener = TcpListener::bind(server.address).map_err(|error| error.to_string())?;
        let (own, runs, lines) = (server.clone(), Arc::clone(&runs), record.clone());
        serve(listener, Arc::default(), move |request, stream| {
            if own.is_misdirected(request) {
                return own.refuse(request, stream, 421);
            }
            let id = request.field("x-oriolecrank-request-id").unwrap_or("");
            lines.line(&format!("server {}: runs {} {id}", own.id, request.word(1)));
            if let Ok(mut runs) = runs.lock() {
                runs.push((own.id.clone(), request.word(1).to_owned()));
            }
            answer(stream, 200, &own.stamp(request), own.id.as_bytes())?;
            Ok(true)
        });
    }
    let routes = document(7, "huka270").replace(
        r#"{"name":"r-view","#,
        &format!(
            r#"{{"name":"r-other","host":"{HOST}","pathPrefix":"/other55/","kind":"idempotent","timeoutMs":2500,"latencyTargetMs":250,"priority":2,"service":"{OTHER}","maxAttempts":2,"public":false}},{{"name":"r-view","#
        ),
    );
    let services = routes.replace(
        r#""services":["#,
        &format!(r#""services":[{{"name":"{OTHER}","healthPath":"/healthz","maxConns":130}},"#),
    );
    site.order(7, &services, ms(15_000))?;
    ledger.announce(controls.clone());
    view.announce(controls.clone());
    for index in 1..=2 {
        site.await_ready(index, ms(10_000))?;
    }
    thread::sleep(ms(3_000));
    let key = [field("X-Api-Key", KEY)];
    for number in 0..4_usize {
        let (id, to) = (format!("a{number:07x}"), site.entry(number % 2 + 1));
        ask(record, to, "GET", "/other55/2f", &id, &key, b"", ms(2_500));
    }
    if trouble() {
        let sequence = ledger.sequence.load(Ordering::Relaxed) + 50;
        // Without `version` and `coldLeftMs`.
        let body = format!(
            r#"{{"service":"{OTHER}","address":"{}","zone":"{}","slots":6,"state":"ready","seq":{sequence},"born":{}}}"#,
            ledger.address, ledger.zone, ledger.born
        );
        let path = format!("/instances/{}/heartbeat", ledger.id);
        let json = [field("Content-Type", "application/json")];
        let sent = call(
            controls[0],
            "POST",
            &path,
            &json,
            body.as_bytes(),
            ms(1_000),
        );
        let status = sent.map_or(0, |answer| answer.status());
        record.line(&format!("another writer: {body} answered {status}"));
    }
    thread::sleep(ms(2_500));
    for number in 0..40_usize {
        let (id, to) = (format!("b{number:07x}"), site.entry(number % 2 + 1));
        ask(record, to, "GET", "/other55/2f", &id, &key, b"", ms(2_500));
        thread::sleep(ms(50));
    }
    let runs = runs.lock().map_err(|error| error.to_string())?;
    let wrong = runs
        .iter()
        .filter(|(server, path)| server == "i-ledger" && path.starts_with("/other55/"));
    let wrong = wrong.count();
    let text = format!(
        "{wrong} of {} requests of {OTHER} ran at a server of {PLAIN}",
        runs.len()
    );
    Ok(if wrong > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// CONFIG: an entry spends all its time on the parts of prompts that it takes for evicted.
fn prompt_parts(record: &Record) -> Any<Verdict> {
    /// Requests a second that reach the entry, and for how many seconds.
    const RATE: f64 = 60.0;
    const SECONDS: f64 = 95.0;
    /// Length of the parts in which prompts are listed, in tokens.
    const PART: u64 = 16;
    const CLIENTS: u64 = 200;
    /// Share of a core that the machine has.
    const SHARE: f64 = 0.19;
    let site = Site::start(record, 1)?;
    let servers = Servers::default();
    let controls = site.controls();
    let quiet = Record::quiet(record)?;
    for number in 0..3 {
        let id = format!("i-engine-{number}");
        let server = Server::new(&site, 101 + number, &id, ENGINES, "decode");
        let engine = Engine {
            server: server.clone(),
            servers: servers.clone(),
            record: quiet.clone(),
            tokens_per_ms: 1_320,
            events: 2,
            pause: ms(5),
        };
        engine.start()?;
        server.announce(controls.clone());
    }
    site.order(7, &document(7, "huka270"), ms(15_000))?;
    site.await_ready(1, ms(10_000))?;
    thread::sleep(ms(3_000));
    // Tokens that requests share, and those of its own, as in `fitness-check` and in `owner-chat`.
    let (shared, own) = if trouble() { (6_300, 2_890) } else { (79, 141) };
    let prompt = |turn: u64| -> String {
        let mut parts: Vec<String> = Vec::new();
        for (first, tokens) in [(0xa000_0000_u64, shared), (turn * 256 + 1, own)] {
            let mut left = tokens;
            for number in 0.. {
                let part = left.min(PART);
                parts.push(format!("{:08x}:{part}", first + number));
                left -= part;
                if left == 0 {
                    break;
                }
            }
        }
        parts.join(",")
    };
    record.line(&format!(
        "a prompt of {} tokens has {} parts, in a field of {} bytes",
        shared + own,
        prompt(0).split(',').count(),
        prompt(0).len()
    ));
    let due = |turn: u64| turn as f64 / RATE;
    let turns = (RATE * SECONDS) as u64;
    let begin = Instant::now();
    /// When a request was sent, its status, and the time to its answer.
    type Result = (f64, u16, f64);
    let results: Mutex<Vec<Result>> = Mutex::default();
    let probes: Mutex<Vec<Result>> = Mutex::default();
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (site, results, quiet, prompt) = (&site, &results, &quiet, &prompt);
            scope.spawn(move || {
                for turn in (client..turns).step_by(CLIENTS as usize) {
                    let at = begin + Duration::from_secs_f64(due(turn));
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    let id = format!("{:08x}", turn + 1);
                    let fields = [
                        field("X-Api-Key", KEY),
                        field("X-Oriolecrank-Model", "m"),
                        field("X-Oriolecrank-Token-Count", format!("{},2", shared + own)),
                        field("X-Oriolecrank-Prefix-Hash", prompt(turn)),
                    ];
                    let sent = Instant::now();
                    let (to, limit) = (site.entry(1), ms(2_000));
                    let outcome = ask(
                        quiet,
                        to,
                        "POST",
                        "/lohu930/2f",
                        &id,
                        &fields,
                        b"prompt",
                        limit,
                    );
                    let took = sent.elapsed().as_secs_f64();
                    if let Ok(mut results) = results.lock() {
                        let at = sent.duration_since(begin).as_secs_f64();
                        results.push((at, outcome.status, took));
                    }
                }
            });
        }
        let (site, probes, done) = (&site, &probes, &done);
        scope.spawn(|| site.keep_quota("entry-1", SHARE, done));
        scope.spawn(move || {
            while begin.elapsed().as_secs_f64() < SECONDS {
                let sent = Instant::now();
                let answer = call(site.ready(1), "GET", "/ready", &[], b"", ms(1_000));
                if let Ok(mut probes) = probes.lock() {
                    let at = sent.duration_since(begin).as_secs_f64();
                    let status = answer.map_or(0, |answer| answer.status());
                    probes.push((at, status, sent.elapsed().as_secs_f64()));
                }
                thread::sleep(ms(1_000).saturating_sub(sent.elapsed()));
            }
            thread::sleep(ms(4_000));
            done.store(true, Ordering::Relaxed);
        });
    });
    let results = results.lock().map_err(|error| error.to_string())?;
    let probes = probes.lock().map_err(|error| error.to_string())?;
    for from in (0..(SECONDS) as u64).step_by(4) {
        let within = |at: f64| at >= from as f64 && at < (from + 4) as f64;
        let here: Vec<&Result> = results.iter().filter(|(at, ..)| within(*at)).collect();
        let served = here.iter().filter(|(_, status, _)| *status == 200).count();
        let silent = here.iter().filter(|(_, status, _)| *status == 0).count();
        let longest = here.iter().map(|(.., took)| *took).fold(0.0, f64::max);
        let ready = probes
            .iter()
            .filter(|(at, status, _)| within(*at) && *status == 200);
        record.line(&format!(
            "second {from}: {} sent, {served} served, {silent} without an answer, longest {longest:.3} s, ready {} times",
            here.len(),
            ready.count()
        ));
    }
    // Unanswered at the time-out of their route, and half a second later.
    let unanswered = results.iter().filter(|(.., took)| *took >= 2.0).count();
    let silent = results
        .iter()
        .filter(|(_, status, took)| *took >= 2.5 || (*took >= 2.0 && *status == 0))
        .count();
    let text = format!(
        "{unanswered} of {} requests were unanswered at their route's time-out, {silent} of them half a second later",
        results.len()
    );
    let broken = unanswered >= 20 && silent * 2 > unanswered;
    Ok(if broken {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: cases-3 CASE FOLDER");
        std::process::exit(2);
    };
    let record = match Record::new(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cases-3: {error}");
            std::process::exit(2);
        }
    };
    let with = if trouble() { "with" } else { "without" };
    record.line(&format!("case {case}, {with} the disruption"));
    let code = match run_case(case, &record) {
        Ok(Verdict::Broken(text)) => {
            record.line(&format!("BROKEN: {text}"));
            println!("case {case}: broken: {text}");
            1
        }
        Ok(Verdict::Held(text)) => {
            record.line(&format!("HELD: {text}"));
            println!("case {case}: held: {text}");
            0
        }
        Err(text) => {
            record.line(&format!("DID NOT RUN: {text}"));
            println!("case {case}: did not run: {text}");
            2
        }
    };
    std::process::exit(code);
}
