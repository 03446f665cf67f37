//! Options of TCP connections.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the kernel probes a connection, and the interval of its probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the kernel closes a connection.
const PROBES: u32 = 3;

/// Sets the options of a connection.
///
/// Probes find a connection that something between the two ends has forgotten, also while neither
/// end has anything to send, such as during a long prefill.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    // No limit is set for unacknowledged bytes: it would also end the connection of a caller that
    // reads slowly.
    socket.set_tcp_keepalive(&keepalive)
}
