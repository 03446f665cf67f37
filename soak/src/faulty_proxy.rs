//! A TCP proxy on loopback that can delay, reset, cut and silence what it passes on.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fault_schedule::LinkFault;

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// A link between two processes; it ends with its owner.
#[derive(Debug)]
pub struct FaultyProxy {
    address: SocketAddr,
    fault: watch::Sender<Option<LinkFault>>,
}

/// Direction of bytes on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Answers,
}

impl FaultyProxy {
    /// Listens on a free port of `ip` and passes connections on to `target`.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(None);
        tokio::spawn(accept(listener, target, faults));
        Ok(Self { address, fault })
    }

    /// Address for those who use the link.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins or ends a fault.
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
                // A failed accept is one of a connection that is gone already.
                if let Ok((near, _)) = accepted {
                    connections.spawn(pass(near, target, faults.clone()));
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

async fn pass(near: TcpStream, target: SocketAddr, faults: watch::Receiver<Option<LinkFault>>) {
    // Without lingering, a dropped connection is reset.
    let _ = near.set_zero_linger();
    if *faults.borrow() == Some(LinkFault::Reset) {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = far.set_zero_linger();
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    tokio::select! {
        () = copy(near_reader, far_writer, faults.clone(), Direction::Requests) => {}
        () = copy(far_reader, near_writer, faults, Direction::Answers) => {}
    }
}

/// Passes bytes on in one direction until either end closes.
async fn copy(
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
        // Bytes that are held up arrive once the fault has ended, as after a partition.
        let passes = |fault: &Option<LinkFault>| !stops(*fault, direction);
        if faults.wait_for(passes).await.is_err() {
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

const fn stops(fault: Option<LinkFault>, direction: Direction) -> bool {
    match fault {
        None | Some(LinkFault::Delay(_) | LinkFault::Reset) => false,
        Some(LinkFault::CutRequests) => matches!(direction, Direction::Requests),
        Some(LinkFault::CutAnswers) => matches!(direction, Direction::Answers),
        Some(LinkFault::Silence) => true,
    }
}
