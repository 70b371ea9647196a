//! Data structures for the gateway's client sessions, without sockets and without a clock: the [`session_table`], in
//! which a suspended session takes no memory but its slot, a [`timer_wheel`], a [`memory_budget`], and the
//! [`read_scheduler`], which selects the sessions to be read when more are ready than fit into a turn of the event
//! loop.
//!
//! All times are passed in by the caller, in whole microseconds of a monotonic clock.

pub mod memory_budget;
pub mod read_scheduler;
pub mod session_table;
pub mod timer_wheel;
