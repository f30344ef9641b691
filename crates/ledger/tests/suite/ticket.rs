//! Tests that tickets can't be forged or changed.

use hollowsail_ledger::Ticket;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const KEY: &[u8] = b"a key of the fleet";

fn ticket() -> Ticket {
    Ticket {
        issuer: 7,
        org: "o".into(),
        number: 3,
        issued: 1000,
    }
}

#[test]
fn ticket_decodes_only_with_its_own_key() {
    let text = ticket().encode(KEY);
    assert_eq!(
        Ticket::decode(&text, KEY).expect("the key matches"),
        ticket()
    );
    let err = Ticket::decode(&text, b"another key").expect_err("the key differs");
    assert!(err.to_string().contains("not issued by this fleet"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn changed_ticket_is_rejected(index in 0usize..200, replacement in "[A-Za-z0-9_-]") {
        let text = ticket().encode(KEY);
        let index = index % text.len();
        let mut changed = text.clone();
        changed.replace_range(index..=index, &replacement);
        if changed != text {
            prop_assert!(Ticket::decode(&changed, KEY).is_err());
        }
    }

    #[test]
    fn random_text_is_rejected(text in ".{0,200}") {
        prop_assert!(Ticket::decode(&text, KEY).is_err());
    }
}
