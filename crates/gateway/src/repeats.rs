//! Lines and counters on work that is sent to a service more than once.

use std::fmt;

use hollowsail_observe::events;
use hollowsail_routing::repeats::RepeatReason;

use crate::metrics;
use crate::traffic::Traffic;

/// Work that is to be sent again.
pub struct Repeat<'a> {
    pub service: &'a str,
    pub request: &'a str,
    /// Stage and piece; `None` for the request itself.
    pub piece: Option<(u16, u32)>,
    pub reason: RepeatReason,
}

/// What a repeat is charged to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Charge {
    /// The budget of the service.
    Budget,
    /// Nothing: it is sent whatever the budget says.
    Nothing,
    /// It isn't sent, since the budget is used up.
    Refused,
}

impl Charge {
    fn name(self) -> &'static str {
        match self {
            Charge::Budget => "budget",
            Charge::Nothing => "nothing",
            Charge::Refused => "refused",
        }
    }
}

impl fmt::Display for Repeat<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Repeat {
            service, request, ..
        } = self;
        write!(f, "service={service} request={request}")?;
        if let Some((stage, piece)) = self.piece {
            write!(f, " stage={stage} piece={piece}")?;
        }
        write!(f, " why={}", self.reason.name())
    }
}

impl Repeat<'_> {
    /// Writes the line and counts the repeat. `left` describes the budget.
    pub fn record(&self, cx: &Traffic, charge: Charge, left: &dyn fmt::Display) {
        let work = match self.piece {
            Some(_) => "piece",
            None => "request",
        };
        metrics::count_repeat(self.service, work, self.reason.name(), charge.name());
        let event = match charge {
            Charge::Refused => events::REPEAT_REFUSED,
            Charge::Budget | Charge::Nothing => events::REPEATED,
        };
        let fields = format_args!("{self} charged={} {left}", charge.name());
        cx.log.line(event, fields);
    }
}
