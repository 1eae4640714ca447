//! Addresses for processes that are started later: nobody else gets them, whatever rigs and processes are started beside.

use shorepath_rig::addresses::{ephemeral, fresh};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

/// The tests run one by one: each counts on which addresses come next.
static ONE: Mutex<()> = Mutex::new(());

/// Rigs beside each other in one process, each with processes that are not up yet, share no address; and none has a port that the
/// system gives to other sockets.
#[test]
fn no_address_is_given_twice() {
    let _one = ONE.lock();
    let own = || -> Vec<SocketAddr> { (0..200).map(|_| fresh().unwrap()).collect() };
    let all: Vec<SocketAddr> = std::thread::scope(|scope| {
        let rigs: Vec<_> = (0..8).map(|_| scope.spawn(own)).collect();
        rigs.into_iter().flat_map(|rig| rig.join().unwrap()).collect()
    });
    let (first, last) = ephemeral().unwrap();
    let loose: Vec<_> = all.iter().filter(|a| (first..=last).contains(&a.port())).collect();
    assert!(loose.is_empty(), "{} of {} are the system's to give", loose.len(), all.len());
    let different: BTreeSet<_> = all.iter().collect();
    assert_eq!(different.len(), all.len(), "some were given twice");
}

/// One can listen at such an address at once, also while other processes are being started: these hold copies of all sockets until
/// their programs run.
#[test]
fn an_address_is_free_while_processes_start() {
    let _one = ONE.lock();
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let starts = || {
            while !over.load(Ordering::Relaxed) {
                assert!(Command::new("true").status().unwrap().success());
            }
        };
        (0..4).for_each(|_| drop(scope.spawn(starts)));
        let attempts = (0..2_000).map(|_| fresh().unwrap());
        let failed: Vec<_> =
            attempts.filter(|a| TcpListener::bind(a).is_err() || UdpSocket::bind(a).is_err()).collect();
        over.store(true, Ordering::Relaxed);
        assert!(failed.is_empty(), "{} can't be listened at: {failed:?}", failed.len());
    });
}

/// A port that somebody has at all addresses is passed over.
#[test]
fn what_others_have_is_not_given() {
    let _one = ONE.lock();
    let next = fresh().unwrap().port();
    let everywhere = |port| (Ipv4Addr::UNSPECIFIED, port);
    let listeners: Vec<_> =
        (next - 100..next).filter_map(|p| TcpListener::bind(everywhere(p)).ok()).collect();
    let sockets: Vec<_> =
        (next - 200..next - 100).filter_map(|p| UdpSocket::bind(everywhere(p)).ok()).collect();
    let had = listeners.iter().map(TcpListener::local_addr).chain(sockets.iter().map(UdpSocket::local_addr));
    let had: BTreeSet<u16> = had.map(|address| address.unwrap().port()).collect();
    let given: Vec<u16> = (0..200).map(|_| fresh().unwrap().port()).collect();
    assert!(given.iter().all(|port| !had.contains(port)), "{given:?}");
}
