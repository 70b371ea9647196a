//! Packets: a header of three bytes of length and one of sequence number, and a payload.

/// The longest packet taken from either side, in bytes.
pub const MAX_PACKET_BYTES: usize = 128 * 1024;
const HEADER_BYTES: usize = 4;

/// First byte of an OK packet's payload.
pub const OK_HEADER: u8 = 0x00;
/// First byte of the payload of an EOF packet, of an OK packet that ends a result set, and of an AuthSwitchRequest.
pub const EOF_HEADER: u8 = 0xfe;
/// First byte of an ERR packet's payload.
pub const ERR_HEADER: u8 = 0xff;

/// Bytes that are no packet of this protocol, or one that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// Longer than [`MAX_PACKET_BYTES`].
    #[error("the packet is too long")]
    TooLong,
    /// It does not hold what its kind demands.
    #[error("the packet is malformed")]
    Malformed,
}

/// Takes one packet out of `input`: its sequence number and payload. `None` while it is not complete.
///
/// # Errors
/// It is longer than [`MAX_PACKET_BYTES`].
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

/// Writes a packet and increments the sequence number.
pub fn write_packet(out: &mut Vec<u8>, sequence: &mut u8, payload: &[u8]) {
    out.extend(&(payload.len() as u32).to_le_bytes()[..3]);
    out.push(*sequence);
    *sequence = sequence.wrapping_add(1);
    out.extend(payload);
}

#[cfg(test)]
mod tests;
