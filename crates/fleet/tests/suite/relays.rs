//! Choice of relays.

use std::collections::HashSet;

use hollowsail_fleet::relays::{order, Place, RelayCandidate};

fn place<'a>(hall: &'a str, region: &'a str) -> Place<'a> {
    Place {
        hall,
        region: Some(region),
    }
}

fn candidates() -> Vec<RelayCandidate<'static>> {
    let halls = [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("d", "west"),
    ];
    let hosts = ["h0", "h1", "h2", "h3"];
    let places = halls.map(|(hall, region)| place(hall, region));
    let pairs = hosts.into_iter().zip(places);
    pairs
        .map(|(host, place)| RelayCandidate { host, place })
        .collect()
}

#[test]
fn relay_is_in_the_region_of_either_end() {
    let order = order(
        &candidates(),
        place("a", "north"),
        place("c", "south"),
        "key",
    );
    assert_eq!(order.len(), 3);
    assert!(!order.contains(&3), "data would cross the west");
    assert_eq!(order[2], 1, "the hall of neither end comes last");
}

#[test]
fn hall_without_a_region_relays_for_itself_only() {
    let unknown = Place {
        hall: "x",
        region: None,
    };
    let mut candidates = candidates();
    candidates[1].place = unknown;
    candidates[2].place = unknown;
    let from_there = order(&candidates, unknown, unknown, "key");
    assert_eq!(HashSet::from([1, 2]), from_there.into_iter().collect());
    let from_north = order(&candidates, place("a", "north"), place("a", "north"), "key");
    assert_eq!(from_north, [0]);
}

#[test]
fn targets_spread_over_equal_relays() {
    let hosts: Vec<String> = (0..4).map(|number| format!("h{number}")).collect();
    let candidates: Vec<RelayCandidate<'_>> = hosts
        .iter()
        .map(|host| RelayCandidate {
            host,
            place: place("a", "north"),
        })
        .collect();
    let here = place("a", "north");
    let firsts = (0..100).map(|target| order(&candidates, here, here, &format!("t{target}"))[0]);
    let mut counts = [0; 4];
    firsts.for_each(|first| counts[first] += 1);
    assert!(counts.iter().all(|count| *count >= 12), "{counts:?}");
}
