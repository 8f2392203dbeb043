//! The thread that runs a process's control tasks.

use std::{io, thread};

use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

/// Starts the control thread, which runs a single-threaded Tokio runtime.
///
/// Returns the handle to spawn on, and a sender; dropping the sender stops the thread.
///
/// # Errors
///
/// Fails if the runtime or the thread cannot be created.
pub fn start_control_thread() -> io::Result<(oneshot::Sender<()>, Handle)> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let handle = runtime.handle().clone();
    let (sender, receiver) = oneshot::channel::<()>();
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        // Ends with an error when the sender is dropped: nothing is ever sent.
        let _ = runtime.block_on(receiver);
        runtime.shutdown_background();
    })?;
    Ok((sender, handle))
}
