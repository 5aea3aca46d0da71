//! Roles that run in a process.

use futures::future;
use tokio::sync::oneshot;

/// A role that runs: how to ask it to stop, and how to hear that it has.
pub struct Handle {
    /// Asks it to stop.
    pub stop: Box<dyn Fn()>,
    /// Resolves when it has stopped; with an error when it ended in another way.
    pub stopped: oneshot::Receiver<()>,
}

/// Resolves when any role has ended.
///
/// An assertion that fails ends the role's loop and leaves the process: it would go on listening,
/// say that it is ready and answer nothing. The process ends instead, and is started anew.
pub async fn wait_for_any_end(running: &mut [Handle]) {
    if running.is_empty() {
        return future::pending().await;
    }
    let (_however, ..) = future::select_all(running.iter_mut().map(|role| &mut role.stopped)).await;
}

/// Asks every role to stop and resolves when all have.
pub async fn stop_all(running: Vec<Handle>) {
    for role in &running {
        (role.stop)();
    }
    for role in running {
        let _role_gone = role.stopped.await;
    }
}
