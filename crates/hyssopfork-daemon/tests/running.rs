//! Roles that end without having been asked to stop.

use hyssopfork_daemon::running;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time within which an end must be detected, or after which none has occurred.
const WAIT: Duration = Duration::from_millis(200);

fn role() -> (oneshot::Sender<()>, running::Handle) {
    let (done, stopped) = oneshot::channel();
    (done, running::Handle { stop: Box::new(|| {}), stopped })
}

// A failed assertion ends one of a process's two roles. The process would keep listening and report
// ready but respond to nothing, so it must detect the end and exit.
#[actix_rt::test]
async fn a_role_that_ends_unexpectedly_is_detected() {
    let (_first, healthy) = role();
    let (second, broken) = role();
    let mut running = [healthy, broken];

    let early = actix_rt::time::timeout(WAIT, running::wait_for_any_end(&mut running)).await;
    drop(second);
    let late = actix_rt::time::timeout(WAIT, running::wait_for_any_end(&mut running)).await;

    assert!(early.is_err());
    assert!(late.is_ok());
}
