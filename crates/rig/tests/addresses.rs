//! Allocation of addresses for processes that are started later.

use shorepath_rig::addresses::{allocate_address, ephemeral_port_range};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

/// Serializes the tests: each depends on which addresses are allocated next.
static SERIAL: Mutex<()> = Mutex::new(());

/// Guards against two test clusters of one program that share an address, and against ports that the system may assign to
/// other sockets.
#[test]
fn concurrent_allocations_return_distinct_ports_outside_the_ephemeral_range() {
    let _serial = SERIAL.lock();
    let allocate_many = || -> Vec<SocketAddr> { (0..200).map(|_| allocate_address().unwrap()).collect() };
    let all: Vec<SocketAddr> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8).map(|_| scope.spawn(allocate_many)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    let (first, last) = ephemeral_port_range().unwrap();
    let ephemeral: Vec<_> = all.iter().filter(|a| (first..=last).contains(&a.port())).collect();
    assert!(ephemeral.is_empty(), "{} of {} are in the ephemeral range", ephemeral.len(), all.len());
    let different: BTreeSet<_> = all.iter().collect();
    assert_eq!(different.len(), all.len(), "some were allocated twice");
}

/// Guards against addresses that are blocked by a child process between `fork` and `exec`, which holds copies of all sockets.
#[test]
fn an_allocated_address_can_be_bound_while_processes_start() {
    let _serial = SERIAL.lock();
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let spawn_processes = || {
            while !done.load(Ordering::Relaxed) {
                assert!(Command::new("true").status().unwrap().success());
            }
        };
        (0..4).for_each(|_| drop(scope.spawn(spawn_processes)));
        let attempts = (0..2_000).map(|_| allocate_address().unwrap());
        let failed: Vec<_> =
            attempts.filter(|a| TcpListener::bind(a).is_err() || UdpSocket::bind(a).is_err()).collect();
        done.store(true, Ordering::Relaxed);
        assert!(failed.is_empty(), "{} can't be bound: {failed:?}", failed.len());
    });
}

/// Guards against ports that another socket has bound on all addresses.
#[test]
fn ports_in_use_on_all_addresses_are_skipped() {
    let _serial = SERIAL.lock();
    let next = allocate_address().unwrap().port();
    let all_addresses = |port| (Ipv4Addr::UNSPECIFIED, port);
    let listeners: Vec<_> =
        (next - 100..next).filter_map(|p| TcpListener::bind(all_addresses(p)).ok()).collect();
    let sockets: Vec<_> =
        (next - 200..next - 100).filter_map(|p| UdpSocket::bind(all_addresses(p)).ok()).collect();
    let in_use =
        listeners.iter().map(TcpListener::local_addr).chain(sockets.iter().map(UdpSocket::local_addr));
    let in_use: BTreeSet<u16> = in_use.map(|address| address.unwrap().port()).collect();
    let allocated: Vec<u16> = (0..200).map(|_| allocate_address().unwrap().port()).collect();
    assert!(allocated.iter().all(|port| !in_use.contains(port)), "{allocated:?}");
}
