//! Random walks through random graphs, with results lost on the way.

use std::collections::{HashMap, HashSet};

use hollowsail_stages::{PieceAt, StageGraph, StageSize};
use proptest::prelude::*;

fn sizes() -> impl Strategy<Value = Vec<StageSize>> {
    let stage = (1usize..4, any::<u8>());
    prop::collection::vec(stage, 1..5).prop_map(|stages| {
        let needs = |at: usize, bits: u8| (0..at).filter(|bit| bits & (1 << bit) != 0).collect();
        let sized = stages.into_iter().enumerate();
        sized
            .map(|(at, (pieces, bits))| StageSize {
                pieces,
                after: needs(at, bits),
            })
            .collect()
    })
}

/// A maker that keeps results until they are given up or lost.
#[derive(Default)]
struct Makers {
    kept: HashMap<String, PieceAt>,
    made: u32,
}

proptest! {
    #[test]
    fn pieces_always_start_from_whole_sets_of_live_results(
        sizes in sizes(),
        choices in prop::collection::vec((any::<u16>(), 0u8..10), 1..400),
    ) {
        let mut graph = StageGraph::new(sizes.clone());
        let mut makers = Makers::default();
        let mut running: Vec<(PieceAt, Vec<String>)> = Vec::new();
        let mut choices = choices.into_iter();
        while !graph.is_done() {
            for at in graph.start_ready() {
                let inputs = graph.inputs_of(at.stage);
                let needed: usize = sizes[at.stage].after.iter().map(|&s| sizes[s].pieces).sum();
                let distinct: HashSet<_> = inputs.iter().collect();
                prop_assert_eq!(distinct.len(), needed, "all of them, each once");
                prop_assert!(inputs.iter().all(|input| !input.is_empty()));
                running.push((at, inputs));
            }
            prop_assert!(!running.is_empty(), "something can always go on");
            // With the choices used up nothing fails any more, so it ends.
            let (pick, fate) = choices.next().unwrap_or((0, 9));
            let (at, inputs) = running.swap_remove(usize::from(pick) % running.len());
            if fate == 0 {
                if let Some(handle) = inputs.first() {
                    makers.kept.remove(handle);
                }
            }
            if inputs.iter().all(|input| makers.kept.contains_key(input)) {
                makers.made += 1;
                let handle = format!("h{}", makers.made);
                makers.kept.insert(handle.clone(), at);
                graph.made(at, handle);
                for spent in graph.take_spent() {
                    makers.kept.remove(&spent);
                }
            } else {
                graph.lose(at);
                graph.lose_inputs(at.stage, &inputs);
            }
        }
        let inputs = graph.final_inputs();
        let distinct: HashSet<_> = inputs.iter().collect();
        prop_assert_eq!(distinct.len(), inputs.len());
        let finals: usize = (0..sizes.len())
            .filter(|stage| !sizes.iter().any(|size| size.after.contains(stage)))
            .map(|stage| sizes[stage].pieces)
            .sum();
        prop_assert_eq!(inputs.len(), finals);
    }
}
