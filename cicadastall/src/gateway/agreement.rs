//! State that control instances replicate, and the group that replicates it.

pub mod document_state;
pub(in crate::gateway) mod group_supervisor;
