//! The operator's document: routes, pools and workspaces, and its validation.

pub mod document_check;
pub mod document_decoder;
pub mod key_index;
pub mod routes;
