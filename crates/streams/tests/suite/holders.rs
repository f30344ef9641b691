use hollowsail_streams::holders::{order, HolderCandidate, ASKED, COPIES};

use crate::key;

const STREAMS: usize = 400;

/// Hosts with their halls.
fn fleet(hosts: usize, halls: usize) -> Vec<(String, String)> {
    let fleet = (0..hosts).map(|host| (format!("host-{host}"), format!("hall-{}", host % halls)));
    fleet.collect()
}

/// Positions of the hosts that hold copies for `stream`, in their order, of those in `among`.
fn holders(fleet: &[(String, String)], among: &[usize], stream: usize) -> Vec<usize> {
    let candidates = among.iter().map(|position| HolderCandidate {
        host: &fleet[*position].0,
        hall: &fleet[*position].1,
    });
    let candidates: Vec<HolderCandidate<'_>> = candidates.collect();
    let order = order(key(stream), &candidates).into_iter();
    order.map(|index| among[index]).collect()
}

fn without(all: usize, gone: &[usize]) -> Vec<usize> {
    (0..all).filter(|host| !gone.contains(host)).collect()
}

/// Share of the streams that began at hosts in `gone` whose record a survivor finds.
fn known_after_loss(fleet: &[(String, String)], gone: &[usize]) -> f64 {
    let survivors = without(fleet.len(), gone);
    let is_known = |stream: &usize| {
        let began_at = gone[stream % gone.len()];
        let others = without(fleet.len(), &[began_at]);
        let copies = &holders(fleet, &others, *stream)[..COPIES];
        let asking = survivors[stream % survivors.len()];
        let others = without(fleet.len(), &[gone, &[asking]].concat());
        let asked = holders(fleet, &others, *stream).into_iter().take(ASKED);
        // The asking host finds its own copy without asking.
        asked.chain([asking]).any(|holder| copies.contains(&holder))
    };
    (0..STREAMS).filter(is_known).count() as f64 / STREAMS as f64
}

#[test]
fn holders_that_follow_each_other_are_in_different_halls() {
    let fleet = fleet(9, 3);
    for stream in 0..STREAMS {
        let order = holders(&fleet, &without(9, &[]), stream);
        assert_eq!(order.len(), 9);
        let halls: Vec<&str> = order.iter().map(|host| fleet[*host].1.as_str()).collect();
        for three in halls.chunks(3) {
            assert!(three[0] != three[1] && three[1] != three[2] && three[0] != three[2]);
        }
    }
}

#[test]
fn every_record_survives_the_loss_of_its_host_and_of_a_hall() {
    let fleet = fleet(9, 3);
    for host in 0..9 {
        assert_eq!(known_after_loss(&fleet, &[host]), 1.0);
    }
    for hall in 0..3 {
        assert_eq!(known_after_loss(&fleet, &[hall, hall + 3, hall + 6]), 1.0);
    }
}

/// Callers may expect half as many streams to go on as new ones begin.
#[test]
fn most_records_survive_the_loss_of_half_of_the_hosts() {
    let fleet = fleet(8, 3);
    for mask in 0_u32..256 {
        let gone: Vec<usize> = (0..8).filter(|host| mask & 1 << host != 0).collect();
        if gone.len() == 4 {
            let known = known_after_loss(&fleet, &gone);
            assert!(known > 0.6, "{gone:?}: {known}");
        }
    }
}

#[test]
fn a_host_talks_to_a_bounded_number_of_holders() {
    let fleet = fleet(300, 3);
    let others = without(300, &[0]);
    let mut used: Vec<usize> = (0..STREAMS)
        .flat_map(|stream| holders(&fleet, &others, stream)[..COPIES].to_vec())
        .collect();
    used.sort_unstable();
    used.dedup();
    assert!(used.len() <= 64, "{}", used.len());
}
