//! The backend by itself: what it does with orders that come too late.

use rstest::rstest;
use shorepath::net::backend::{Backend, Bounds};
use shorepath::net::deadlines::Deadlines;
use shorepath::net::exchange::{DispatchId, Exchange, Order, Wanted};
use shorepath::net::frontend::{Claim, Ids};
use shorepath::net::pool::Pool;
use shorepath::net::Job;
use shorepath_scheduler::{EndpointId, Idempotency, RequestId};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// An idle connection is there, and the request's time is over by the time it is used, as where the process stood still in
/// between: nothing is written. Guards against a valve that opens after its request has failed.
#[rstest]
fn what_is_over_is_not_written() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (deadlines, pool) = (Rc::new(Deadlines::default()), Rc::new(Pool::new(1 << 20)));
        let class = serde_json::json!({"name": "a", "semantics": "free", "target_ms": 5_000.0, "deadline_ms": 5_000.0});
        let setup = serde_json::from_value(serde_json::json!({"classes": [class]})).unwrap();
        let (exchange, _given) = Exchange::new(&setup, 1, deadlines.clone());
        let long = Duration::from_secs(5);
        let bounds = Bounds { connections: 4, connect_timeout: long, idle: long };
        let backend = Backend::new(exchange.clone(), deadlines.clone(), pool.clone(), bounds);
        let (orders, given) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move { deadlines.sweep().await });
        tokio::task::spawn_local(backend.run(given));
        let ids = Rc::<RefCell<Ids>>::default();
        let job = |id: &str, ids: &Rc<RefCell<Ids>>| Job {
            host: "h".into(),
            id: Claim::on(id.into(), ids).unwrap(),
            tenant: None,
            home_site: None,
            repeat_key: None,
            target: "/actuator-cmd".into(),
            body: pool.buffer(),
        };
        // Both wait for their answers: there is no other reason to hold anything back.
        let (waits, _) = watch::channel(());
        let (worker, address) = (EndpointId(1), Some(listener.local_addr().unwrap()));
        let dispatch = |number, until| Order::Dispatch {
            id: DispatchId { request: RequestId(number), attempt: 0 },
            worker,
            effect: Idempotency::Idempotent,
            payload: Rc::new(job(&format!("r{number}"), &ids)),
            written_by: until,
            until,
            wanted: Wanted::by(&waits),
        };
        let send = |order| orders.send(order).unwrap();
        send(Order::Server { worker, address, active: true });
        send(dispatch(1, Instant::now() + long));
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut text = vec![0; 2_000];
        let n = tokio::io::AsyncReadExt::read(&mut stream, &mut text).await.unwrap();
        assert!(String::from_utf8_lossy(&text[..n]).contains("Request-Id: r1"));
        let line = "{\"id\":\"r1\",\"from\":\"s\",\"state\":\"done\",\"result\":\"1\"}\n";
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{line}", line.len());
        stream.write_all(answer.as_bytes()).await.unwrap();
        // It is idle by the time that the next one comes.
        while Rc::strong_count(&ids) > 1 {
            tokio::task::yield_now().await;
        }
        send(dispatch(2, Instant::now()));
        let n = tokio::io::AsyncReadExt::read(&mut stream, &mut text).await.unwrap_or(0);
        assert_eq!(String::from_utf8_lossy(&text[..n]), "");
    });
}
