//! Supervision of the roles that run in a process.

use futures::future;
use tokio::sync::oneshot;

/// Handle of a running role.
pub struct Handle {
    /// Asks the role to stop.
    pub stop: Box<dyn Fn()>,
    /// Resolves when the role has stopped, with an error when it ended unexpectedly.
    pub stopped: oneshot::Receiver<()>,
}

/// Resolves when any role has ended.
///
/// A failed assertion ends the role's event loop but not the process, which would keep listening,
/// report ready and respond to nothing. The process exits instead and is restarted.
pub async fn wait_for_any_end(running: &mut [Handle]) {
    if running.is_empty() {
        return future::pending().await;
    }
    let (_result, ..) = future::select_all(running.iter_mut().map(|role| &mut role.stopped)).await;
}

/// Asks every role to stop; resolves when all have stopped.
pub async fn stop_all(running: Vec<Handle>) {
    for role in &running {
        (role.stop)();
    }
    for role in running {
        let _role_gone = role.stopped.await;
    }
}
