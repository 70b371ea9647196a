//! placeholder
use super::error::HollowError;
use std::path::Path;
/// x
#[derive(clap::Args)]
pub struct Options {}
/// x
pub fn run(_: &Options) -> Result<(), HollowError> { Ok(()) }
/// x
pub fn has_same_counts(_: &Path) -> Result<bool, HollowError> { Ok(false) }
