//! Hosts that may be running.

use hollowsail_fleet::known_hosts::{COUNTED_FOR_MS, FORGET_AFTER_MS};
use hollowsail_fleet::KnownHosts;

#[test]
fn host_without_a_record_is_counted_while_it_may_run_on() {
    let mut hosts = KnownHosts::default();
    assert_eq!(hosts.count(0), None);
    hosts.update(1_000, ["a", "b", "c"].into_iter());
    hosts.update(2_000, ["a"].into_iter());
    assert_eq!(hosts.count(2_000 + COUNTED_FOR_MS + 10_000), Some(3));
    assert_eq!(hosts.count(2_000 + FORGET_AFTER_MS), Some(1));
}

#[test]
fn host_that_returns_is_counted_once() {
    let mut hosts = KnownHosts::default();
    hosts.update(1_000, ["a", "b"].into_iter());
    hosts.update(2_000, ["a"].into_iter());
    hosts.update(3_000, ["a", "b", "b"].into_iter());
    assert_eq!(hosts.count(3_000), Some(2));
}
