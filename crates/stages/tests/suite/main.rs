//! Example and property tests for the stage graph and the batch queue.

mod batch;
mod change_of_owner;
mod graph;
mod limited;
mod many_flows;
mod random_graph;
mod random_queue;
mod random_reservations;
mod reservations;
mod retained;
mod shares;
mod simulation;
mod speeds;
