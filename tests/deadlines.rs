//! The deadlines of a node.

use shorepath::net::deadlines::Deadlines;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[test]
fn deadlines_come_in_their_order_and_leave_nothing_behind() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let all = Rc::new(Deadlines::default());
        let sweeping = all.clone();
        tokio::task::spawn_local(async move { sweeping.sweep().await });
        let now = Instant::now();
        let order = Rc::new(RefCell::new(Vec::new()));
        // The earliest is asked for last, when the sweep waits for another already.
        let tasks = [30, 20, 10].map(|ms| {
            let (due, order) = (all.at(now + Duration::from_millis(ms)), order.clone());
            tokio::task::spawn_local(async move {
                due.await;
                order.borrow_mut().push(ms);
            })
        });
        drop(all.after(Duration::from_secs(9)));
        for task in tasks {
            task.await.unwrap();
        }
        assert_eq!(*order.borrow(), [10, 20, 30]);
        assert!(now.elapsed() >= Duration::from_millis(30));
        assert!(all.is_empty());
    });
}
