//! What the gateway keeps of its clients, without sockets and without a clock of its own: a table of sessions
//! whose idle ones cost a slot and nothing else, a timing wheel, a ledger of memory, and the governor that
//! decides who is read when more are ready than a turn can carry.
//!
//! All times are whole microseconds of the caller's monotonic clock, handed in.

pub mod memory_budget;
pub mod read_scheduler;
pub mod session_table;
pub mod timer_wheel;
