//! When an entry may not know what is in force.

use hollowsail_fleet::{Standing, StandingRule};

const RULE: StandingRule = StandingRule {
    isolation_ms: 100,
    alone_by_settings: false,
};

#[test]
fn either_store_or_peers_keep_an_entry_in_touch() {
    assert_eq!(RULE.judge(500, true, Some(450), None), Standing::InTouch);
    assert_eq!(RULE.judge(500, true, None, Some(450)), Standing::InTouch);
    assert_eq!(
        RULE.judge(500, true, Some(10), Some(400)),
        Standing::Isolated
    );
    assert_eq!(RULE.judge(500, true, None, None), Standing::Isolated);
}

#[test]
fn without_a_configuration_it_is_starting_whatever_it_reaches() {
    assert_eq!(
        RULE.judge(500, false, Some(500), Some(500)),
        Standing::Starting
    );
}

#[test]
fn an_entry_alone_by_its_settings_is_never_isolated() {
    let rule = StandingRule {
        alone_by_settings: true,
        ..RULE
    };
    assert_eq!(rule.judge(500, true, None, None), Standing::InTouch);
}
