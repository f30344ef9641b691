use hollowsail_streams::{ListedVersion, VersionHistory, RETENTION_MS};

fn listed(version: &str) -> ListedVersion {
    ListedVersion {
        service: "engines".into(),
        version: version.into(),
        is_ready: true,
    }
}

fn draining(version: &str) -> ListedVersion {
    ListedVersion {
        is_ready: false,
        ..listed(version)
    }
}

fn served(history: &VersionHistory, now: u64) -> Vec<String> {
    history.account(now, "engines").served
}

#[test]
fn an_entry_that_just_started_has_no_complete_account() {
    let mut history = VersionHistory::default();
    history.update(1_000, &[listed("v1")], true);
    let complete_at = 1_000 + RETENTION_MS;
    assert!(!history.account(complete_at - 1, "engines").is_complete);
    assert!(!history.is_only_version(complete_at - 1, "engines"));
    let after = history.account(complete_at, "engines");
    assert!(after.is_complete);
    assert_eq!(after.served, ["v1"]);
    assert!(history.is_only_version(complete_at, "engines"));
}

#[test]
fn a_gap_in_the_list_of_targets_begins_the_account_anew() {
    let mut history = VersionHistory::default();
    history.update(0, &[listed("v1")], true);
    let gap_at = RETENTION_MS + 4_000;
    assert!(history.account(gap_at - 1, "engines").is_complete);
    history.update(gap_at, &[listed("v1")], false);
    assert!(!history.account(gap_at, "engines").is_complete);
    history.update(gap_at + 1_000, &[listed("v1")], true);
    let complete_at = gap_at + 1_000 + RETENTION_MS;
    assert!(!history.account(complete_at - 1, "engines").is_complete);
    assert!(history.account(complete_at, "engines").is_complete);
}

/// An entry that hears of a version late holds it back while others have streams there.
#[test]
fn a_version_may_have_served_as_soon_as_it_is_listed() {
    let mut history = VersionHistory::default();
    history.update(0, &[listed("v1")], true);
    let now = RETENTION_MS + 1_000;
    assert!(history.is_only_version(now, "engines"));
    history.update(now, &[listed("v1"), listed("v2")], true);
    assert_eq!(served(&history, now), ["v1", "v2"]);
    assert!(!history.is_only_version(now, "engines"));
}

#[test]
fn changes_that_may_have_been_missed_end_a_complete_account() {
    let mut history = VersionHistory::default();
    history.update(0, &[listed("v1")], true);
    let gap_at = 2 * RETENTION_MS;
    assert!(history.is_only_version(gap_at, "engines"));
    history.record_gap(gap_at);
    assert!(!history.is_only_version(gap_at + RETENTION_MS - 1, "engines"));
    assert!(history.is_only_version(gap_at + RETENTION_MS, "engines"));
}

#[test]
fn a_version_that_is_gone_counts_while_its_streams_may_be_resumed() {
    let mut history = VersionHistory::default();
    history.update(0, &[listed("v1"), draining("v2")], true);
    history.update(1_000, &[listed("v1")], true);
    let last = 1_000 + RETENTION_MS;
    assert_eq!(served(&history, last - 1), ["v1", "v2"]);
    assert_eq!(served(&history, last), ["v1"]);
    assert!(history.is_only_version(last, "engines"));
}

#[test]
fn a_version_may_return_after_its_last_target_crashed_but_not_after_it_drained() {
    let mut history = VersionHistory::default();
    let may_return =
        |history: &VersionHistory, version, now| history.may_return(now, "engines", version, 2_000);
    history.update(0, &[listed("v1"), listed("v2")], true);
    assert!(may_return(&history, "v1", 60_000), "it has targets");
    history.update(1_000, &[draining("v1")], true);
    assert!(may_return(&history, "v2", 2_999));
    assert!(!may_return(&history, "v2", 3_000));
    assert!(!may_return(&history, "v1", 1_000));
    history.update(1_500, &[], true);
    assert!(
        !may_return(&history, "v1", 1_500),
        "it drained before it ended"
    );
    assert!(!may_return(&history, "v3", 1_500), "never listed");
}

#[test]
fn an_unknown_service_has_no_only_version() {
    let mut history = VersionHistory::default();
    history.update(0, &[], true);
    assert!(!history.is_only_version(RETENTION_MS, "engines"));
}
