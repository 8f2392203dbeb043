//! The thread that keeps a process's control state.

use std::{io, thread};

use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

/// Starts the thread that keeps the control state; it ends when the sender is dropped.
pub fn start_control_thread() -> io::Result<(oneshot::Sender<()>, Handle)> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let handle = runtime.handle().clone();
    let (sender, receiver) = oneshot::channel::<()>();
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        // The sender is dropped, not used, when the process stops.
        let _ = runtime.block_on(receiver);
        runtime.shutdown_background();
    })?;
    Ok((sender, handle))
}
