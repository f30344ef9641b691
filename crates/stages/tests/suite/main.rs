//! The pure machines of stages, by example and by fuzzing against simple rules.

mod batch;
mod graph;
mod limited;
mod random_graph;
mod random_queue;
