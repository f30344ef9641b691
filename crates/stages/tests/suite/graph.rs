//! What may start, and what it starts from.

use hollowsail_stages::{PieceAt, StageGraph, StageSize};

fn size(pieces: usize, after: &[usize]) -> StageSize {
    StageSize {
        pieces,
        after: after.to_vec(),
    }
}

fn at(stage: usize, piece: usize) -> PieceAt {
    PieceAt { stage, piece }
}

/// Two pieces, then three from them, then one from those.
fn chain() -> StageGraph {
    StageGraph::new(vec![size(2, &[]), size(3, &[0]), size(1, &[1])])
}

fn make_all(graph: &mut StageGraph) {
    for ready in graph.start_ready() {
        graph.made(ready, format!("w/{}-{}", ready.stage, ready.piece));
    }
}

#[test]
fn a_stage_starts_when_all_that_it_needs_is_made() {
    let mut graph = chain();
    assert_eq!(graph.start_ready(), [at(0, 0), at(0, 1)]);
    assert!(
        graph.start_ready().is_empty(),
        "each piece is handed out once"
    );
    graph.made(at(0, 0), "a".into());
    assert!(graph.start_ready().is_empty());
    graph.made(at(0, 1), "b".into());
    assert_eq!(graph.start_ready(), [at(1, 0), at(1, 1), at(1, 2)]);
    assert_eq!(graph.inputs_of(1), ["a", "b"]);
}

#[test]
fn the_request_starts_from_what_no_stage_needs() {
    let mut graph = StageGraph::new(vec![size(1, &[]), size(1, &[]), size(2, &[1])]);
    make_all(&mut graph);
    make_all(&mut graph);
    assert!(graph.is_done());
    assert_eq!(graph.final_inputs(), ["w/0-0", "w/2-0", "w/2-1"]);
}

#[test]
fn a_stage_without_pieces_is_left_out() {
    let mut graph = StageGraph::new(vec![size(0, &[]), size(2, &[])]);
    assert_eq!(graph.start_ready(), [at(1, 0), at(1, 1)]);
    let none = StageGraph::new(vec![size(0, &[])]);
    assert!(none.is_done() && none.final_inputs().is_empty());
}

#[test]
fn results_are_spent_once_all_that_needs_them_is_made() {
    let mut graph = chain();
    make_all(&mut graph);
    assert!(graph.take_spent().is_empty());
    make_all(&mut graph);
    assert_eq!(graph.take_spent(), ["w/0-0", "w/0-1"]);
    assert!(graph.take_spent().is_empty(), "each is told once");
    make_all(&mut graph);
    assert_eq!(graph.take_spent().len(), 3);
    assert_eq!(
        graph.final_inputs(),
        ["w/2-0"],
        "what the request needs isn't spent"
    );
}

#[test]
fn lost_inputs_are_made_again_with_what_was_spent_before_them() {
    let mut graph = chain();
    make_all(&mut graph);
    make_all(&mut graph);
    graph.take_spent();
    let started = graph.start_ready();
    assert_eq!(started, [at(2, 0)]);
    let used = graph.inputs_of(2);
    graph.lose(at(2, 0));
    let mut lost = graph.lose_inputs(2, &used);
    lost.sort();
    assert_eq!(lost, [at(0, 0), at(0, 1), at(1, 0), at(1, 1), at(1, 2)]);
    assert_eq!(
        graph.start_ready(),
        [at(0, 0), at(0, 1)],
        "from the first stage on"
    );
}

#[test]
fn inputs_that_were_made_again_meanwhile_are_not_lost_twice() {
    let mut graph = chain();
    make_all(&mut graph);
    let used = graph.inputs_of(1);
    for piece in graph.start_ready() {
        graph.lose(piece);
    }
    graph.lose_inputs(1, &used);
    for piece in graph.start_ready() {
        graph.made(piece, format!("again-{}", piece.piece));
    }
    assert!(graph.lose_inputs(1, &used).is_empty());
    assert_eq!(graph.inputs_of(1), ["again-0", "again-1"]);
}

#[test]
fn the_time_after_a_stage_is_that_of_the_stages_up_to_the_request() {
    let graph = chain();
    let ms_of = |stage: usize| [1, 20, 300][stage];
    let after: Vec<u64> = (0..3).map(|stage| graph.ms_after(stage, &ms_of)).collect();
    assert_eq!(after, [320, 300, 0]);
}

#[test]
fn stages_that_only_the_request_needs_start_together() {
    // A large result beside a chain of two.
    let mut graph = StageGraph::new(vec![size(1, &[]), size(2, &[]), size(1, &[1])]);
    assert_eq!(graph.start_ready(), [at(1, 0), at(1, 1)]);
    graph.made(at(1, 0), "a".into());
    assert!(graph.start_ready().is_empty(), "the chain isn't that far");
    graph.made(at(1, 1), "b".into());
    assert_eq!(graph.start_ready(), [at(0, 0), at(2, 0)]);
}

#[test]
fn a_last_stage_without_pieces_keeps_no_other_waiting() {
    let mut graph = StageGraph::new(vec![size(1, &[]), size(2, &[]), size(0, &[1])]);
    assert_eq!(graph.start_ready(), [at(0, 0), at(1, 0), at(1, 1)]);
}
