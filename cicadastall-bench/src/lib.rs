//! Simulated workloads and the comparison of routing policies on them.

pub mod compare;
