//! A listener on loopback that can be killed.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use oriolecrank_net::shutdown::{ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{HttpHandler, serve};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Runs a handler on a free port of loopback until it is dropped or killed.
#[derive(Debug)]
pub struct FakeServer {
    address: SocketAddr,
    task: JoinHandle<()>,
    /// Kept, because a dropped trigger starts a graceful shutdown.
    _trigger: ShutdownTrigger,
}

impl FakeServer {
    /// Starts a listener.
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

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and breaks all connections, as the death of a process does.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
