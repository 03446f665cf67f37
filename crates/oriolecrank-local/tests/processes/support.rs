//! Tests of the test support: reserved addresses and failed starts.

use std::net::TcpListener;
use std::time::Instant;

use crate::program::{RunningProgram, WAIT_LIMIT};
use crate::reserved_address::ReservedAddress;

/// Guards against a program that cannot start because another socket was assigned its port after
/// the test had selected it.
#[test]
fn a_reserved_address_is_left_to_its_program() {
    let reserved: Vec<_> = (0..16).map(|_| ReservedAddress::reserve()).collect();
    // With so many assignments the kernel would almost certainly reuse a released port.
    for _ in 0..20_000 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let assigned = listener.local_addr().unwrap();
        assert!(reserved.iter().all(|reserved| reserved.address != assigned));
    }
    let address = reserved[0].address;
    let program = RunningProgram::start("oriolecrank-fakes", &["engine", &address.to_string()]);
    assert_eq!(program.address, address);
}

/// Guards against a failed start whose cause is hidden or which is reported only at the time limit.
#[test]
fn a_failed_start_reports_its_cause_at_once() {
    let occupant = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = occupant.local_addr().unwrap().to_string();
    let started_at = Instant::now();
    let failure = RunningProgram::try_start("oriolecrank-fakes", &["engine", &address])
        .err()
        .unwrap();
    assert!(started_at.elapsed() < WAIT_LIMIT, "{failure}");
    let log = format!("cannot listen on {address}: Address already in use");
    assert!(
        failure.contains("exit status: 1") && failure.contains(&log),
        "{failure}"
    );
}
