//! Limits derived from the configuration: sessions, engine connections, message size, and the read scheduler's limits.

use wrenhatch_sessions::read_scheduler::ReadLimits;

use crate::config::Config;
use crate::mysql_protocol::MAX_PACKET_BYTES;
use crate::net::own_descriptors;

/// Process memory divided by the memory for messages being read. A message may be in memory three times: in the input
/// buffer, stored for a retry, and in an output buffer.
const MESSAGE_MEMORY_DIVISOR: usize = 8;
/// Bounds of the longest accepted message in bytes, regardless of the process memory.
const LONGEST_MESSAGE_BYTES: std::ops::RangeInclusive<usize> = 8 * 1024..=MAX_PACKET_BYTES;
/// Number of sessions accepted in addition to a third of the descriptors, which is guaranteed to clients.
const EXTRA_SESSIONS: usize = 16;

/// Maximum number of sessions. By default the remaining descriptors suffice for one attempt of each client and the
/// additional calls of that attempt.
pub fn max_sessions(config: &Config) -> usize {
    config.clients.max_sessions.unwrap_or(config.max_descriptors / 3 + EXTRA_SESSIONS)
}

/// Maximum number of connections to engines. Two processes of one gateway share its descriptors. The limit on sessions
/// applies to both together, as each client is connected to one of them. Each process may use half of the remaining
/// descriptors.
pub fn max_engine_connections(config: &Config, is_alone: bool) -> usize {
    let own = own_descriptors(config);
    let remaining = config.max_descriptors.saturating_sub(max_sessions(config) + own);
    if is_alone { remaining } else { remaining.saturating_sub(own) / 2 }
}

/// Length of the longest message accepted from a client, in bytes.
pub fn longest_message_bytes(config: &Config) -> usize {
    let part = config.memory_bytes / MESSAGE_MEMORY_DIVISOR / max_sessions(config).max(1);
    part.clamp(*LONGEST_MESSAGE_BYTES.start(), *LONGEST_MESSAGE_BYTES.end())
}

/// The limits of the read scheduler. `deadlines` are in seconds, one for each class that new requests may have.
pub fn read_limits(config: &Config, deadlines: impl Iterator<Item = f64>) -> ReadLimits {
    let max_retry_after_ms = (config.settings.capabilities.max_retry_after * 1e3) as u64;
    let shortest_deadline_seconds = deadlines.fold(f64::INFINITY, f64::min);
    ReadLimits {
        turn_us: config.clients.turn_us,
        messages_per_turn: config.clients.messages_per_turn,
        bytes_per_turn: config.clients.bytes_per_turn,
        min_retry_after_ms: ReadLimits::default().min_retry_after_ms.min(max_retry_after_ms),
        max_retry_after_ms,
        shortest_deadline_us: (shortest_deadline_seconds.min(1e6) * 1e6) as u64,
    }
}
