//! Tests of the groups of targets, as targets are added and removed.

use hollowsail_fleet::groups;

const SIZE: usize = 32;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("i-{index:04x}")).collect()
}

/// Number of targets whose group differs between two target counts.
fn moved(names: &[String], before: usize, after: usize) -> usize {
    let (before, after) = (groups::count(before, SIZE), groups::count(after, SIZE));
    let moves = |name: &&String| groups::group_of(name, before) != groups::group_of(name, after);
    names.iter().filter(moves).count()
}

#[test]
fn unchanged_group_count_moves_no_target() {
    let names = names(140);
    for after in 129..160 {
        assert_eq!(moved(&names, 140, after), 0, "{after} targets");
    }
}

#[test]
fn additional_group_moves_only_its_own() {
    let names = names(140);
    let moved = moved(&names, 160, 161);
    assert!((10..=40).contains(&moved), "{moved} of 140 targets moved");
}

#[test]
fn groups_have_about_the_requested_size() {
    let names = names(320);
    let count = groups::count(names.len(), SIZE);
    assert_eq!(count, 10);
    for group in 0..count {
        let size = names
            .iter()
            .filter(|name| groups::group_of(name, count) == group)
            .count();
        assert!((16..=52).contains(&size), "{size} targets in group {group}");
    }
}

#[test]
fn few_targets_are_one_group() {
    assert_eq!((groups::count(0, SIZE), groups::count(32, SIZE)), (1, 1));
    assert!(names(32).iter().all(|name| groups::group_of(name, 1) == 0));
}
