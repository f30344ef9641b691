use hollowsail_streams::{find_origin, Findings, KnownBy, Recorded, UnknownOrigin, VersionAccount};

use crate::build;

fn account(served: &[&str], is_complete: bool) -> VersionAccount {
    VersionAccount {
        served: served.iter().map(|version| version.to_string()).collect(),
        is_complete,
    }
}

fn findings(accounts: Vec<VersionAccount>) -> Findings {
    Findings {
        accounts,
        ..Findings::default()
    }
}

fn recorded(version: &str) -> Recorded {
    Recorded::Build(build(version))
}

fn found(findings: &Findings) -> Result<(String, KnownBy), UnknownOrigin> {
    let origin = find_origin(findings, Some("engines"))?;
    Ok((origin.build.version, origin.known_by))
}

#[test]
fn a_record_tells_the_version_whatever_else_served() {
    let several = vec![account(&["v1", "v2"], true)];
    let own = Findings {
        own: Some(recorded("v2")),
        ..findings(several.clone())
    };
    assert_eq!(found(&own), Ok(("v2".into(), KnownBy::OwnRecord)));
    let of_peer = Findings {
        peers: vec![recorded("v1"), recorded("v1")],
        silent: 1,
        ..findings(several)
    };
    assert_eq!(found(&of_peer), Ok(("v1".into(), KnownBy::Peer)));
}

#[test]
fn records_that_differ_tell_nothing() {
    for peers in [
        vec![recorded("v1"), recorded("v2")],
        vec![Recorded::Ambiguous],
        vec![recorded("v1"), Recorded::Ambiguous],
    ] {
        let differing = Findings {
            peers,
            ..findings(vec![account(&["v1"], true)])
        };
        assert_eq!(found(&differing), Err(UnknownOrigin::Ambiguous));
    }
}

#[test]
fn an_unknown_stream_belongs_to_the_only_version_that_served() {
    let only = findings(vec![account(&["v1"], true), account(&["v1"], false)]);
    assert_eq!(found(&only), Ok(("v1".into(), KnownBy::OnlyVersion)));
}

#[test]
fn an_entry_that_just_started_learns_from_a_peer_that_only_one_version_served() {
    let young = findings(vec![account(&["v1"], false), account(&["v1"], true)]);
    assert_eq!(found(&young), Ok(("v1".into(), KnownBy::OnlyVersion)));
}

#[test]
fn an_unknown_stream_is_not_guessed() {
    let cases = [
        vec![],
        // Nobody has known all targets for long enough.
        vec![account(&["v1"], false), account(&["v1"], false)],
        vec![account(&["v1", "v2"], true)],
        // A peer knows of another version.
        vec![account(&["v1"], true), account(&["v1", "v2"], false)],
        vec![account(&["v1"], true), account(&["v2"], true)],
        vec![account(&[], true)],
    ];
    for accounts in cases {
        assert_eq!(found(&findings(accounts)), Err(UnknownOrigin::NoRecord));
    }
}

#[test]
fn a_silent_holder_may_know_more() {
    let silent = Findings {
        silent: 1,
        ..findings(vec![account(&["v1", "v2"], true)])
    };
    assert_eq!(found(&silent), Err(UnknownOrigin::HoldersSilent));
}

/// With several services in its route, the only version of one doesn't tell the build.
#[test]
fn a_route_with_several_services_needs_a_record() {
    let only = findings(vec![account(&["v1"], true)]);
    assert_eq!(find_origin(&only, None), Err(UnknownOrigin::NoRecord));
}

// Guards against streams of a version that joined after the store's last answer.
#[test]
fn an_unknown_stream_waits_while_the_list_of_targets_is_outdated() {
    let outdated = |accounts| Findings {
        is_list_outdated: true,
        ..findings(accounts)
    };
    let alone = outdated(vec![account(&["v1"], false)]);
    assert_eq!(found(&alone), Err(UnknownOrigin::ListOutdated));
    let peer_knows = outdated(vec![account(&["v1"], false), account(&["v1"], true)]);
    assert_eq!(found(&peer_knows), Ok(("v1".into(), KnownBy::OnlyVersion)));
    let several = outdated(vec![account(&["v1", "v2"], false)]);
    assert_eq!(found(&several), Err(UnknownOrigin::NoRecord));
}
