//! Tests of which entries follow the store.

use hollowsail_fleet::ownership::Candidate;
use hollowsail_fleet::store_followers::{choose, FOLLOWERS, MIN_ENTRIES};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("host-{index}")).collect()
}

fn chosen(names: &[String]) -> Option<Vec<&str>> {
    let entries = names.iter().map(|host| Candidate {
        host,
        capacity: 100,
        is_lagging: false,
    });
    let indices = choose("hall-a", entries)?;
    Some(
        indices
            .into_iter()
            .map(|index| names[index].as_str())
            .collect(),
    )
}

#[test]
fn all_entries_of_a_small_hall_follow() {
    assert_eq!(chosen(&names(MIN_ENTRIES - 1)), None);
}

#[test]
fn follower_count_is_fixed_in_a_large_hall() {
    for count in [MIN_ENTRIES, 30, 100, 1_000] {
        assert_eq!(
            chosen(&names(count)).map(|followers| followers.len()),
            Some(FOLLOWERS)
        );
    }
}

#[test]
fn removed_entry_changes_no_other_follower() {
    let all = names(30);
    let followers = chosen(&all).expect("some entries follow");
    for removed in &all {
        let remaining: Vec<String> = all
            .iter()
            .filter(|host| *host != removed)
            .cloned()
            .collect();
        let now = chosen(&remaining).expect("some entries follow");
        let kept = followers
            .iter()
            .filter(|follower| now.contains(follower))
            .count();
        let expected = FOLLOWERS - usize::from(followers.contains(&removed.as_str()));
        assert_eq!(kept, expected);
    }
}
