//! Options of TCP connections.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which the kernel closes a connection.
const MAX_PROBES: u32 = 3;

/// Disables Nagle's algorithm and enables TCP keepalive.
///
/// Keepalive probes detect a connection whose state was dropped by a NAT or firewall on the path,
/// even while neither side sends data, such as during a long prefill.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    // TCP_USER_TIMEOUT is not set here: it would also close the connection of a caller that reads
    // slowly.
    socket.set_tcp_keepalive(&keepalive)
}
