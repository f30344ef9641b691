//! Tests of the readers of heads, beside a slow reading of the grammar.

mod answers;
mod grammar;
mod requests;
