//! A TCP proxy on loopback that can delay, hold back and reset the connections that it forwards.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fault_schedule::LinkFault;

/// Size of the read buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// A link from client processes to one server; it stops when it is dropped.
#[derive(Debug)]
pub struct FaultyProxy {
    address: SocketAddr,
    fault: watch::Sender<Option<LinkFault>>,
}

/// Direction of the bytes on a connection: requests go to the server, answers to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Answers,
}

impl FaultyProxy {
    /// Listens on a free port of `ip` and forwards connections to `target`.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(None);
        tokio::spawn(accept(listener, target, faults));
        Ok(Self { address, fault })
    }

    /// Address to which clients of the link connect.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a fault in place of the current one; `None` ends the current one.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.fault.send_replace(fault);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mut faults: watch::Receiver<Option<LinkFault>>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                // Accepting fails if the client has already closed the connection.
                if let Ok((client, _)) = accepted {
                    connections.spawn(forward(client, target, faults.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
            changed = faults.changed() => {
                if changed.is_err() {
                    return;
                }
                if *faults.borrow_and_update() == Some(LinkFault::Reset) {
                    connections.abort_all();
                }
            }
        }
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<Option<LinkFault>>,
) {
    // With a linger time of zero, dropping a connection resets it.
    let _ = client.set_zero_linger();
    if *faults.borrow() == Some(LinkFault::Reset) {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = server.set_zero_linger();
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    tokio::select! {
        () = copy_bytes(client_reader, server_writer, faults.clone(), Direction::Requests) => {}
        () = copy_bytes(server_reader, client_writer, faults, Direction::Answers) => {}
    }
}

/// Forwards bytes in one direction until either end closes.
async fn copy_bytes(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut faults: watch::Receiver<Option<LinkFault>>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut buffer).await.unwrap_or(0);
        if read == 0 {
            return;
        }
        // Blocked bytes are delivered when the fault ends, as after a network partition.
        let is_open = |fault: &Option<LinkFault>| !is_blocked(*fault, direction);
        if faults.wait_for(is_open).await.is_err() {
            return;
        }
        let fault = *faults.borrow();
        if let Some(LinkFault::Delay(millis)) = fault {
            sleep(Duration::from_millis(millis)).await;
        }
        if writer.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

const fn is_blocked(fault: Option<LinkFault>, direction: Direction) -> bool {
    match fault {
        None | Some(LinkFault::Delay(_) | LinkFault::Reset) => false,
        Some(LinkFault::CutRequests) => matches!(direction, Direction::Requests),
        Some(LinkFault::CutAnswers) => matches!(direction, Direction::Answers),
        Some(LinkFault::Silence) => true,
    }
}
