//! Counts good and bad events for the service-level objectives in the document.
//!
//! The counts are kept in buckets of five minutes for six hours, for all events and for each class,
//! member and target. From them the console's report computes burn rates over several windows and
//! finds the classes, members and targets that are affected most. See `docs/design/objectives.md`.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rosethread_config::{Document, ObjectiveKind};
use rosethread_types::{ClassName, MemberName, TargetName};

/// The duration of one bucket.
const BUCKET: Duration = Duration::from_secs(300);

/// The windows: the label of each in the metrics, and its length in buckets.
const WINDOWS: [(&str, u64); 3] = [("5m", 1), ("1h", 12), ("6h", 72)];

/// The number of buckets in a ring buffer; it covers the longest window.
const BUCKETS: usize = 72;

/// The class, member and target of an event, by which it is counted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventLabels<'a> {
    pub(crate) class: &'a ClassName,
    pub(crate) member: &'a MemberName,
    pub(crate) target: Option<&'a TargetName>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CounterKey {
    objective: String,
    /// What `name` is the name of: `all`, `class`, `member` or `target`.
    kind: &'static str,
    name: String,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// The number of the bucket's period since the node's start.
    ///
    /// A slot of the ring whose number is older than the present one is out of date.
    number: u64,
    good: u32,
    bad: u32,
}

/// The event counts of all objectives.
#[derive(Default)]
pub(crate) struct ObjectiveCounters {
    rings: Mutex<BTreeMap<CounterKey, [Bucket; BUCKETS]>>,
}

impl ObjectiveCounters {
    fn rings(&self) -> MutexGuard<'_, BTreeMap<CounterKey, [Bucket; BUCKETS]>> {
        self.rings.lock().expect("no holder of the objectives lock panics")
    }

    /// Counts an event of `kind` as good if `time` is within the objective's threshold.
    pub(crate) fn observe_time(
        &self,
        document: &Document,
        now: Duration,
        kind: ObjectiveKind,
        subject: EventLabels<'_>,
        time: Duration,
    ) {
        let is_good = |threshold_ms: u64| time <= Duration::from_millis(threshold_ms);
        self.observe(document, now, kind, subject, is_good);
    }

    /// Counts the end of a call as good if the call was answered.
    pub(crate) fn observe_end(
        &self,
        document: &Document,
        now: Duration,
        subject: EventLabels<'_>,
        is_answered: bool,
    ) {
        self.observe(document, now, ObjectiveKind::Refusals, subject, |_| is_answered);
    }

    fn observe(
        &self,
        document: &Document,
        now: Duration,
        kind: ObjectiveKind,
        subject: EventLabels<'_>,
        is_good: impl Fn(u64) -> bool,
    ) {
        let applies =
            |class: &Option<ClassName>| class.as_ref().is_none_or(|it| it == subject.class);
        let objectives =
            document.objectives.iter().filter(|it| it.kind == kind && applies(&it.class));
        for objective in objectives {
            let is_good = is_good(objective.threshold_ms);
            self.count(&objective.name, now, "all", "all", is_good);
            self.count(&objective.name, now, "class", subject.class.as_str(), is_good);
            self.count(&objective.name, now, "member", subject.member.as_str(), is_good);
            if let Some(target) = subject.target {
                self.count(&objective.name, now, "target", target.as_str(), is_good);
            }
        }
    }

    fn count(&self, objective: &str, now: Duration, kind: &'static str, name: &str, is_good: bool) {
        let number = bucket_number(now);
        let key = CounterKey { objective: objective.to_owned(), kind, name: name.to_owned() };
        let mut rings = self.rings();
        let ring = rings.entry(key).or_insert([Bucket::default(); BUCKETS]);
        let bucket = &mut ring[number as usize % BUCKETS];
        if bucket.number != number {
            *bucket = Bucket { number, good: 0, bad: 0 };
        }
        if is_good {
            bucket.good += 1;
        } else {
            bucket.bad += 1;
        }
    }

    /// Returns all counts in the Prometheus text format.
    pub(crate) fn render(&self, now: Duration) -> String {
        let current = bucket_number(now);
        let mut text =
            "# HELP rosethread_objective_events Events of each objective within a window.\n\
             # TYPE rosethread_objective_events gauge\n"
                .to_owned();
        for (key, ring) in self.rings().iter() {
            // Counts by class, member and target are exported for the longest window only.
            let windows = if key.kind == "all" { &WINDOWS[..] } else { &WINDOWS[2..] };
            for (window, length) in windows {
                let recent = ring.iter().filter(|it| current < it.number + length);
                let (good, bad) = recent.fold((0, 0), |sum, it| (sum.0 + it.good, sum.1 + it.bad));
                for (result, count) in [("good", good), ("bad", bad)] {
                    text.push_str(&format!(
                        "rosethread_objective_events{{objective=\"{}\",window=\"{window}\",\
                         kind=\"{}\",name=\"{}\",result=\"{result}\"}} {count}\n",
                        key.objective, key.kind, key.name
                    ));
                }
            }
        }
        text
    }
}

/// Returns the number of the bucket at `now`.
///
/// Numbers start at `BUCKETS + 1`, so that unused buckets, whose number is 0, are outside every
/// window.
fn bucket_number(now: Duration) -> u64 {
    now.as_secs() / BUCKET.as_secs() + BUCKETS as u64 + 1
}
