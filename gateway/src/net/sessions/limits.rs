//! How many descriptors and how much memory sessions may have, and what the read scheduler keeps to.

use wrenhatch_sessions::read_scheduler::ReadLimits;

use crate::config::Config;
use crate::mysql_protocol::MAX_PACKET_BYTES;
use crate::net::own_descriptors;

/// The part of the memory for messages being read. Each is held up to three times: read, kept for another attempt,
/// being written.
const MESSAGE_MEMORY_DIVISOR: usize = 8;
const LONGEST_MESSAGE_BYTES: std::ops::RangeInclusive<usize> = 8 * 1024..=MAX_PACKET_BYTES;
/// Sessions that are let in beyond the third of the descriptors that clients hold by contract.
const EXTRA_SESSIONS: usize = 16;

/// Sessions that are held at most. What is left of the descriptors is enough for an attempt of each client, with its
/// calls beside.
pub fn max_sessions(config: &Config) -> usize {
    config.clients.max_sessions.unwrap_or(config.max_descriptors / 3 + EXTRA_SESSIONS)
}

/// Connections that engines may have. Two processes of one gateway share its descriptors: clients are at one or the
/// other, and of what is left each has half.
pub fn max_engine_connections(config: &Config, is_alone: bool) -> usize {
    let own = own_descriptors(config);
    let left = config.max_descriptors.saturating_sub(max_sessions(config) + own);
    if is_alone { left } else { left.saturating_sub(own) / 2 }
}

/// The longest message taken from a client, in bytes.
pub fn longest_message_bytes(config: &Config) -> usize {
    let part = config.memory_bytes / MESSAGE_MEMORY_DIVISOR / max_sessions(config).max(1);
    part.clamp(*LONGEST_MESSAGE_BYTES.start(), *LONGEST_MESSAGE_BYTES.end())
}

/// The read scheduler's limits. `deadlines` are those of the classes that new requests may have, in seconds.
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
