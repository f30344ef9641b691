//! Chooses the record of the newest run of each host.
//!
//! The record of a killed run stays in the store until its lease expires. A later run of the host may be
//! stopped before that, and removes its own record: that doesn't bring the killed run back.

use std::collections::BTreeMap;

use crate::Position;

/// Position of the newest record that was known of each host, for as long as it has any.
#[derive(Debug, Clone, Default)]
pub struct NewestRuns {
    by_host: BTreeMap<String, Position>,
}

impl NewestRuns {
    /// The records of the newest runs, in the order of their hosts, from all records that exist, each with
    /// its position. A record without a position, which a peer has told of, is older than any other, but not
    /// known to have been replaced.
    pub fn choose<'a, R>(
        &mut self,
        records: impl Iterator<Item = (Position, &'a R)>,
        host_of: impl Fn(&'a R) -> &'a str,
    ) -> Vec<&'a R> {
        let mut newest: BTreeMap<&str, (Position, &R)> = BTreeMap::new();
        for (at, record) in records {
            let known = newest.entry(host_of(record)).or_insert((at, record));
            if at > known.0 {
                *known = (at, record);
            }
        }
        self.by_host
            .retain(|host, _| newest.contains_key(host.as_str()));
        newest.retain(|host, (at, _)| {
            let known = self.by_host.entry(host.to_string()).or_default();
            let is_replaced = *at < *known && *at != Position::default();
            *known = (*known).max(*at);
            !is_replaced
        });
        newest.into_values().map(|(_, record)| record).collect()
    }
}
