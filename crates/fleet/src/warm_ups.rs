//! Tracks until when targets are warming up, according to their records.
//!
//! A record contains the remaining warm-up time as of when it was written. The time of writing
//! isn't known locally, so the remaining time is counted from when that version of the record
//! was first seen. The derived end is therefore never too early.

use std::collections::BTreeMap;

use crate::{Millis, Position};

/// The record of a target that is warming up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUpRecord<'a> {
    pub incarnation: &'a str,
    /// Position of the record's last change.
    pub at: Position,
    /// Remaining warm-up time, in milliseconds.
    pub remaining_ms: Millis,
}

/// The warm-up derived from one version of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WarmUp {
    at: Position,
    until: Millis,
}

/// Warm-ups by target.
#[derive(Debug, Clone, Default)]
pub struct WarmUps {
    warm_ups: BTreeMap<String, WarmUp>,
}

impl WarmUps {
    /// Replaces all warm-ups by those of `records`. A record seen before keeps its end.
    pub fn replace<'a>(&mut self, now: Millis, records: impl Iterator<Item = WarmUpRecord<'a>>) {
        let before = std::mem::take(&mut self.warm_ups);
        for record in records {
            let known = before.get(record.incarnation);
            let warm_up = match known {
                Some(known) if known.at >= record.at => *known,
                _ => WarmUp {
                    at: record.at,
                    until: now.saturating_add(record.remaining_ms),
                },
            };
            self.warm_ups
                .insert(record.incarnation.to_string(), warm_up);
        }
    }

    /// When a target's warm-up ends; `None` when no record contains one.
    pub fn until(&self, incarnation: &str) -> Option<Millis> {
        self.warm_ups.get(incarnation).map(|warm_up| warm_up.until)
    }
}
