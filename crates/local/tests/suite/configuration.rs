//! Later.
