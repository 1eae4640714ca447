//! Tests of the deadline timer.

use shorepath::net::deadlines::Deadlines;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[test]
fn deadlines_fire_in_order_and_none_remain_pending() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let deadlines = Rc::new(Deadlines::default());
        let swept = deadlines.clone();
        tokio::task::spawn_local(async move { swept.sweep().await });
        let now = Instant::now();
        let order = Rc::new(RefCell::new(Vec::new()));
        // The earliest deadline is added last, while the sweep already waits for another.
        let tasks = [30, 20, 10].map(|ms| {
            let (deadline, order) = (deadlines.at(now + Duration::from_millis(ms)), order.clone());
            tokio::task::spawn_local(async move {
                deadline.await;
                order.borrow_mut().push(ms);
            })
        });
        drop(deadlines.after(Duration::from_secs(9)));
        for task in tasks {
            task.await.unwrap();
        }
        assert_eq!(*order.borrow(), [10, 20, 30]);
        assert!(now.elapsed() >= Duration::from_millis(30));
        assert!(deadlines.is_empty());
    });
}
