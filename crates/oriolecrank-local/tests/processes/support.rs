//! The test support itself.

use std::net::TcpListener;
use std::time::Instant;

use crate::program::{LONG, RunningProgram};
use crate::reserved_address::ReservedAddress;

/// Guards against a program that cannot start because another socket has got its port since the test
/// chose it.
#[test]
fn a_reserved_address_is_left_to_its_program() {
    let reserved: Vec<_> = (0..16).map(|_| ReservedAddress::take()).collect();
    // A released port comes up among so many choices of the kernel with near certainty.
    for _ in 0..20_000 {
        let other = TcpListener::bind("127.0.0.1:0").unwrap();
        let taken = other.local_addr().unwrap();
        assert!(reserved.iter().all(|reserved| reserved.address != taken));
    }
    let address = reserved[0].address;
    let program = RunningProgram::start("oriolecrank-fakes", &["engine", &address.to_string()]);
    assert_eq!(program.address, address);
}

/// Guards against a failed start that hides its cause or is reported only when the wait runs out.
#[test]
fn a_failed_start_says_why_at_once() {
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = other.local_addr().unwrap().to_string();
    let begin = Instant::now();
    let failure = RunningProgram::try_start("oriolecrank-fakes", &["engine", &address])
        .err()
        .unwrap();
    assert!(begin.elapsed() < LONG, "{failure}");
    let log = format!("cannot listen on {address}: Address already in use");
    assert!(
        failure.contains("exit status: 1") && failure.contains(&log),
        "{failure}"
    );
}
