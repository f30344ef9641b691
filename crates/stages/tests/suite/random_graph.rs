//! Property test: executes random stage graphs with randomly lost results.

use std::collections::{HashMap, HashSet};

use hollowsail_stages::{PieceIndex, StageGraph, StageSpec};
use proptest::prelude::*;

fn specs() -> impl Strategy<Value = Vec<StageSpec>> {
    let stage = (1usize..4, any::<u8>());
    prop::collection::vec(stage, 1..5).prop_map(|stages| {
        let dependencies =
            |stage: usize, mask: u8| (0..stage).filter(|bit| mask & (1 << bit) != 0).collect();
        let numbered = stages.into_iter().enumerate();
        numbered
            .map(|(stage, (pieces, mask))| StageSpec {
                pieces,
                after: dependencies(stage, mask),
            })
            .collect()
    })
}

/// Workers that retain results until they are released or lost.
#[derive(Default)]
struct Workers {
    retained: HashMap<String, PieceIndex>,
    completed: u32,
}

proptest! {
    #[test]
    fn inputs_are_complete_when_pieces_start(
        specs in specs(),
        choices in prop::collection::vec((any::<u16>(), 0u8..10), 1..400),
    ) {
        let mut graph = StageGraph::new(specs.clone());
        let mut workers = Workers::default();
        let mut running: Vec<(PieceIndex, Vec<String>)> = Vec::new();
        let mut choices = choices.into_iter();
        while !graph.is_done() {
            for piece in graph.start_ready() {
                let inputs = graph.inputs_of(piece.stage);
                let needed: usize = specs[piece.stage].after.iter().map(|&s| specs[s].pieces).sum();
                let distinct: HashSet<_> = inputs.iter().collect();
                prop_assert_eq!(distinct.len(), needed, "every input exactly once");
                prop_assert!(inputs.iter().all(|input| !input.is_empty()));
                running.push((piece, inputs));
            }
            prop_assert!(!running.is_empty(), "no piece is running or ready");
            // Once the choices are used up nothing fails, so the loop ends.
            let (pick, fault) = choices.next().unwrap_or((0, 9));
            let (piece, inputs) = running.swap_remove(usize::from(pick) % running.len());
            if fault == 0 {
                if let Some(handle) = inputs.first() {
                    workers.retained.remove(handle);
                }
            }
            if inputs.iter().all(|input| workers.retained.contains_key(input)) {
                workers.completed += 1;
                let handle = format!("h{}", workers.completed);
                workers.retained.insert(handle.clone(), piece);
                graph.complete(piece, handle);
                for consumed in graph.take_consumed() {
                    workers.retained.remove(&consumed);
                }
            } else {
                graph.reset(piece);
                graph.reset_inputs(piece.stage, &inputs);
            }
        }
        let inputs = graph.final_inputs();
        let distinct: HashSet<_> = inputs.iter().collect();
        prop_assert_eq!(distinct.len(), inputs.len());
        let finals: usize = (0..specs.len())
            .filter(|stage| !specs.iter().any(|spec| spec.after.contains(stage)))
            .map(|stage| specs[stage].pieces)
            .sum();
        prop_assert_eq!(inputs.len(), finals);
    }
}
