//! The figures of sessions in the log line of the counters. Operators and tools read these names, so that they must not
//! change.

use std::fmt;

use wrenhatch_sessions::memory_budget::MemoryPurpose;
use wrenhatch_sessions::read_scheduler::{ReadPriority, Work};
use wrenhatch_sessions::session_table::Activity;

use super::Sessions;

impl fmt::Display for Sessions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "all={} parked={} ", self.table.len(), self.table.suspended_count())?;
        for activity in Activity::LISTED {
            write!(f, "{}={} ", activity.name(), self.table.count(activity))?;
        }
        let Self { memory, scheduler, .. } = self;
        write!(f, "held={} most_held={} bound={} ", memory.total(), memory.peak(), memory.limit())?;
        for purpose in MemoryPurpose::ALL {
            write!(f, "held_{}={} ", purpose.name(), memory.reserved(purpose))?;
        }
        write!(f, "waiting={} deferred={}", scheduler.waiting(), scheduler.deferred())?;
        write!(f, " longest_turn_us={}", scheduler.longest_turn_us())?;
        for priority in ReadPriority::ALL {
            write!(f, " longest_{}_us={}", priority.name(), scheduler.longest_wait_us(priority))?;
        }
        for work in [Work::Accept, Work::Read, Work::Request, Work::Event] {
            write!(f, " {}_us={:.1}", work.name(), scheduler.costs().cost_us(work))?;
        }
        Ok(())
    }
}
