//! Packet framing: a payload length of three bytes, a sequence id of one byte, and the payload.

/// Maximum payload length accepted from clients and engines.
pub const MAX_PACKET_BYTES: usize = 128 * 1024;
const HEADER_BYTES: usize = 4;

/// First byte in the payload of an OK packet or COM_STMT_PREPARE_OK.
pub const OK_HEADER: u8 = 0x00;
/// First byte in the payload of an EOF packet, an OK packet that ends a result set, or an AuthSwitchRequest.
pub const EOF_HEADER: u8 = 0xfe;
/// First byte in the payload of an ERR packet.
pub const ERR_HEADER: u8 = 0xff;

/// Error in a received packet. The MySQL front end sends its text to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The payload exceeds [`MAX_PACKET_BYTES`], or a result from an engine exceeds its memory limit.
    #[error("the packet is too long")]
    TooLong,
    /// The payload does not have the format of the expected packet.
    #[error("the packet is malformed")]
    Malformed,
}

/// Removes one packet from `input` and returns its sequence id and payload. Returns `None` while it is incomplete.
///
/// # Errors
/// The payload exceeds [`MAX_PACKET_BYTES`].
pub fn read_packet(input: &mut Vec<u8>) -> Result<Option<(u8, Vec<u8>)>, PacketError> {
    let [a, b, c, sequence, ..] = input[..] else { return Ok(None) };
    let length = usize::from(a) | usize::from(b) << 8 | usize::from(c) << 16;
    if length > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong);
    }
    let end = HEADER_BYTES + length;
    if input.len() < end {
        return Ok(None);
    }
    let payload = input[HEADER_BYTES..end].to_vec();
    input.drain(..end);
    Ok(Some((sequence, payload)))
}

/// Writes a packet and increments the sequence id, which wraps after 255. The payload must be shorter than 16 MiB - 1
/// bytes, as it is not split into several packets.
pub fn write_packet(out: &mut Vec<u8>, sequence: &mut u8, payload: &[u8]) {
    out.extend(&(payload.len() as u32).to_le_bytes()[..3]);
    out.push(*sequence);
    *sequence = sequence.wrapping_add(1);
    out.extend(payload);
}

#[cfg(test)]
mod tests;
