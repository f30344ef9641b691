//! Example and property tests for the stage graph and the batch queue.

mod batch;
mod graph;
mod limited;
mod random_graph;
mod random_queue;
mod random_reservations;
mod reservations;
mod shares;
mod simulation;
