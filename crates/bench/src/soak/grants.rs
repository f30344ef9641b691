//! Check of single repeats: what a service gets beyond the first arrival of each request and piece has
//! been granted by some gateway, by their logs.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use super::attempt_bounds::Arrival;
use super::report::{Failure, FailureKind};

/// Maximum number of arrivals that a failure lists.
const MAX_LISTED: usize = 6;

/// Work at a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkKey {
    pub service: String,
    pub request: String,
    /// Stage and piece; `None` for the request itself.
    pub piece: Option<(u64, u64)>,
}

/// What the gateways' logs say about repeats.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct GrantLog {
    granted: HashMap<WorkKey, usize>,
    /// Gateways that made calls of pieces, by the id of the call.
    senders: HashMap<String, String>,
    /// Logs that lack lines.
    incomplete: Vec<String>,
}

impl GrantLog {
    /// Reads the logs in a run's folder.
    pub fn read(folder: &Path) -> io::Result<Self> {
        let mut log = GrantLog::default();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "log") {
                let process = path.file_stem().unwrap_or_default().to_string_lossy();
                let text = fs::read(&path)?;
                log.add(&process, &String::from_utf8_lossy(&text));
            }
        }
        Ok(log)
    }

    /// Adds the log of a process.
    pub fn add(&mut self, process: &str, text: &str) {
        for line in text.lines() {
            let has = |event: &str| line.split_whitespace().any(|word| word == event);
            if has("HS0236") {
                if let Some(work) = work_of(line) {
                    *self.granted.entry(work).or_default() += 1;
                }
            } else if has("HS0100") {
                self.incomplete.push(process.to_string());
            } else if let (Some(_), Some(call)) = (field(line, "queue"), field(line, "call")) {
                self.senders.insert(call.to_string(), process.to_string());
            }
        }
    }

    /// The gateway that made a call of pieces, if its log has the end of the call.
    pub fn sender_of(&self, call: &str) -> Option<&str> {
        self.senders.get(call).map(String::as_str)
    }

    fn sender(&self, arrival: &Arrival) -> &str {
        let call = arrival.call.as_deref();
        call.and_then(|call| self.sender_of(call))
            .unwrap_or("unknown")
    }

    /// Finds work that arrived more often than its first send and the grants explain.
    pub fn ungranted(&self, arrivals: &[Arrival]) -> Vec<Ungranted> {
        let mut by_work: BTreeMap<WorkKey, Vec<&Arrival>> = BTreeMap::new();
        for arrival in arrivals {
            let work = WorkKey {
                service: arrival.service.clone(),
                request: arrival.request.clone(),
                piece: arrival.piece,
            };
            by_work.entry(work).or_default().push(arrival);
        }
        let ungranted = by_work.into_iter().filter_map(|(work, mut arrivals)| {
            let granted = self.granted.get(&work).copied().unwrap_or_default();
            let excess = arrivals.len().checked_sub(1 + granted)?;
            arrivals.sort_by_key(|arrival| arrival.at);
            let sends = arrivals.into_iter().map(|arrival| Send {
                at: arrival.at,
                target: arrival.target.clone(),
                sender: self.sender(arrival).to_string(),
            });
            (excess > 0).then(|| Ungranted {
                work,
                granted,
                sends: sends.collect(),
            })
        });
        ungranted.collect()
    }

    /// Checks the arrivals of a run.
    pub fn evaluate(&self, arrivals: &[Arrival]) -> Vec<Failure> {
        let ungranted = self.ungranted(arrivals);
        let ungranted = ungranted.iter().map(Ungranted::to_string);
        let incomplete = self.incomplete.iter();
        let incomplete = incomplete.map(|process| format!("the log of {process} lacks lines"));
        ungranted
            .chain(incomplete)
            .map(|text| Failure::new(FailureKind::Ungranted, text))
            .collect()
    }
}

/// An arrival of work, and who sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// Since the start of the platform.
    pub at: Duration,
    pub target: String,
    pub sender: String,
}

/// Work with arrivals that nobody granted.
#[derive(Debug, Clone, PartialEq)]
pub struct Ungranted {
    pub work: WorkKey,
    pub granted: usize,
    pub sends: Vec<Send>,
}

impl std::fmt::Display for Ungranted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let WorkKey {
            service,
            request,
            piece,
        } = &self.work;
        write!(f, "{service} request {request}")?;
        if let Some((stage, piece)) = piece {
            write!(f, " stage {stage} piece {piece}")?;
        }
        let (count, granted) = (self.sends.len(), self.granted);
        write!(f, ": {count} arrivals, {granted} repeats granted:")?;
        for Send { at, target, sender } in self.sends.iter().take(MAX_LISTED) {
            write!(f, " {} ms at {target} from {sender};", at.as_millis())?;
        }
        Ok(())
    }
}

/// The work that a line of a log names.
fn work_of(line: &str) -> Option<WorkKey> {
    let number = |name: &str| field(line, name)?.parse::<u64>().ok();
    Some(WorkKey {
        service: field(line, "service")?.to_string(),
        request: field(line, "request")?.to_string(),
        piece: number("stage").zip(number("piece")),
    })
}

/// Value of a field of a line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut words = line.split_whitespace();
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}
