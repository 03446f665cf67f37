//! The cases of the second review. Each returns whether the rule held.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{
    Beats, Message, Record, Registry, Site, answer, call, listen, read_body, read_head, request,
};

pub fn play(case: &str, site: &mut Site, trouble: bool) -> Result<bool, String> {
    match case {
        "6" => unseen_crashes(site, trouble),
        "7" => forgotten_crashes(site, trouble),
        "8" => left_during_prefill(site, trouble),
        "9" => forgotten_refusals(site, trouble),
        "10" => forgotten_departure(site, trouble),
        other => Err(format!("there is no case {other}")),
    }
}

fn text<E: ToString>(error: E) -> String {
    error.to_string()
}

/// Starts the site, the platform's usage interface and the first configuration.
fn start(site: &mut Site, config: &str) -> Result<(), String> {
    let accepting =
        Arc::new(|_: &Message, stream: &mut TcpStream| answer(stream, "200 OK", &[], "{}"));
    listen(site.server(60), accepting).map_err(text)?;
    site.start_all().map_err(text)?;
    if !site.configure(config) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    for machine in 1..=3 {
        if !site.await_ready(machine) {
            return Err(format!("the entry of machine {machine} is not ready"));
        }
    }
    Ok(())
}

/// Configuration with a stream route to the service `eng` and a once-only route to `desk`.
fn config(version: u64, stream_route: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"chat","host":"a.example","pathPrefix":"/chat/","kind":"stream","priority":1,"service":"eng","public":false,"sticky":true,{stream_route}}},{{"name":"book","host":"a.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1200,"latencyTargetMs":250,"priority":2,"service":"desk","maxAttempts":1,"public":false}}],"services":[{{"name":"eng","healthPath":"/healthz","maxConns":640,"protocol":"h1","tls":false,"engine":{{"slots":128,"kvCacheTokens":1529666,"kvTokenBytes":96256,"linkMbps":5900000.0,"moves":true,"backups":true,"stride":42,"most":12,"kvTtlS":5.0,"switchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}},{{"name":"desk","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["key-of-t1"],"priority":1}}]}}"#
    )
}

/// What one stand-in of a server has seen.
#[derive(Default)]
struct Seen {
    /// Time of arrival and id of each request that it was asked to run.
    runs: Vec<(u128, String)>,
}

/// Fields that a server puts into its answers.
fn stamp(id: &str, server: &str) -> Vec<(&'static str, String)> {
    vec![
        ("X-Oriolecrank-Request-Id", id.to_owned()),
        ("X-Oriolecrank-Server-Stamp", format!("stamp-of-{server}")),
        ("Keep-Alive", "timeout=5".to_owned()),
    ]
}

