//! A TCP relay that can fall silent.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Passes bytes on until it is silenced; then it drops them and closes nothing.
pub struct Relay {
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    silent: watch::Sender<bool>,
}

impl Relay {
    /// A relay whose target is set later.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (target, target_receiver) = watch::channel(None);
        let (silent, silent_receiver) = watch::channel(false);
        tokio::spawn(accept(listener, target_receiver, silent_receiver));
        Self {
            address,
            target,
            silent,
        }
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    pub fn silence(&self) {
        self.silent.send_replace(true);
    }
}

/// Ends when the relay is dropped.
async fn accept(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    silent: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let mut dropped = silent.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                connections.spawn(connect(stream, target.clone(), silent.clone()));
            }
            Some(_) = connections.join_next() => {}
            closed = dropped.changed() => if closed.is_err() {
                return;
            }
        }
    }
}

async fn connect(
    near: TcpStream,
    mut target: watch::Receiver<Option<SocketAddr>>,
    silent: watch::Receiver<bool>,
) {
    let Ok(Some(target)) = target.wait_for(Option::is_some).await.map(|target| *target) else {
        return;
    };
    if *silent.borrow() {
        // Nothing arrives at the other side, and nothing tells this side so.
        std::future::pending::<()>().await;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    near.set_nodelay(true).unwrap();
    far.set_nodelay(true).unwrap();
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    tokio::join!(
        copy(near_reader, far_writer, silent.clone()),
        copy(far_reader, near_writer, silent),
    );
}

async fn copy(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    mut writer: tokio::net::tcp::OwnedWriteHalf,
    silent: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let read = reader.read(&mut buffer).await.unwrap_or(0);
        if *silent.borrow() {
            std::future::pending::<()>().await;
        }
        if read == 0 || writer.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
