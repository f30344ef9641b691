//! Tests of when an entry is isolated.

use hollowsail_fleet::{Connectivity, ConnectivityRule};

const RULE: ConnectivityRule = ConnectivityRule {
    isolation_ms: 100,
    is_standalone: false,
};

#[test]
fn store_or_peer_contact_keeps_entry_in_touch() {
    assert_eq!(
        RULE.evaluate(500, true, Some(450), None),
        Connectivity::InTouch
    );
    assert_eq!(
        RULE.evaluate(500, true, None, Some(450)),
        Connectivity::InTouch
    );
    assert_eq!(
        RULE.evaluate(500, true, Some(10), Some(400)),
        Connectivity::Isolated
    );
    assert_eq!(RULE.evaluate(500, true, None, None), Connectivity::Isolated);
}

#[test]
fn entry_without_configuration_is_starting() {
    assert_eq!(
        RULE.evaluate(500, false, Some(500), Some(500)),
        Connectivity::Starting
    );
}

#[test]
fn standalone_entry_is_never_isolated() {
    let rule = ConnectivityRule {
        is_standalone: true,
        ..RULE
    };
    assert_eq!(rule.evaluate(500, true, None, None), Connectivity::InTouch);
}
