//! Stand-ins of the second review: starts a small site of the project's own programs and plays its
//! servers, clients, operator and platform on loopback. `standin-2 CASE` plays one case and writes
//! `record.txt`; the exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not
//! run. With `TROUBLE=0` in the environment the disruption is left out.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[path = "cases-2.rs"]
mod case;

/// Processes that the case has started and that have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Time for which any case may run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Writes what happens to `record.txt`, with the time since the start of the case.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// A request or an answer that was read from a connection.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line: request line or status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body has its whole length.
    pub complete: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the first line and the fields of a message.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        first: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        message
            .fields
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the body of a message; `piece` gets each piece as it arrives.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    mut piece: impl FnMut(&[u8]),
) -> io::Result<()> {
    if message
        .field("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                message.complete = true;
                return Ok(());
            }
            piece(&chunk[..size]);
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    if length > 0 {
        piece(&body);
    }
    message.body = body;
    message.complete = true;
    Ok(())
}

/// Sends a request on a new connection and reads the answer; `None` if there is no whole head.
/// `piece` gets the pieces of the body. The connection is given up after `patience` without a byte.
pub fn call(
    address: SocketAddr,
    request: &[u8],
    patience: Duration,
    piece: impl FnMut(&[u8]),
) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    (&stream).write_all(request).ok()?;
    let mut reader = BufReader::new(&stream);
    let mut answer = read_head(&mut reader).ok()?;
    let _ = read_body(&mut reader, &mut answer, piece);
    Some(answer)
}

/// Bytes of a request with a JSON or empty body.
pub fn request(method: &str, path: &str, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// What an address does with one request. The stream is for the answer; `false` closes the
/// connection.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Serves an address until the process ends.
pub fn listen(address: SocketAddr, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), handler) = (stream, Arc::clone(&handler)) else {
                continue;
            };
            thread::spawn(move || serve(stream, &handler));
        }
    });
    Ok(())
}

fn serve(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    loop {
        let Ok(mut message) = read_head(&mut reader) else {
            return;
        };
        if read_body(&mut reader, &mut message, |_| {}).is_err() {
            return;
        }
        if !handler(&message, &mut stream) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// Writes an answer with a body of known length.
pub fn answer(stream: &mut TcpStream, status: &str, fields: &[(&str, &str)], body: &str) -> bool {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).is_ok()
}

/// A program of the project that the case has started.
pub struct Program {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    fn start(&mut self, root: &Path) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(root.join("target/release/oriolecrank-platform"));
        command.arg(self.role).current_dir(root).env_clear();
        command.env("ORIOLECRANK_CONFIG", &self.settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let child = command.spawn()?;
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }
}

/// Ports of a site, the same on all of its machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
}

/// A running site: three machines with a disk and a control instance and an entry each.
pub struct Site {
    pub root: PathBuf,
    pub record: Arc<Record>,
    folder: PathBuf,
    network: [u8; 2],
    pub ports: Ports,
    pub programs: BTreeMap<String, Program>,
    bootstrap: bool,
}

