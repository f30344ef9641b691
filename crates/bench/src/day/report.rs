//! What came of a day's requests.

use serde::Serialize;

/// How one request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The first event came within the target.
    InTime,
    Late,
    /// It was refused, and refused again when it came back.
    Refused,
    /// Its caller left without an answer.
    Left,
}

/// Requests of one kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct KindReport {
    pub name: String,
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub left: u32,
    /// Credit of the answers, and what all would have had in time.
    pub credit: f64,
    pub owed: f64,
}

/// One day with one policy.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct DayReport {
    pub policy: String,
    pub kinds: Vec<KindReport>,
    /// Calls to stage workers, and pieces in them.
    pub calls: u32,
    pub pieces: u32,
    /// Tokens of shared parts that were read though some engine kept them.
    pub read_again: u64,
}

impl DayReport {
    /// Credit of the whole day, 0 to 1.
    pub fn credit(&self) -> f64 {
        let owed: f64 = self.kinds.iter().map(|kind| kind.owed).sum();
        let credit: f64 = self.kinds.iter().map(|kind| kind.credit).sum();
        credit / owed.max(f64::MIN_POSITIVE)
    }

    /// Part of the requests that ended so.
    pub fn share(&self, count: impl Fn(&KindReport) -> u32) -> f64 {
        let asked: u32 = self.kinds.iter().map(|kind| kind.asked).sum();
        let counted: u32 = self.kinds.iter().map(count).sum();
        f64::from(counted) / f64::from(asked.max(1))
    }

    /// Pieces in a call, on average.
    pub fn pieces_a_call(&self) -> f64 {
        f64::from(self.pieces) / f64::from(self.calls.max(1))
    }
}

/// A table of policies, each with its reports of the same days; `bound` is the
/// mean credit that no policy can exceed.
pub fn table(policies: &[Vec<DayReport>], bound: f64) -> String {
    let mut text = format!(
        "{:<34} {:>7} {:>8} {:>7} {:>8} {:>7} {:>12} {:>11}\n",
        "policy", "credit", "in time", "late", "refused", "left", "pieces/call", "read again"
    );
    for reports in policies {
        let Some(first) = reports.first() else {
            continue;
        };
        let mean = |of: &dyn Fn(&DayReport) -> f64| {
            reports.iter().map(of).sum::<f64>() / reports.len() as f64
        };
        text += &format!(
            "{:<34} {:>7.3} {:>8.3} {:>7.3} {:>8.3} {:>7.3} {:>12.1} {:>11.0}\n",
            first.policy,
            mean(&DayReport::credit),
            mean(&|day| day.share(|kind| kind.in_time)),
            mean(&|day| day.share(|kind| kind.late)),
            mean(&|day| day.share(|kind| kind.refused)),
            mean(&|day| day.share(|kind| kind.left)),
            mean(&DayReport::pieces_a_call),
            mean(&|day| day.read_again as f64),
        );
    }
    text + &format!("{:<34} {bound:>7.3}\n", "upper bound")
}