fn borrowed<'a>(fields: &'a [(&'static str, String)]) -> Vec<(&'a str, &'a str)> {
    fields
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect()
}

/// Refuses what is meant for another server or the other stage; returns whether it did.
fn misdirected(message: &Message, stream: &mut TcpStream, server: &str) -> bool {
    let expected = message.field("x-oriolecrank-expect-instance");
    if expected.is_empty() || expected == server {
        return false;
    }
    let id = message.field("x-oriolecrank-request-id");
    answer(
        stream,
        "421 Misdirected Request",
        &[("X-Oriolecrank-Request-Id", id)],
        "",
    );
    true
}

/// Streams numbered events; stops when `ends` says so.
fn stream_events(
    stream: &mut TcpStream,
    fields: &[(&'static str, String)],
    events: u64,
    pause: Duration,
    ends: impl Fn() -> bool,
) -> bool {
    let mut head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            .to_owned();
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in 1..=events {
        if ends() {
            return false;
        }
        let event = format!("id: {number}\ndata: piece {number} of {events}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(pause);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Case 8: a decode server deregisters while another one reads the prompt of a request that was meant
/// to go on there.
fn left_during_prefill(site: &mut Site, trouble: bool) -> Result<bool, String> {
    const DRAIN_MS: u128 = 2_500;
    const TOKENS: u64 = 18_300;
    // 45 tokens a ms; eight times as long while the engine is slow.
    let read_time = Duration::from_millis(TOKENS / 45) * if trouble { 8 } else { 1 };
    let record = Arc::clone(&site.record);
    let route = r#""timeoutMs":15000,"latencyTargetMs":1100,"maxAttempts":1,"resumable":false,"gapTargetMs":250"#;
    start(site, &config(1, route))?;

    for (number, host) in [(1, 20), (2, 23), (3, 26)] {
        let server = format!("prefill-{number}");
        let record = Arc::clone(&record);
        let reading = Mutex::new(());
        let read_time = if number == 1 {
            read_time
        } else {
            Duration::from_millis(TOKENS / 45)
        };
        listen(
            site.server(host),
            Arc::new(move |message: &Message, stream: &mut TcpStream| {
                if misdirected(message, stream, &server) {
                    return true;
                }
                let id = message.field("x-oriolecrank-request-id").to_owned();
                if message.field("x-oriolecrank-phase") != "prefill" {
                    let status = if message.method() == "DELETE" {
                        "200 OK"
                    } else {
                        "421 Misdirected Request"
                    };
                    return answer(stream, status, &[("X-Oriolecrank-Request-Id", &id)], "");
                }
                record.line(&format!("{server} begins to read the prompt of {id}"));
                // Prompts are read one after another.
                let _turn = reading.lock().unwrap();
                thread::sleep(read_time);
                record.line(&format!("{server} has read the prompt of {id}"));
                let fields = stamp(&id, &server);
                let body = format!(r#"{{"kvHandle":"h-{id}","tokens":{TOKENS},"version":1}}"#);
                answer(stream, "200 OK", &borrowed(&fields), &body)
            }),
        )
        .map_err(text)?;
    }

    let left_at: Arc<Mutex<Option<u128>>> = Arc::default();
    let mut seen = Vec::new();
    for (number, host) in [(1, 21), (2, 24), (3, 25), (4, 27), (5, 28)] {
        let server = format!("decode-{number}");
        let log = Arc::new(Mutex::new(Seen::default()));
        seen.push(Arc::clone(&log));
        let (record, left_at) = (Arc::clone(&record), Arc::clone(&left_at));
        listen(
            site.server(host),
            Arc::new(move |message: &Message, stream: &mut TcpStream| {
                if misdirected(message, stream, &server) {
                    return true;
                }
                let id = message.field("x-oriolecrank-request-id").to_owned();
                let source = message.field("x-oriolecrank-kv-source").to_owned();
                log.lock().unwrap().runs.push((record.ms(), id.clone()));
                record.line(&format!("{server} runs {id}, memory from '{source}'"));
                let exits = || {
                    // The server goes on a second longer than it owes, and exits.
                    let left = *left_at.lock().unwrap();
                    number == 1 && left.is_some_and(|at| record.ms() > at + DRAIN_MS + 1_000)
                };
                let whole = !exits()
                    && stream_events(
                        stream,
                        &stamp(&id, &server),
                        40,
                        Duration::from_millis(40),
                        exits,
                    );
                record.line(&format!(
                    "{server}: the run of {id} ended {}",
                    if whole {
                        "whole"
                    } else {
                        "with the server's exit"
                    }
                ));
                whole
            }),
        )
        .map_err(text)?;
    }
    // One of eight servers is slow, and one leaves.
    let registry = site.registry();
    let start_beats = |id, host, zone, phase| {
        Beats::start(
            &registry,
            id,
            "eng",
            site.server(host),
            zone,
            Some(phase),
            128,
        )
    };
    let leaving = start_beats("decode-1", 21, 0, "decode");
    let others = [
        ("prefill-1", 20, 0, "prefill"),
        ("prefill-2", 23, 1, "prefill"),
        ("prefill-3", 26, 2, "prefill"),
        ("decode-2", 24, 1, "decode"),
        ("decode-3", 25, 1, "decode"),
        ("decode-4", 27, 2, "decode"),
        ("decode-5", 28, 2, "decode"),
    ];
    let _others = others.map(|(id, host, zone, phase)| start_beats(id, host, zone, phase));
    // All machines are in touch: nothing has been disturbed for longer than contactMs.
    thread::sleep(Duration::from_secs(6));

    let clients: Vec<_> = (0..1)
        .map(|number| send_prompt(site, &record, number, TOKENS))
        .collect();
    thread::sleep(Duration::from_millis(150));
    if !leaving.deregister() {
        return Err("the deregistration was not acknowledged".to_owned());
    }
    *left_at.lock().unwrap() = Some(record.ms());
    record.line("the deregistration of decode-1 is acknowledged");
    let broken: usize = clients
        .into_iter()
        .map(|client| usize::from(!client.join().unwrap_or(false)))
        .sum();
    let left = left_at.lock().unwrap().unwrap_or_default();
    let late: Vec<_> = seen[0]
        .lock()
        .unwrap()
        .runs
        .iter()
        .filter(|(at, _)| *at > left + DRAIN_MS)
        .cloned()
        .collect();
    for (at, id) in &late {
        record.line(&format!(
            "{id} reached decode-1 {} ms after the acknowledgement; drainMs is {DRAIN_MS}",
            at - left
        ));
    }
    record.line(&format!("answers that were not whole: {broken}"));
    Ok(late.is_empty())
}

/// Sends a request with a long prompt to the entry of the first machine.
fn send_prompt(
    site: &Site,
    record: &Arc<Record>,
    number: u64,
    tokens: u64,
) -> thread::JoinHandle<bool> {
    let (address, record) = (site.front(1), Arc::clone(record));
    thread::spawn(move || {
        let id = format!("{:016x}", 0xa000 + number);
        let counts = format!("{tokens},40");
        let parts = format!("{:x}:{tokens}", 0x5000 + number);
        let fields = [
            ("Host", "a.example"),
            ("X-Oriolecrank-Request-Id", id.as_str()),
            ("X-Oriolecrank-Deadline-Ms", "15000"),
            ("X-Oriolecrank-Model", "m"),
            ("X-Oriolecrank-Token-Count", counts.as_str()),
            ("X-Oriolecrank-Prefix-Hash", parts.as_str()),
            ("X-Api-Key", "key-of-t1"),
        ];
        record.line(&format!("a client sends {id}"));
        let sent = request("POST", "/chat/1", &fields, "a prompt");
        // A client abandons a stream after four times the objective without an event.
        let got = call(address, &sent, Duration::from_millis(4_400), |_| {});
        let (status, complete) = got
            .as_ref()
            .map_or((0, false), |got| (got.status(), got.complete));
        record.line(&format!(
            "the client of {id} got status {status}, {}",
            if complete { "whole" } else { "not whole" }
        ));
        status == 200 && complete
    })
}

/// A desk server. It crashes when it begins to run a request with the body `poison`, and is back after
/// some seconds with a new id.
struct DeskServer {
    registry: Registry,
    address: SocketAddr,
    zone: usize,
    /// Heartbeats of the present start.
    beats: Mutex<Option<Arc<Beats>>>,
    /// Tells the server to exit for good.
    exits: AtomicBool,
    /// Time from the begin of a poisoned request to the crash.
    crash_delay: Duration,
    log: Arc<DeskLog>,
}

/// What the desk servers have seen together.
#[derive(Default)]
struct DeskLog {
    /// When a server crashed, and how many other requests were running there.
    crashes: Mutex<Vec<(u128, usize)>>,
    /// When a request began to run, at which server, and its id.
    runs: Mutex<Vec<(u128, String, String)>>,
}

/// Open connections of a server, and whether a request is running on each.
type Connections = Mutex<BTreeMap<u64, (TcpStream, bool)>>;

impl DeskServer {
    /// Time from a crash to the next start.
    const DOWN: Duration = Duration::from_millis(2_500);

    /// Starts three servers, one in each zone.
    fn start_three(site: &Site, crash_delay: Duration) -> (Vec<Arc<Self>>, Arc<DeskLog>) {
        let log: Arc<DeskLog> = Arc::default();
        let servers = ["desk-a", "desk-b", "desk-c"]
            .into_iter()
            .enumerate()
            .map(|(zone, name)| {
                let server = Arc::new(Self {
                    registry: site.registry(),
                    address: site.server(30 + zone as u8),
                    zone,
                    beats: Mutex::default(),
                    exits: AtomicBool::new(false),
                    crash_delay,
                    log: Arc::clone(&log),
                });
                let running = Arc::clone(&server);
                thread::spawn(move || {
                    for start in 1.. {
                        running.run(&format!("{name}-{start}"));
                        if running.exits.load(Ordering::Relaxed) {
                            return;
                        }
                        thread::sleep(Self::DOWN);
                    }
                });
                server
            });
        (servers.collect(), log)
    }

    /// Serves until a crash or the exit; the listener is closed then.
    fn run(self: &Arc<Self>, id: &str) {
        let Ok(listener) = TcpListener::bind(self.address) else {
            return;
        };
        let _ = listener.set_nonblocking(true);
        let beats = Beats::start(&self.registry, id, "desk", self.address, self.zone, None, 6);
        *self.beats.lock().unwrap() = Some(Arc::clone(&beats));
        let crashed = Arc::new(AtomicBool::new(false));
        let connections: Arc<Connections> = Arc::default();
        let mut number = 0;
        while !crashed.load(Ordering::Relaxed) {
            if self.exits.load(Ordering::Relaxed) {
                crashed.store(true, Ordering::Relaxed);
                let others = close_all(&connections, 0);
                self.registry
                    .record
                    .line(&format!("{id} exits, with {others} requests running"));
                break;
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let Ok(kept) = stream.try_clone() else {
                continue;
            };
            number += 1;
            connections.lock().unwrap().insert(number, (kept, false));
            let (server, id, number) = (Arc::clone(self), id.to_owned(), number);
            let (crashed, connections) = (Arc::clone(&crashed), Arc::clone(&connections));
            thread::spawn(move || {
                server.answer_all(stream, &id, number, &crashed, &connections);
                connections.lock().unwrap().remove(&number);
            });
        }
        beats.stop();
    }

    fn answer_all(
        &self,
        mut stream: TcpStream,
        server: &str,
        own: u64,
        crashed: &AtomicBool,
        connections: &Connections,
    ) {
        let record = &self.registry.record;
        let set_running = |running| {
            if let Some(entry) = connections.lock().unwrap().get_mut(&own) {
                entry.1 = running;
            }
        };
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = std::io::BufReader::new(reading);
        loop {
            let Ok(mut message) = read_head(&mut reader) else {
                return;
            };
            if read_body(&mut reader, &mut message, |_| {}).is_err()
                || crashed.load(Ordering::Relaxed)
            {
                return;
            }
            if misdirected(&message, &mut stream, server) {
                continue;
            }
            let id = message.field("x-oriolecrank-request-id").to_owned();
            set_running(true);
            self.log
                .runs
                .lock()
                .unwrap()
                .push((record.ms(), server.to_owned(), id.clone()));
            record.line(&format!("{server} runs {id}"));
            if message.text() == "poison" {
                // The server does not notice that the connection closes meanwhile.
                thread::sleep(self.crash_delay);
                crashed.store(true, Ordering::Relaxed);
                let others = close_all(connections, own);
                record.line(&format!(
                    "{server} crashes by {id}, with {others} other requests running"
                ));
                self.log.crashes.lock().unwrap().push((record.ms(), others));
                return;
            }
            thread::sleep(Duration::from_millis(30));
            set_running(false);
            if crashed.load(Ordering::Relaxed)
                || !answer(
                    &mut stream,
                    "200 OK",
                    &borrowed(&stamp(&id, server)),
                    "booked",
                )
            {
                return;
            }
        }
    }
}

/// Closes all connections of a server; returns on how many a request was running, without `own`.
fn close_all(connections: &Connections, own: u64) -> usize {
    let connections = connections.lock().unwrap();
    for (open, _) in connections.values() {
        let _ = open.shutdown(std::net::Shutdown::Both);
    }
    connections
        .iter()
        .filter(|(number, (_, running))| **number != own && *running)
        .count()
}

/// Sends a once-only request to an entry; returns its status, 0 without an answer. The client leaves
/// after `patience`.
fn book(record: &Record, address: SocketAddr, id: &str, body: &str, patience: Duration) -> u16 {
    let fields = [
        ("Host", "a.example"),
        ("X-Oriolecrank-Request-Id", id),
        ("X-Oriolecrank-Deadline-Ms", "2500"),
        ("X-Api-Key", "key-of-t1"),
    ];
    let sent = request("POST", "/book/1", &fields, body);
    record.line(&format!("a client sends {id} ({body}) to {address}"));
    let status = call(address, &sent, patience, |_| {}).map_or(0, |got| got.status());
    record.line(&format!("the client of {id} got status {status}"));
    status
}

/// Time for which a client waits that does not leave early.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// Time after which a calm machine is in touch again, in milliseconds.
const CONTACT_MS: u128 = 4_000;

/// Counts the requests that reached servers later than `contactMs` after the third crash, and returns
/// whether the rule holds, which allows three.
fn judge_crashes(record: &Record, log: &DeskLog) -> Result<bool, String> {
    let crashes = log.crashes.lock().unwrap();
    let third = crashes
        .get(2)
        .ok_or("the poisoned request has not crashed three servers")?
        .0;
    let late: Vec<_> = crashes
        .iter()
        .filter(|(at, _)| *at > third + CONTACT_MS)
        .collect();
    let lost: usize = late.iter().map(|(_, others)| others).sum();
    record.line(&format!(
        "the poisoned request crashed {} servers, {} of them later than contactMs after the third crash; three are allowed; other once-only requests lost with these: {lost}",
        crashes.len(),
        late.len(),
    ));
    Ok(late.len() <= 3)
}

/// Sends ordinary once-only requests to all entries until the end of the case.
fn steady_bookings(site: &Site) {
    let entries: Vec<SocketAddr> = (1..=3).map(|machine| site.front(machine)).collect();
    for (index, address) in entries.into_iter().enumerate() {
        let record = Arc::clone(&site.record);
        thread::spawn(move || {
            for number in 0_u64.. {
                book(
                    &record,
                    address,
                    &format!("{:016x}", (index as u64 + 1) << 32 | number),
                    "a booking",
                    PATIENCE,
                );
                thread::sleep(Duration::from_millis(90));
            }
        });
    }
}

/// Sends the poisoned request to the entry of the first machine every `period` for a number of times,
/// or until it is refused.
fn poison(site: &Site, numbers: std::ops::Range<u64>, period: Duration, stop_when_refused: bool) {
    for number in numbers {
        let id = format!("{:016x}", 0xbad0_0000 + number);
        let status = book(&site.record, site.front(1), &id, "poison", PATIENCE);
        if stop_when_refused && status == 503 {
            return;
        }
        thread::sleep(period);
    }
}

const PLAIN_STREAM: &str = r#""timeoutMs":15000,"latencyTargetMs":250,"maxAttempts":1,"resumable":false,"gapTargetMs":250"#;

/// Kills the processes of the given roles on all machines and starts them again within a second.
fn kill_all(site: &mut Site, roles: &[&'static str]) -> Result<(), String> {
    site.record.line(&format!(
        "the processes of all machines are killed: {}",
        roles.join(", ")
    ));
    for machine in 1..=3 {
        for role in roles {
            site.programs
                .get_mut(&format!("{role}-{machine}"))
                .ok_or("no program")?
                .kill();
        }
    }
    thread::sleep(Duration::from_millis(800));
    for machine in 1..=3 {
        for role in roles {
            site.start(machine, role).map_err(text)?;
        }
    }
    site.record.line("they are started again");
    Ok(())
}

/// Case 7: all processes of the core are killed after a request has crashed two servers.
fn forgotten_crashes(site: &mut Site, trouble: bool) -> Result<bool, String> {
    let record = Arc::clone(&site.record);
    start(site, &config(1, PLAIN_STREAM))?;
    let (_servers, log) = DeskServer::start_three(site, Duration::ZERO);
    thread::sleep(Duration::from_secs(5));
    steady_bookings(site);
    poison(site, 0..2, Duration::from_millis(5_500), false);
    if trouble {
        kill_all(site, &["control"])?;
    }
    // All machines have been in touch for a while when the request comes again.
    thread::sleep(Duration::from_secs(9));
    poison(site, 2..8, Duration::from_millis(5_500), true);
    poison(site, 100..126, Duration::from_millis(1_400), false);
    judge_crashes(&record, &log)
}

/// Case 9: all processes are killed after a request is refused because it has crashed three servers.
fn forgotten_refusals(site: &mut Site, trouble: bool) -> Result<bool, String> {
    let record = Arc::clone(&site.record);
    start(site, &config(1, PLAIN_STREAM))?;
    let (_servers, log) = DeskServer::start_three(site, Duration::ZERO);
    thread::sleep(Duration::from_secs(5));
    steady_bookings(site);
    poison(site, 0..6, Duration::from_millis(5_000), true);
    if trouble {
        kill_all(site, &["control", "entry"])?;
    }
    // All machines have been in touch for a while when the request comes again.
    thread::sleep(Duration::from_secs(9));
    poison(site, 6..12, Duration::from_millis(5_000), true);
    poison(site, 100..120, Duration::from_millis(1_400), false);
    judge_crashes(&record, &log)
}

/// Case 10: all processes are killed after a server has deregistered; a heartbeat of that server arrives
/// late.
fn forgotten_departure(site: &mut Site, trouble: bool) -> Result<bool, String> {
    const DRAIN_MS: u128 = 2_500;
    let record = Arc::clone(&site.record);
    start(site, &config(1, PLAIN_STREAM))?;
    let (servers, log) = DeskServer::start_three(site, Duration::ZERO);
    // All machines are in touch: nothing has been disturbed for longer than contactMs.
    thread::sleep(Duration::from_secs(6));
    let leaving = servers[0]
        .beats
        .lock()
        .unwrap()
        .clone()
        .ok_or("desk-a has not started")?;
    // The server's last heartbeat, which is on its way for six seconds.
    let late_beat = leaving.next_beat();
    if !leaving.deregister() {
        return Err("the deregistration was not acknowledged".to_owned());
    }
    let left = record.ms();
    let wait_until = |at: u128| {
        thread::sleep(Duration::from_millis(
            (left + at).saturating_sub(record.ms()) as u64,
        ))
    };
    record.line("the deregistration of desk-a-1 is acknowledged");
    wait_until(400);
    if trouble {
        kill_all(site, &["control", "entry"])?;
    }
    wait_until(6_000);
    let status = call(site.control(1), &late_beat, Duration::from_secs(1), |_| {})
        .map_or(0, |got| got.status());
    record.line(&format!(
        "the late heartbeat of desk-a-1 arrives: status {status}"
    ));
    // All machines have been in touch for a while when the first request is sent.
    wait_until(9_700);
    let bookings: Vec<_> = (0..24_u64)
        .map(|number| {
            let (record, address) = (Arc::clone(&record), site.front(1));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(number * 30));
                book(
                    &record,
                    address,
                    &format!("{:016x}", 0xb00c_0000 + number),
                    "a booking",
                    PATIENCE,
                )
            })
        })
        .collect();
    // The server has gone on for seconds longer than it owes, and exits.
    wait_until(10_200);
    servers[0].exits.store(true, Ordering::Relaxed);
    let statuses: Vec<u16> = bookings
        .into_iter()
        .map(|booking| booking.join().unwrap_or(0))
        .collect();
    let runs = log.runs.lock().unwrap();
    let late: Vec<_> = runs
        .iter()
        .filter(|(at, server, _)| server == "desk-a-1" && *at > left + DRAIN_MS)
        .collect();
    for (at, _, id) in &late {
        record.line(&format!(
            "{id} reached desk-a-1 {} ms after the acknowledgement; drainMs is {DRAIN_MS}",
            at - left
        ));
    }
    let failed = statuses.iter().filter(|status| **status != 200).count();
    record.line(&format!(
        "bookings without a good answer: {failed} of {}",
        statuses.len()
    ));
    Ok(late.is_empty())
}

/// Case 6: a request crashes servers shortly after its client has left.
fn unseen_crashes(site: &mut Site, trouble: bool) -> Result<bool, String> {
    let record = Arc::clone(&site.record);
    start(site, &config(1, PLAIN_STREAM))?;
    let (_servers, log) = DeskServer::start_three(site, Duration::from_millis(200));
    thread::sleep(Duration::from_secs(6));
    steady_bookings(site);
    // Half of the objective of the route.
    let patience = if trouble {
        Duration::from_millis(125)
    } else {
        PATIENCE
    };
    for number in 0..9 {
        let machine = (number % 3) as u8 + 1;
        let id = format!("{:016x}", 0xbad0_0000_u64 + number);
        book(&record, site.front(machine), &id, "poison", patience);
        thread::sleep(Duration::from_secs(5));
    }
    judge_crashes(&record, &log)
}
