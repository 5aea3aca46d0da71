//! Roles that end though nobody asked them to.

use hyssopfork_daemon::running;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time in which something must be seen, and time after which nothing was.
const LOOK: Duration = Duration::from_millis(200);

fn role() -> (oneshot::Sender<()>, running::Handle) {
    let (done, stopped) = oneshot::channel();
    (done, running::Handle { stop: Box::new(|| {}), stopped })
}

// An assertion fails in one of a process's two roles. Its callers would find a process that
// listens and answers nothing, and the balancer one that says that it is ready; the process must
// hear of the end and end itself.
#[actix_rt::test]
async fn a_role_that_ends_unexpectedly_is_detected() {
    let (_first, healthy) = role();
    let (second, broken) = role();
    let mut running = [healthy, broken];

    let early = actix_rt::time::timeout(LOOK, running::wait_for_any_end(&mut running)).await;
    drop(second);
    let late = actix_rt::time::timeout(LOOK, running::wait_for_any_end(&mut running)).await;

    assert!(early.is_err());
    assert!(late.is_ok());
}
