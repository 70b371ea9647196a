//! What the gateway keeps of its clients, without sockets and without a clock of its own: the
//! [`session_table`], whose idle sessions cost a slot each, a [`timer_wheel`], a [`memory_budget`], and the
//! [`read_scheduler`], which decides which sessions are read when more are ready than a turn can carry.
//!
//! All times are whole microseconds of the caller's monotonic clock, handed in.

pub mod memory_budget;
pub mod read_scheduler;
pub mod session_table;
pub mod timer_wheel;
