//! Tests of when an entry is isolated.

use hollowsail_fleet::{Standing, StandingRule};

const RULE: StandingRule = StandingRule {
    isolation_ms: 100,
    alone_by_settings: false,
};

#[test]
fn store_or_peer_contact_keeps_entry_in_touch() {
    assert_eq!(RULE.judge(500, true, Some(450), None), Standing::InTouch);
    assert_eq!(RULE.judge(500, true, None, Some(450)), Standing::InTouch);
    assert_eq!(
        RULE.judge(500, true, Some(10), Some(400)),
        Standing::Isolated
    );
    assert_eq!(RULE.judge(500, true, None, None), Standing::Isolated);
}

#[test]
fn entry_without_configuration_is_starting() {
    assert_eq!(
        RULE.judge(500, false, Some(500), Some(500)),
        Standing::Starting
    );
}

#[test]
fn standalone_entry_is_never_isolated() {
    let rule = StandingRule {
        alone_by_settings: true,
        ..RULE
    };
    assert_eq!(rule.judge(500, true, None, None), Standing::InTouch);
}
