//! Tickets cannot be made up or changed.

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
fn a_ticket_reads_back_under_its_own_key_alone() {
    let text = ticket().encode(KEY);
    assert_eq!(Ticket::decode(&text, KEY).expect("it is ours"), ticket());
    let err = Ticket::decode(&text, b"another key").expect_err("it is not theirs");
    assert!(err.to_string().contains("not issued by this fleet"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn a_changed_character_is_noticed(at in 0usize..200, with in "[A-Za-z0-9_-]") {
        let text = ticket().encode(KEY);
        let at = at % text.len();
        let mut changed = text.clone();
        changed.replace_range(at..=at, &with);
        if changed != text {
            prop_assert!(Ticket::decode(&changed, KEY).is_err());
        }
    }

    #[test]
    fn noise_is_no_ticket(noise in ".{0,200}") {
        prop_assert!(Ticket::decode(&noise, KEY).is_err());
    }
}
