//! The operations, one module each.

pub mod apply;
pub mod call;
pub mod check;
pub mod drain;
pub mod entry;
pub mod gateway;
pub mod local;
pub mod local_platform;
pub mod operator;
pub mod signals;
pub mod status;
