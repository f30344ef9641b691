//! How much of the fixed allowance of repeats this process may use in a window.

use crate::Millis;

/// Units of the allowance that this process holds, each of which covers one repeat in a window.
#[derive(Debug, Clone, Copy, Default)]
pub struct Share {
    units: usize,
    /// Until when they may be used.
    until: Millis,
    /// Units that repeats of the last window, and held ones, are charged to.
    charged: usize,
    /// Those of them whose sends may still arrive.
    held: usize,
    /// Nothing is sent any more.
    is_retired: bool,
}

/// Units of a process that ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetiredUnits {
    /// Nothing is charged to them.
    pub spare: usize,
    /// Charged for sends that have settled.
    pub settled: usize,
}

impl Share {
    /// Sets the units that are held.
    pub fn set_units(&mut self, units: usize, until: Millis) {
        self.units = units;
        self.until = until;
    }

    /// Sets what is charged, as the most that any service is, with fractions, and how many repeats of
    /// any service may still arrive.
    pub fn set_charged(&mut self, charged: f64, held: usize) {
        self.charged = charged.ceil() as usize;
        self.held = held;
    }

    /// Records that this much is charged for one of the services, and that so many of its repeats may
    /// still arrive.
    pub fn raise_charged(&mut self, charged: f64, held: usize) {
        self.charged = self.charged.max(charged.ceil() as usize);
        self.held = self.held.max(held);
    }

    /// Repeats that may be charged in a window.
    pub fn at(&self, now: Millis) -> f64 {
        match now < self.until && !self.is_retired {
            true => self.units as f64,
            false => 0.0,
        }
    }

    /// When the units may not be used any more.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// True if something is charged to at least half of the units.
    pub fn is_pressed(&self) -> bool {
        self.charged > 0 && 2 * self.charged >= self.units
    }

    /// Gives up at most this many units, and none that something is charged to. Returns their number.
    pub fn give_up(&mut self, units: usize) -> usize {
        let given_up = units.min(self.units.saturating_sub(self.charged));
        self.units -= given_up;
        given_up
    }

    /// Ends the use of all units.
    pub fn retire(&mut self) -> RetiredUnits {
        self.is_retired = true;
        let charged = self.charged.min(self.units);
        RetiredUnits {
            spare: self.units - charged,
            settled: charged.saturating_sub(self.held),
        }
    }
}
