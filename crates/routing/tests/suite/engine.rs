//! Choice of an engine for a generation.

use hollowsail_routing::{choose_engine, prefix_outweighs_results, EngineCandidate};

fn engine(affinity: u64) -> EngineCandidate {
    EngineCandidate {
        affinity,
        has_cached_prefix: false,
        load: 0.0,
        pending_prefill_tokens: 0,
        slowness: 1.0,
        ejected: false,
        remote_bytes: 0,
    }
}

#[test]
fn first_in_rendezvous_order_expects_prefix() {
    let choice =
        choose_engine(&[engine(3), engine(9), engine(5)], 10_000).expect("an engine is chosen");
    assert_eq!((choice.index, choice.expects_prefix), (1, true));
}

#[test]
fn long_prefix_outweighs_moderate_load() {
    let mut preferred = engine(9);
    preferred.load = 0.3;
    preferred.pending_prefill_tokens = 4_000;
    assert_eq!(
        choose_engine(&[engine(3), preferred], 13_000).map(|c| c.index),
        Some(1)
    );
    preferred.pending_prefill_tokens = 40_000;
    let other = choose_engine(&[engine(3), preferred], 13_000).expect("an engine is chosen");
    assert_eq!((other.index, other.expects_prefix), (0, false));
}

#[test]
fn large_results_outweigh_only_a_short_prefix() {
    let mut remote = engine(9);
    remote.remote_bytes = 6_000_000;
    assert_eq!(
        choose_engine(&[engine(3), remote], 350).map(|c| c.index),
        Some(0)
    );
    assert_eq!(
        choose_engine(&[engine(3), remote], 13_000).map(|c| c.index),
        Some(1)
    );
    assert!(prefix_outweighs_results(13_000, 6_000_000));
    assert!(!prefix_outweighs_results(350, 6_000_000));
}

#[test]
fn ejected_engines_serve_only_if_all_are() {
    let ejected = EngineCandidate {
        ejected: true,
        ..engine(9)
    };
    assert_eq!(
        choose_engine(&[engine(3), ejected], 13_000).map(|c| c.index),
        Some(0)
    );
    assert!(choose_engine(&[ejected, ejected], 13_000).is_some());
    assert_eq!(choose_engine(&[], 13_000), None);
}

#[test]
fn equal_costs_follow_rendezvous_order() {
    let mut preferred = engine(9);
    preferred.pending_prefill_tokens = 100_000;
    let candidates = [engine(3), preferred, engine(5)];
    assert_eq!(choose_engine(&candidates, 1_000).map(|c| c.index), Some(2));
}
