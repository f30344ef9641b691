//! Until when targets are cold, by what their records say.
//!
//! A record tells for how much longer its target is cold, counted from when it was
//! written. That moment isn't known here, so the time is counted from when that state
//! of the record was first seen, which makes a spell a little too long and never too
//! short. The same record read again doesn't begin a new spell.

use std::collections::BTreeMap;

use crate::{Millis, Position};

/// A target's record that tells of a cold spell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdRecord<'a> {
    pub incarnation: &'a str,
    /// Of the record's last change.
    pub at: Position,
    /// How much longer the target is cold, in milliseconds.
    pub cold_ms: Millis,
}

/// A spell that a record told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Spell {
    at: Position,
    until: Millis,
}

/// The spells that the records at hand tell of.
#[derive(Debug, Clone, Default)]
pub struct ColdSpells {
    spells: BTreeMap<String, Spell>,
}

impl ColdSpells {
    /// Takes all records that tell of a spell; other targets are warm.
    pub fn take<'a>(&mut self, now: Millis, records: impl Iterator<Item = ColdRecord<'a>>) {
        let before = std::mem::take(&mut self.spells);
        for record in records {
            let known = before.get(record.incarnation);
            let spell = match known {
                Some(known) if known.at >= record.at => *known,
                _ => Spell {
                    at: record.at,
                    until: now + record.cold_ms,
                },
            };
            self.spells.insert(record.incarnation.to_string(), spell);
        }
    }

    /// When a target is warm again; `None` when no record says that it was cold.
    pub fn until(&self, incarnation: &str) -> Option<Millis> {
        self.spells.get(incarnation).map(|spell| spell.until)
    }
}
