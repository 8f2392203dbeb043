//! The timer service to which all periodic tasks of a node subscribe.
//!
//! A single task holds all deadlines, so the load of all periodic work is observable in one place,
//! and all ticks stop together with the node.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    sync::{Notify, mpsc},
    time::{Instant, sleep_until},
};

use crate::TaskSpawner;

/// The message that a subscriber receives each period; at most one is queued for a slow subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick;

struct Subscription {
    period: Duration,
    sender: mpsc::Sender<Tick>,
}

#[derive(Default)]
struct Schedule {
    next_id: u64,
    due: BTreeMap<(Instant, u64), Subscription>,
}

/// A handle to the timer service; clones share the service.
#[derive(Clone, Default)]
pub struct Timer {
    schedule: Arc<Mutex<Schedule>>,
    changed: Arc<Notify>,
}

impl Timer {
    /// Starts the service on the control runtime of `tasks`.
    pub fn start(tasks: &TaskSpawner) -> Timer {
        let timer = Timer::default();
        tasks.spawn_control(timer.clone().run());
        timer
    }

    /// Returns a receiver that gets a tick each `period` until it is dropped.
    pub fn every(&self, period: Duration) -> mpsc::Receiver<Tick> {
        let (sender, receiver) = mpsc::channel(1);
        let mut schedule = self.schedule.lock().expect("no holder of the schedule panics");
        schedule.next_id += 1;
        let key = (Instant::now() + period, schedule.next_id);
        schedule.due.insert(key, Subscription { period, sender });
        drop(schedule);
        self.changed.notify_one();
        receiver
    }

    async fn run(self) {
        loop {
            let next = {
                let schedule = self.schedule.lock().expect("no holder of the schedule panics");
                schedule.due.first_key_value().map(|((at, _), _)| *at)
            };
            match next {
                Some(at) => tokio::select! {
                    biased;
                    () = self.changed.notified() => (),
                    () = sleep_until(at) => self.fire(),
                },
                None => self.changed.notified().await,
            }
        }
    }

    fn fire(&self) {
        let now = Instant::now();
        let mut schedule = self.schedule.lock().expect("no holder of the schedule panics");
        while let Some(entry) = schedule.due.first_entry() {
            if now < entry.key().0 {
                return;
            }
            let ((_, id), subscription) = entry.remove_entry();
            let is_open = !subscription.sender.is_closed();
            // If the channel is full, the subscriber has not received the previous tick yet.
            let _ = subscription.sender.try_send(Tick);
            if is_open {
                schedule.due.insert((now + subscription.period, id), subscription);
            }
        }
    }
}
