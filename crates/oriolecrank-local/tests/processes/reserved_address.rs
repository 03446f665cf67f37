//! Reserves loopback addresses before the programs that listen on them start.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::TcpSocket;

/// A loopback address reserved for the program whose settings name it.
///
/// The socket is bound but never listens. While it exists, the kernel assigns its port neither to a
/// socket that requests any free port nor to an outgoing connection. A program can still bind the
/// port explicitly, because `SO_REUSEADDR` is set both here and on tokio's listeners.
pub struct ReservedAddress {
    _socket: TcpSocket,
    pub address: SocketAddr,
}

impl ReservedAddress {
    pub fn reserve() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        let address = socket.local_addr().unwrap();
        Self {
            _socket: socket,
            address,
        }
    }
}
