//! Load and experiments for cicadastall.

pub mod compare;
