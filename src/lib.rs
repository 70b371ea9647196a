#![doc = include_str!("../README.md")]

pub mod interface;
mod policy;

pub use policy::WorkloadManager;
