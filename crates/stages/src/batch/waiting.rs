//! The waiting pieces of a queue, most urgent first.
//!
//! The pieces of one stage of a request usually arrive together and are alike. They are kept as
//! one cohort, so that choosing a call passes over requests and not over each of their pieces.

use std::collections::BTreeMap;

use super::{PieceKey, PieceOrder};
use crate::Millis;

/// Priority, due time, order of arrival.
type Rank = (u8, Millis, u64);

/// Where a piece waits, also after it was taken and queued again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Place {
    cohort: Rank,
    arrival: u64,
}

/// Waiting pieces that arrived one after the other with the same order.
#[derive(Debug)]
pub(super) struct Cohort {
    pub order: PieceOrder,
    /// Time from which they may run outside their preferred hall.
    pub anywhere_from: Millis,
    /// By their order of arrival; never empty.
    pieces: Vec<(u64, PieceKey)>,
}

impl Cohort {
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Total size of the results, in bytes.
    pub fn bytes(&self) -> u64 {
        self.order.result_bytes * self.len() as u64
    }

    pub fn pieces(&self) -> impl Iterator<Item = PieceKey> + '_ {
        self.pieces.iter().map(|(_, key)| *key)
    }
}

#[derive(Debug, Default)]
pub(super) struct Waiting {
    cohorts: BTreeMap<Rank, Cohort>,
    len: usize,
    /// Number of places given so far.
    arrivals: u64,
    /// The cohort of the newest piece.
    newest: Option<(Rank, PieceOrder, Millis)>,
}

impl Waiting {
    /// The place of a piece that arrives now.
    pub fn next_place(&mut self, order: &PieceOrder, anywhere_from: Millis) -> Place {
        self.arrivals += 1;
        let arrival = self.arrivals;
        let is_alike = |(_, newest, from): &(Rank, PieceOrder, Millis)| {
            newest == order && *from == anywhere_from
        };
        let cohort = match self.newest.filter(is_alike) {
            Some((rank, ..)) => rank,
            None => (order.priority, order.due, arrival),
        };
        self.newest = Some((cohort, *order, anywhere_from));
        Place { cohort, arrival }
    }

    /// Queues a piece, unless it is waiting.
    pub fn insert(
        &mut self,
        key: PieceKey,
        place: Place,
        order: &PieceOrder,
        anywhere_from: Millis,
    ) {
        let cohort = self.cohorts.entry(place.cohort).or_insert_with(|| Cohort {
            order: *order,
            anywhere_from,
            pieces: Vec::new(),
        });
        if let Err(index) = position(&cohort.pieces, place) {
            cohort.pieces.insert(index, (place.arrival, key));
            self.len += 1;
        }
    }

    /// Removes the piece at a place if it is waiting.
    pub fn remove(&mut self, place: Place) {
        let Some(cohort) = self.cohorts.get_mut(&place.cohort) else {
            return;
        };
        if let Ok(index) = position(&cohort.pieces, place) {
            cohort.pieces.remove(index);
            self.len -= 1;
        }
        if cohort.pieces.is_empty() {
            self.cohorts.remove(&place.cohort);
        }
    }

    pub fn contains(&self, place: Place) -> bool {
        let cohort = self.cohorts.get(&place.cohort);
        cohort.is_some_and(|cohort| position(&cohort.pieces, place).is_ok())
    }

    /// Number of waiting pieces.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn cohorts(&self) -> impl Iterator<Item = &Cohort> {
        self.cohorts.values()
    }

    pub fn pieces(&self) -> impl Iterator<Item = PieceKey> + '_ {
        self.cohorts().flat_map(Cohort::pieces)
    }

    /// Number of waiting pieces of a priority or a more urgent one.
    pub fn ahead_of(&self, priority: u8) -> usize {
        let less_urgent = (priority.saturating_add(1), 0, 0);
        self.cohorts
            .range(..less_urgent)
            .map(|(_, cohort)| cohort.len())
            .sum()
    }
}

fn position(pieces: &[(u64, PieceKey)], place: Place) -> Result<usize, usize> {
    pieces.binary_search_by_key(&place.arrival, |(arrival, _)| *arrival)
}
