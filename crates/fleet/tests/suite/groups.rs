//! Groups of targets, as targets come and go.

use hollowsail_fleet::groups;

const SIZE: usize = 32;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("i-{at:04x}")).collect()
}

/// Targets that are in another group once so many of them are there.
fn moved(names: &[String], before: usize, after: usize) -> usize {
    let (before, after) = (groups::count(before, SIZE), groups::count(after, SIZE));
    let moves = |name: &&String| groups::place_of(name, before) != groups::place_of(name, after);
    names.iter().filter(moves).count()
}

#[test]
fn a_target_that_comes_or_goes_moves_no_other_one() {
    let names = names(140);
    for there in 129..160 {
        assert_eq!(moved(&names, 140, there), 0, "{there} targets");
    }
}

#[test]
fn one_group_more_takes_only_its_own() {
    let names = names(140);
    let moved = moved(&names, 160, 161);
    assert!((10..=40).contains(&moved), "{moved} of 140");
}

#[test]
fn groups_are_about_as_large_as_asked() {
    let names = names(320);
    let of = groups::count(names.len(), SIZE);
    assert_eq!(of, 10);
    for at in 0..of {
        let size = names
            .iter()
            .filter(|name| groups::place_of(name, of) == at)
            .count();
        assert!((16..=52).contains(&size), "{size} in group {at}");
    }
}

#[test]
fn few_targets_are_one_group() {
    assert_eq!((groups::count(0, SIZE), groups::count(32, SIZE)), (1, 1));
    assert!(names(32).iter().all(|name| groups::place_of(name, 1) == 0));
}
