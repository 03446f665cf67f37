//! A TCP relay that can drop all traffic.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Forwards bytes in both directions until [`stop_forwarding`](Self::stop_forwarding). From then on
/// it drops them and keeps all connections open.
pub struct Relay {
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    stopped: watch::Sender<bool>,
}

impl Relay {
    /// Starts a relay. Connections wait until its target is set.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (target, target_receiver) = watch::channel(None);
        let (stopped, stopped_receiver) = watch::channel(false);
        tokio::spawn(accept_connections(
            listener,
            target_receiver,
            stopped_receiver,
        ));
        Self {
            address,
            target,
            stopped,
        }
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    pub fn stop_forwarding(&self) {
        self.stopped.send_replace(true);
    }
}

/// Ends when the relay is dropped, which also ends its connections.
async fn accept_connections(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    stopped: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let mut relay_watch = stopped.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                connections.spawn(relay_connection(stream, target.clone(), stopped.clone()));
            }
            Some(_) = connections.join_next() => {}
            changed = relay_watch.changed() => if changed.is_err() {
                return;
            }
        }
    }
}

async fn relay_connection(
    inbound: TcpStream,
    mut target: watch::Receiver<Option<SocketAddr>>,
    stopped: watch::Receiver<bool>,
) {
    let Ok(Some(target)) = target.wait_for(Option::is_some).await.map(|target| *target) else {
        return;
    };
    if *stopped.borrow() {
        // The client's connection stays open, but none is made to the target.
        std::future::pending::<()>().await;
    }
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    inbound.set_nodelay(true).unwrap();
    outbound.set_nodelay(true).unwrap();
    let (inbound_reader, inbound_writer) = inbound.into_split();
    let (outbound_reader, outbound_writer) = outbound.into_split();
    tokio::join!(
        copy(inbound_reader, outbound_writer, stopped.clone()),
        copy(outbound_reader, inbound_writer, stopped),
    );
}

async fn copy(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    mut writer: tokio::net::tcp::OwnedWriteHalf,
    stopped: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let read = reader.read(&mut buffer).await.unwrap_or(0);
        if *stopped.borrow() {
            std::future::pending::<()>().await;
        }
        if read == 0 || writer.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
