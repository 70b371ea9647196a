#![doc = include_str!("../README.md")]

mod decisions;
pub mod interface;

pub use decisions::WorkloadManager;
