//! Tests for the stage graph: what can start, and from which inputs.

use hollowsail_stages::{PieceIndex, StageGraph, StageSpec};

fn spec(pieces: usize, after: &[usize]) -> StageSpec {
    StageSpec {
        pieces,
        after: after.to_vec(),
    }
}

fn piece_at(stage: usize, piece: usize) -> PieceIndex {
    PieceIndex { stage, piece }
}

/// Three stages in a row with two, three and one pieces.
fn chain() -> StageGraph {
    StageGraph::new(vec![spec(2, &[]), spec(3, &[0]), spec(1, &[1])])
}

fn complete_ready(graph: &mut StageGraph) {
    for ready in graph.start_ready() {
        graph.complete(ready, format!("w/{}-{}", ready.stage, ready.piece));
    }
}

#[test]
fn stage_starts_when_dependencies_complete() {
    let mut graph = chain();
    assert_eq!(graph.start_ready(), [piece_at(0, 0), piece_at(0, 1)]);
    assert!(
        graph.start_ready().is_empty(),
        "each piece is returned once"
    );
    graph.complete(piece_at(0, 0), "a".into());
    assert!(graph.start_ready().is_empty());
    graph.complete(piece_at(0, 1), "b".into());
    assert_eq!(
        graph.start_ready(),
        [piece_at(1, 0), piece_at(1, 1), piece_at(1, 2)]
    );
    assert_eq!(graph.inputs_of(1), ["a", "b"]);
}

#[test]
fn final_inputs_are_results_without_dependents() {
    let mut graph = StageGraph::new(vec![spec(1, &[]), spec(1, &[]), spec(2, &[1])]);
    complete_ready(&mut graph);
    complete_ready(&mut graph);
    assert!(graph.is_done());
    assert_eq!(graph.final_inputs(), ["w/0-0", "w/2-0", "w/2-1"]);
}

#[test]
fn empty_stage_is_skipped() {
    let mut graph = StageGraph::new(vec![spec(0, &[]), spec(2, &[])]);
    assert_eq!(graph.start_ready(), [piece_at(1, 0), piece_at(1, 1)]);
    let none = StageGraph::new(vec![spec(0, &[])]);
    assert!(none.is_done() && none.final_inputs().is_empty());
}

#[test]
fn results_consumed_when_dependents_complete() {
    let mut graph = chain();
    complete_ready(&mut graph);
    assert!(graph.take_consumed().is_empty());
    complete_ready(&mut graph);
    assert_eq!(graph.take_consumed(), ["w/0-0", "w/0-1"]);
    assert!(
        graph.take_consumed().is_empty(),
        "each handle is returned once"
    );
    complete_ready(&mut graph);
    assert_eq!(graph.take_consumed().len(), 3);
    assert_eq!(
        graph.final_inputs(),
        ["w/2-0"],
        "final results aren't consumed"
    );
}

#[test]
fn lost_inputs_reset_consumed_dependencies() {
    let mut graph = chain();
    complete_ready(&mut graph);
    complete_ready(&mut graph);
    graph.take_consumed();
    let started = graph.start_ready();
    assert_eq!(started, [piece_at(2, 0)]);
    let inputs = graph.inputs_of(2);
    graph.reset(piece_at(2, 0));
    let mut lost = graph.reset_inputs(2, &inputs);
    lost.sort();
    assert_eq!(
        lost,
        [
            piece_at(0, 0),
            piece_at(0, 1),
            piece_at(1, 0),
            piece_at(1, 1),
            piece_at(1, 2)
        ]
    );
    assert_eq!(
        graph.start_ready(),
        [piece_at(0, 0), piece_at(0, 1)],
        "restarts at the first stage"
    );
}

#[test]
fn replaced_inputs_are_not_reset_again() {
    let mut graph = chain();
    complete_ready(&mut graph);
    let inputs = graph.inputs_of(1);
    for piece in graph.start_ready() {
        graph.reset(piece);
    }
    graph.reset_inputs(1, &inputs);
    for piece in graph.start_ready() {
        graph.complete(piece, format!("again-{}", piece.piece));
    }
    assert!(graph.reset_inputs(1, &inputs).is_empty());
    assert_eq!(graph.inputs_of(1), ["again-0", "again-1"]);
}

#[test]
fn ms_after_sums_stages_up_to_the_request() {
    let graph = chain();
    let ms_of = |stage: usize| [1, 20, 300][stage];
    let after: Vec<u64> = (0..3)
        .map(|stage| graph.critical_path_ms_after(stage, &ms_of))
        .collect();
    assert_eq!(after, [320, 300, 0]);
}

#[test]
fn final_stages_start_together() {
    // One final stage beside a chain of two stages.
    let mut graph = StageGraph::new(vec![spec(1, &[]), spec(2, &[]), spec(1, &[1])]);
    assert_eq!(graph.start_ready(), [piece_at(1, 0), piece_at(1, 1)]);
    graph.complete(piece_at(1, 0), "a".into());
    assert!(
        graph.start_ready().is_empty(),
        "the other final stage isn't ready"
    );
    graph.complete(piece_at(1, 1), "b".into());
    assert_eq!(graph.start_ready(), [piece_at(0, 0), piece_at(2, 0)]);
}

#[test]
fn empty_final_stage_delays_no_other() {
    let mut graph = StageGraph::new(vec![spec(1, &[]), spec(2, &[]), spec(0, &[1])]);
    assert_eq!(
        graph.start_ready(),
        [piece_at(0, 0), piece_at(1, 0), piece_at(1, 1)]
    );
}
