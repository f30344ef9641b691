//! Sequences that exceeded the allowance once, from which the search begins.

use super::store::Link;
use super::{Millis, Play, Press, Step};

const ALL_READ: u8 = 0;
const FIRST_UNREAD: u8 = 1;

fn press(host: usize, unread: u8) -> Step {
    press_requests(host, 12, unread)
}

fn press_requests(host: usize, requests: usize, unread: u8) -> Step {
    let press = Press {
        requests,
        repeats: 3,
        unread,
        late_ms: 0,
        permits_wait: false,
    };
    Step::Press(host, press)
}

fn start_all(hosts: std::ops::Range<usize>, apart_ms: Millis) -> Vec<Step> {
    let each = hosts.map(|host| [Step::Start(host), Step::Wait(apart_ms)]);
    each.flatten().collect()
}

fn press_all(hosts: std::ops::Range<usize>, unread: u8) -> Vec<Step> {
    hosts.map(|host| press(host, unread)).collect()
}

fn play(parts: &[Vec<Step>]) -> Play {
    Play {
        hosts: 12,
        extra: 56.0,
        steps: parts.concat(),
    }
}

/// Hosts that join in turn, each pressed at once; the others learn of it.
fn joins() -> Play {
    let join = |host: usize| {
        let learn = (0..host).map(|other| Step::Believe(other, host + 1));
        let start = [Step::Start(host), Step::Wait(800), press(host, ALL_READ)];
        start.into_iter().chain(learn).collect()
    };
    play(&(0..8).map(join).collect::<Vec<_>>())
}

/// Hosts that join one that has used a large share, and that now knows of many.
fn joins_after_use() -> Play {
    let alone = vec![Step::Start(0), Step::Wait(8_000), press(0, ALL_READ)];
    let learn = vec![Step::Believe(0, 12), Step::Wait(1_200)];
    let others = (1..7).flat_map(|host| [Step::Start(host), Step::Believe(host, 1)]);
    let claim = vec![Step::Wait(5_000)];
    play(&[
        alone,
        learn,
        others.collect(),
        claim,
        (1..7)
            .map(|host| press_requests(host, 5, ALL_READ))
            .collect(),
    ])
}

/// A host whose processes are killed in series.
fn kills() -> Play {
    let generation = || vec![Step::Start(0), Step::Wait(700), press(0, ALL_READ)];
    play(&(0..14).map(|_| generation()).collect::<Vec<_>>())
}

/// A store that goes back, and hosts that start before the others have written their records again.
fn restores() -> Play {
    let restore = vec![Step::Restore(30_000, false)];
    let first = [start_all(0..4, 500), vec![Step::Wait(40_000)]].concat();
    let links = (0..4).map(|host| Step::SetLink(host, Link::Down)).collect();
    let second = [start_all(4..12, 500), press_all(0..12, ALL_READ)].concat();
    play(&[first, links, restore, second])
}

/// Targets that stand still, and read everything at once.
fn unread_sends() -> Play {
    let round = || [press_all(0..8, FIRST_UNREAD), vec![Step::Wait(11_500)]].concat();
    let rounds = (0..4).map(|_| round()).collect::<Vec<_>>().concat();
    play(&[start_all(0..8, 100), rounds, vec![Step::ReadAll]])
}

/// Hosts that know of no others, that the store doesn't answer any more, and others in their place.
fn cuts() -> Play {
    let start_alone = |hosts: std::ops::Range<usize>| {
        let each = hosts.map(|host| [Step::Start(host), Step::Believe(host, 1), Step::Wait(3_000)]);
        each.flatten().collect::<Vec<_>>()
    };
    let links = (0..6).map(|host| Step::SetLink(host, Link::Down)).collect();
    let gap = vec![Step::Wait(150_000)];
    let pressed = press_all(0..12, ALL_READ);
    play(&[start_alone(0..6), links, gap, start_alone(6..12), pressed])
}

/// Targets that stand still with pieces of one process, which others repeat, window after window.
fn pieces_at_still_targets(after_each: impl Fn(usize) -> Vec<Step>) -> Play {
    let round = |round: usize| {
        let owner = 8 + round;
        let pass = (0..8).map(|host| Step::Pass(host, owner, 4)).collect();
        let send = vec![Step::SendPassed(owner, true)];
        let wait = vec![Step::Wait(11_500)];
        [pass, send, after_each(owner), wait].concat()
    };
    let rounds = (0..4).map(round).collect::<Vec<_>>().concat();
    let start = [start_all(0..12, 100), vec![Step::Wait(9_000)]].concat();
    play(&[
        start,
        rounds,
        press_all(0..8, ALL_READ),
        vec![Step::ReadAll],
    ])
}

/// The process gives them up.
fn pieces_given_up() -> Play {
    pieces_at_still_targets(|owner| vec![Step::GiveUp(owner), Step::Ask(owner)])
}

/// The process is killed.
fn pieces_of_killed_processes() -> Play {
    pieces_at_still_targets(|owner| vec![Step::Kill(owner), Step::Start(owner)])
}

/// The process is out of touch for a moment.
fn pieces_of_lost_processes() -> Play {
    pieces_at_still_targets(|owner| vec![Step::LoseTouch(owner), Step::Ask(owner)])
}

/// A process that stands still until its units are others'.
fn permits_that_wait() -> Play {
    let waiting = Press {
        requests: 40,
        repeats: 1,
        unread: ALL_READ,
        late_ms: 0,
        permits_wait: true,
    };
    let start_alone = |host: usize| {
        vec![
            Step::Start(host),
            Step::Believe(host, 1),
            Step::Wait(40_000),
        ]
    };
    play(&[
        start_alone(0),
        vec![Step::Press(0, waiting), Step::Wait(110_000)],
        start_alone(1),
        vec![press(1, ALL_READ), Step::Resume(0)],
    ])
}

/// Hosts that stand still for longer than a window while callers send them requests, and then fail all
/// that they get.
pub fn stands_still() -> Play {
    let all = || 0..8usize;
    let unread = Press {
        requests: 100,
        repeats: 0,
        unread: ALL_READ,
        late_ms: 0,
        permits_wait: false,
    };
    play(&[
        start_all(all(), 100),
        vec![Step::Wait(2_000)],
        all().map(Step::Pause).collect(),
        all().map(|host| Step::Press(host, unread)).collect(),
        vec![Step::Wait(12_000)],
        all().map(Step::Resume).collect(),
        press_all(all(), ALL_READ),
    ])
}

pub fn all() -> [Play; 11] {
    [
        joins(),
        joins_after_use(),
        kills(),
        restores(),
        unread_sends(),
        cuts(),
        pieces_given_up(),
        pieces_of_killed_processes(),
        pieces_of_lost_processes(),
        permits_that_wait(),
        stands_still(),
    ]
}
