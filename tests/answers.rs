//! Final answers whose write to the disk is slow still reach the client in time.

use rstest::rstest;
use shorepath::net::answers::Answers;
use shorepath::net::deadlines::Deadlines;
use shorepath_sites::recovery_config::RecoveryConfig;
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::Store;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// While the disk is blocked, the answer is sent shortly before half a second past the client's deadline, and after at most two seconds.
#[rstest]
#[case::deadline_passed(Duration::ZERO, ms(300)..ms(500))]
#[case::short_deadline(ms(400), ms(700)..ms(900))]
#[case::long_deadline(ms(60_000), ms(2_000)..ms(2_300))]
fn answer_waits_for_a_slow_disk_for_a_limited_time(
    #[case] time_left: Duration,
    #[case] sent: std::ops::Range<Duration>,
) {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
        "answers-{}-{}",
        std::process::id(),
        time_left.as_millis()
    ));
    std::fs::create_dir_all(&folder).unwrap();
    let store = Arc::new(Store::open(&folder, 1 << 20).unwrap());
    let group_commit = Arc::new(GroupCommit::new(store.clone()).unwrap());
    let recovery_config =
        RecoveryConfig { remember: 1 << 20, answer: 1_000, outlive: 0, peers: 0, catch_up: 0 };
    let answers = Answers::new(store, group_commit.clone(), &recovery_config);
    let (unblock, blocked) = channel::<()>();
    let (began, write_began) = channel();
    group_commit.commit(Vec::new(), move |_| {
        began.send(()).unwrap();
        let _ = blocked.recv();
    });
    write_began.recv().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let waited = tokio::task::LocalSet::new().block_on(&runtime, async {
        let deadlines = Rc::new(Deadlines::default());
        let sweeping = deadlines.clone();
        tokio::task::spawn_local(async move { sweeping.sweep().await });
        let pending_answer = answers.put(("actuator-cmd", None, "k"), (200, b"1"), 0).unwrap();
        let begin = Instant::now();
        pending_answer.stored(&deadlines, begin + time_left).await;
        begin.elapsed()
    });
    drop(unblock);
    assert!(sent.contains(&waited), "{waited:?}");
    drop((answers, group_commit));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A stored answer is available at once.
#[rstest]
fn stored_answer_is_returned() {
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("answers-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let store = Arc::new(Store::open(&folder, 1 << 20).unwrap());
    let group_commit = Arc::new(GroupCommit::new(store.clone()).unwrap());
    let recovery_config =
        RecoveryConfig { remember: 1 << 20, answer: 1_000, outlive: 0, peers: 0, catch_up: 0 };
    let answers = Answers::new(store, group_commit, &recovery_config);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    runtime.block_on(async {
        let pending_answer = answers.put(("actuator-cmd", None, "k"), (200, b"1"), 0).unwrap();
        pending_answer.stored(&Rc::default(), Instant::now() + ms(60_000)).await;
    });
    assert_eq!(answers.get("actuator-cmd", None, "k"), Some((200, b"1".to_vec())));
    drop(answers);
    std::fs::remove_dir_all(&folder).unwrap();
}
