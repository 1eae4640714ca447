//! Final answers on their way to a disk that takes long: a client has its own in time all the same.

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

/// The keeper is busy with something before, for as long as the gate is shut. The answer is sent when half a second after the
/// client's time has not passed, and where that is far off after two seconds.
#[rstest]
#[case::up(Duration::ZERO, ms(300)..ms(500))]
#[case::short(ms(400), ms(700)..ms(900))]
#[case::long(ms(60_000), ms(2_000)..ms(2_300))]
fn an_answer_waits_for_the_disk_no_longer_than_it_is_of_use(
    #[case] left: Duration,
    #[case] sent: std::ops::Range<Duration>,
) {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
        "answers-{}-{}",
        std::process::id(),
        left.as_millis()
    ));
    std::fs::create_dir_all(&folder).unwrap();
    let store = Arc::new(Store::open(&folder, 1 << 20).unwrap());
    let group_commit = Arc::new(GroupCommit::new(store.clone()).unwrap());
    let clause = RecoveryConfig { remember: 1 << 20, answer: 1_000, outlive: 0, peers: 0, catch_up: 0 };
    let answers = Answers::new(store, group_commit.clone(), &clause);
    let (gate, shut) = channel::<()>();
    let (began, begins) = channel();
    group_commit.commit(Vec::new(), move |_| {
        began.send(()).unwrap();
        let _ = shut.recv();
    });
    begins.recv().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let waited = tokio::task::LocalSet::new().block_on(&runtime, async {
        let deadlines = Rc::new(Deadlines::default());
        let sweeping = deadlines.clone();
        tokio::task::spawn_local(async move { sweeping.sweep().await });
        let keeping = answers.put(("actuator-cmd", None, "k"), (200, b"1"), 0).unwrap();
        let begun = Instant::now();
        keeping.stored(&deadlines, begun + left).await;
        begun.elapsed()
    });
    drop(gate);
    assert!(sent.contains(&waited), "{waited:?}");
    drop((answers, group_commit));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// One that is there at once is sent at once.
#[rstest]
fn an_answer_that_is_there_is_sent() {
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("answers-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let store = Arc::new(Store::open(&folder, 1 << 20).unwrap());
    let group_commit = Arc::new(GroupCommit::new(store.clone()).unwrap());
    let clause = RecoveryConfig { remember: 1 << 20, answer: 1_000, outlive: 0, peers: 0, catch_up: 0 };
    let answers = Answers::new(store, group_commit, &clause);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    runtime.block_on(async {
        let keeping = answers.put(("actuator-cmd", None, "k"), (200, b"1"), 0).unwrap();
        keeping.stored(&Rc::default(), Instant::now() + ms(60_000)).await;
    });
    assert_eq!(answers.get("actuator-cmd", None, "k"), Some((200, b"1".to_vec())));
    drop(answers);
    std::fs::remove_dir_all(&folder).unwrap();
}
