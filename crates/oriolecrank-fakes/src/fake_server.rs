//! A server on loopback that a test can kill.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use oriolecrank_net::shutdown::{ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{HttpHandler, serve};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Serves a handler on a free loopback port until it is dropped or killed.
#[derive(Debug)]
pub struct FakeServer {
    address: SocketAddr,
    task: JoinHandle<()>,
    /// Held because dropping the trigger starts a graceful shutdown.
    _trigger: ShutdownTrigger,
}

impl FakeServer {
    /// Starts serving `handler`; fails if no port can be bound.
    pub async fn start<H: HttpHandler>(handler: H) -> std::io::Result<Self> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (trigger, signal) = shutdown_channel();
        let task = tokio::spawn(serve(listener, Arc::new(handler), signal));
        Ok(Self {
            address,
            task,
            _trigger: trigger,
        })
    }

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and aborts all connections, as a killed process does.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
