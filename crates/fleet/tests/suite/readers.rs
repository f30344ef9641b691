//! Which entries read the store.

use hollowsail_fleet::ownership::Candidate;
use hollowsail_fleet::readers::{choose, LEAST_ENTRIES, READERS};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("host-{at}")).collect()
}

fn chosen(names: &[String]) -> Option<Vec<&str>> {
    let entries = names.iter().map(|host| Candidate {
        host,
        capacity: 100,
        is_slow: false,
    });
    let at = choose("hall-a", entries)?;
    Some(at.into_iter().map(|at| names[at].as_str()).collect())
}

#[test]
fn in_a_small_hall_all_read() {
    assert_eq!(chosen(&names(LEAST_ENTRIES - 1)), None);
}

#[test]
fn in_a_large_one_a_few_do_however_large_it_is() {
    for count in [LEAST_ENTRIES, 30, 100, 1_000] {
        assert_eq!(
            chosen(&names(count)).map(|readers| readers.len()),
            Some(READERS)
        );
    }
}

#[test]
fn another_entry_that_goes_changes_no_reader() {
    let all = names(30);
    let readers = chosen(&all).expect("some read");
    for gone in &all {
        let left: Vec<String> = all.iter().filter(|host| *host != gone).cloned().collect();
        let now = chosen(&left).expect("some read");
        let stays = readers.iter().filter(|reader| now.contains(reader)).count();
        let expected = READERS - usize::from(readers.contains(&gone.as_str()));
        assert_eq!(stays, expected);
    }
}
