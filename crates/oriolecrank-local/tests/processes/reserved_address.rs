//! Addresses that are known before the programs which listen on them start.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::TcpSocket;

/// A loopback address that stays free for the program whose settings name it.
///
/// The socket is bound and never listens. While it is held, the kernel gives its port neither to a
/// socket that asks for any free port nor to an outgoing connection. A program that names the port
/// binds beside it, because `SO_REUSEADDR` is set here and by the listeners of tokio.
pub struct ReservedAddress {
    _socket: TcpSocket,
    pub address: SocketAddr,
}

impl ReservedAddress {
    pub fn take() -> Self {
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
