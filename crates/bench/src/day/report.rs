//! Results of a simulated day, and the printed table of policies.

use serde::Serialize;

/// Outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// First event within the target.
    InTime,
    Late,
    /// Refused, and refused again on retry.
    Refused,
    /// Abandoned by its caller, or lost with the entries, before the first event.
    Abandoned,
}

/// Results of one kind of request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct KindReport {
    pub name: String,
    #[serde(rename = "asked")]
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    #[serde(rename = "left")]
    pub abandoned: u32,
    /// Credit of the answers, and the credit if all had been in time.
    pub credit: f64,
    #[serde(rename = "owed")]
    pub possible_credit: f64,
}

/// Results of one day with one policy.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct DayReport {
    pub policy: String,
    pub kinds: Vec<KindReport>,
    /// Calls of stage workers that ended, and the pieces that they completed.
    pub calls: u32,
    pub pieces: u32,
    /// Prefix tokens prefilled on one engine while another one had them cached.
    #[serde(rename = "read_again")]
    pub recomputed_tokens: u64,
}

impl DayReport {
    /// Credit of the day as a share of the possible credit, 0 to 1.
    pub fn credit(&self) -> f64 {
        let possible: f64 = self.kinds.iter().map(|kind| kind.possible_credit).sum();
        let credit: f64 = self.kinds.iter().map(|kind| kind.credit).sum();
        credit / possible.max(f64::MIN_POSITIVE)
    }

    /// Share of the requests that `count` counts.
    pub fn share(&self, count: impl Fn(&KindReport) -> u32) -> f64 {
        let requests: u32 = self.kinds.iter().map(|kind| kind.requests).sum();
        let counted: u32 = self.kinds.iter().map(count).sum();
        f64::from(counted) / f64::from(requests.max(1))
    }

    /// Mean number of completed pieces per call.
    pub fn pieces_per_call(&self) -> f64 {
        f64::from(self.pieces) / f64::from(self.calls.max(1))
    }
}

/// Formats a table with one line per policy; `bound` is the upper bound of the mean credit.
pub fn table(policies: &[Vec<DayReport>], bound: f64) -> String {
    let mut text = format!(
        "{:<34} {:>7} {:>8} {:>7} {:>8} {:>7} {:>12} {:>11}\n",
        "policy", "credit", "in time", "late", "refused", "left", "pieces/call", "read again"
    );
    for reports in policies {
        let Some(first) = reports.first() else {
            continue;
        };
        let mean = |figure: &dyn Fn(&DayReport) -> f64| {
            reports.iter().map(figure).sum::<f64>() / reports.len() as f64
        };
        text += &format!(
            "{:<34} {:>7.3} {:>8.3} {:>7.3} {:>8.3} {:>7.3} {:>12.1} {:>11.0}\n",
            first.policy,
            mean(&DayReport::credit),
            mean(&|day| day.share(|kind| kind.in_time)),
            mean(&|day| day.share(|kind| kind.late)),
            mean(&|day| day.share(|kind| kind.refused)),
            mean(&|day| day.share(|kind| kind.abandoned)),
            mean(&DayReport::pieces_per_call),
            mean(&|day| day.recomputed_tokens as f64),
        );
    }
    text + &format!("{:<34} {bound:>7.3}\n", "upper bound")
}