impl Drop for Site {
    fn drop(&mut self) {
        for program in self.programs.values_mut() {
            program.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub const ZONES: [&str; 3] = ["piedmont-a", "black-belt-a", "gulf-coast-a"];
pub const REGIONS: [&str; 3] = ["piedmont", "black-belt", "gulf-coast"];

impl Site {
    /// Prepares a site with free loopback addresses and a temporary folder.
    pub fn new(root: &Path, record: &Arc<Record>) -> io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("oriolecrank-review-2-{id}"));
        fs::create_dir_all(&folder)?;
        let mut number = id;
        for _ in 0..50 {
            number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let network = [64 + (number >> 8 & 0x3f) as u8, (number >> 16 & 0xff) as u8];
            let base = 20_000 + (number >> 4 & 0x1fff) as u16;
            let ports = Ports {
                front: base,
                ready: base + 1,
                control: base + 2,
                internal: base + 3,
            };
            let free = (1..=3).all(|host| {
                let ip = IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], host));
                let own = [base, base + 1, base + 2, base + 3, 9464, 9465];
                own.iter()
                    .all(|port| TcpListener::bind((ip, *port)).is_ok())
            });
            if free {
                return Ok(Self {
                    root: root.to_owned(),
                    record: Arc::clone(record),
                    folder,
                    network,
                    ports,
                    programs: BTreeMap::new(),
                    bootstrap: true,
                });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network[0], self.network[1], host))
    }

    pub fn front(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), self.ports.front)
    }

    pub fn ready(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), self.ports.ready)
    }

    pub fn control(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), self.ports.control)
    }

    /// Address of a server or of the platform.
    pub fn server(&self, host: u8) -> SocketAddr {
        SocketAddr::new(self.ip(host), 8080)
    }

    pub fn registry(&self) -> Registry {
        let controls = (1..=3).map(|machine| self.control(machine)).collect();
        Registry {
            record: Arc::clone(&self.record),
            controls,
        }
    }

    /// Fills in `deploy/node.toml` for a machine as the platform does.
    fn settings(&self, machine: u8, role: &str) -> io::Result<String> {
        let template = fs::read_to_string(self.root.join("deploy/node.toml"))?;
        let index = usize::from(machine - 1) % 3;
        let mut values: BTreeMap<String, String> = BTreeMap::new();
        let mut set = |name: &str, value: String| values.insert(name.to_owned(), value);
        set("nodeName", format!("front-{}-{machine}", ZONES[index]));
        set("zone", ZONES[index].to_owned());
        set("ip", self.ip(machine).to_string());
        set("portRange.0", self.ports.internal.to_string());
        set("bootstrap", self.bootstrap.to_string());
        set(
            "dataDir",
            self.folder
                .join(format!("data-{machine}-{role}"))
                .display()
                .to_string(),
        );
        set("faultTolerance.machines", "1".to_owned());
        set("listen.front", self.front(machine).to_string());
        set("listen.ready", self.ready(machine).to_string());
        set("listen.control", self.control(machine).to_string());
        set("cloud.address", self.server(60).to_string());
        set("limits.memoryMb", "260".to_owned());
        set("limits.maxFds", "4100".to_owned());
        for (name, value) in [
            ("catchUpS", "4"),
            ("graceS", "8"),
            ("retryBudgetRatio", "0.2"),
            ("budgetSlack", "62"),
            ("budgetWindowS", "10"),
            ("usageWindowS", "5"),
            ("usageLateS", "10"),
            ("leaseMs", "3000"),
        ] {
            set(&format!("bounds.{name}"), value.to_owned());
        }
        let seeds: Vec<(String, String)> = (1..=3)
            .map(|host| (String::new(), self.control(host).to_string()))
            .collect();
        let zones = ZONES.iter().zip(REGIONS);
        let zones = zones
            .map(|(zone, region)| ((*zone).to_owned(), region.to_owned()))
            .collect();
        let lists = BTreeMap::from([("seeds".to_owned(), seeds), ("zones".to_owned(), zones)]);
        Ok(render(&template, &values, &lists))
    }

    /// Starts a program on a machine, `entry` or `control`, with the command of the deploy file.
    pub fn start(&mut self, machine: u8, role: &'static str) -> io::Result<()> {
        let name = format!("{role}-{machine}");
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(machine, role)?)?;
        let log = self.folder.join(format!("{name}.log"));
        let mut program = Program {
            name: name.clone(),
            role,
            settings,
            log,
            child: None,
        };
        program.start(&self.root)?;
        self.programs.insert(name, program);
        Ok(())
    }

    /// Starts all programs of the site for the first time.
    pub fn start_all(&mut self) -> io::Result<()> {
        for machine in 1..=3 {
            self.start(machine, "control")?;
            self.start(machine, "entry")?;
        }
        self.bootstrap = false;
        Ok(())
    }

    /// Sends a configuration until it is acknowledged, to each control instance in turn.
    pub fn configure(&self, body: &str) -> bool {
        for attempt in 0..60_u8 {
            let address = self.control(attempt % 3 + 1);
            let fields = [("Host", "control"), ("Content-Type", "application/json")];
            let sent = request("POST", "/config/replace", &fields, body);
            if let Some(answer) = call(address, &sent, Duration::from_secs(3), |_| {}) {
                self.record.line(&format!(
                    "configuration: status {} from {address}",
                    answer.status()
                ));
                if answer.status() == 200 {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until the entry of a machine says that it is ready.
    pub fn await_ready(&self, machine: u8) -> bool {
        for _ in 0..100 {
            let sent = request("GET", "/ready", &[("Host", "ready")], "");
            let answer = call(self.ready(machine), &sent, Duration::from_secs(1), |_| {});
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Fills in a template of the platform: values, and sections over lists.
fn render(
    template: &str,
    values: &BTreeMap<String, String>,
    lists: &BTreeMap<String, Vec<(String, String)>>,
) -> String {
    let mut output = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        output.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a placeholder has an end") + 2;
        let name = &rest[start + 2..end - 2];
        rest = &rest[end..];
        let Some(section) = name.strip_prefix('#') else {
            output.push_str(values.get(name).map_or("", String::as_str));
            continue;
        };
        let closing = format!("{{{{/{section}}}}}");
        let length = rest.find(&closing).expect("a section has an end");
        let inner = &rest[..length];
        rest = &rest[length + closing.len()..];
        let items = lists.get(section).map_or(&[][..], Vec::as_slice);
        for (index, (key, value)) in items.iter().enumerate() {
            let comma = if index + 1 < items.len() { "," } else { "" };
            let item = inner.replace("{{.}}", value).replace("{{@}}", key);
            output.push_str(&item.replace("{{,}}", comma));
        }
    }
    output.push_str(rest);
    output
}

/// A server that announces itself.
pub struct Beats {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub slots: u32,
    pub phase: Option<&'static str>,
    pub born: u64,
    state: Mutex<&'static str>,
    running: AtomicBool,
    number: AtomicU64,
    controls: Vec<SocketAddr>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Where servers announce themselves, and what they write to.
#[derive(Clone)]
pub struct Registry {
    pub record: Arc<Record>,
    pub controls: Vec<SocketAddr>,
}

impl Beats {
    pub fn start(
        registry: &Registry,
        id: &str,
        service: &str,
        address: SocketAddr,
        zone: usize,
        phase: Option<&'static str>,
        slots: u32,
    ) -> Arc<Self> {
        let beats = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: ZONES[zone],
            slots,
            phase,
            born: unix_ms(),
            state: Mutex::new("ready"),
            running: AtomicBool::new(true),
            number: AtomicU64::new(0),
            controls: registry.controls.clone(),
        });
        let task = Arc::clone(&beats);
        thread::spawn(move || {
            while task.running.load(Ordering::Relaxed) {
                task.beat();
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        beats
    }

    /// The next heartbeat, as a request.
    pub fn next_beat(&self) -> Vec<u8> {
        let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        let phase = self.phase.map_or(String::new(), |phase| {
            format!(r#","phase":"{phase}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{}","coldLeftMs":0{phase},"seq":{number},"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.state.lock().unwrap(),
            self.born
        );
        self.message("heartbeat", &body)
    }

    fn message(&self, verb: &str, body: &str) -> Vec<u8> {
        let path = format!("/instances/{}/{verb}", self.id);
        request(
            "POST",
            &path,
            &[("Host", "control"), ("Content-Type", "application/json")],
            body,
        )
    }

    /// Sends a heartbeat to control instances in turn until one acknowledges it.
    pub fn beat(&self) -> bool {
        let beat = self.next_beat();
        self.tell(&beat, self.number.load(Ordering::Relaxed) as usize)
    }

    fn tell(&self, sent: &[u8], first: usize) -> bool {
        (0..self.controls.len()).any(|offset| {
            let address = self.controls[(first + offset) % self.controls.len()];
            let answer = call(address, sent, Duration::from_secs(1), |_| {});
            answer.is_some_and(|answer| (200..300).contains(&answer.status()))
        })
    }

    /// Stops the heartbeats and deregisters; returns whether that was acknowledged.
    pub fn deregister(&self) -> bool {
        self.running.store(false, Ordering::Relaxed);
        let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(r#"{{"seq":{number},"born":{}}}"#, self.born);
        self.tell(&self.message("deregister", &body), 0)
    }

    /// Stops the heartbeats, as after a crash.
    pub fn stop(&self) {
        self.running.store(false, Ordering::Relaxed);
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir().expect("the current folder");
    let file = fs::File::create(Path::new(&folder).join("record.txt")).expect("the record");
    let record = Arc::new(Record {
        start: Instant::now(),
        file: Mutex::new(file),
    });
    let guard = Arc::clone(&record);
    let case_number = case.clone();
    let (done, finished) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let outcome = Site::new(&root, &record)
            .map_err(|error| error.to_string())
            .and_then(|mut site| case::play(&case_number, &mut site, trouble));
        let _ = done.send(outcome);
    });
    let code = match finished.recv_timeout(TIME_LIMIT) {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(reason)) => {
            guard.line(&format!("the case could not run: {reason}"));
            2
        }
        Err(_) => {
            guard.line("the case did not end in time");
            for id in STARTED.lock().unwrap().iter() {
                let kill = format!("kill -KILL {id}");
                let _ = Command::new("sh").args(["-c", &kill]).status();
            }
            2
        }
    };
    let result = match code {
        0 => "result: the rule held",
        1 => "result: the rule was broken",
        _ => "result: not run",
    };
    guard.line(result);
    println!("case {case}: {result}");
    exit(code);
}
