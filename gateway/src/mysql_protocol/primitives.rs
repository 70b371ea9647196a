//! Basic data types of the protocol: fixed-length and length-encoded integers, and length-encoded and NUL-terminated
//! strings.

use super::PacketError;

/// Writes a length-encoded integer.
pub fn write_lenenc_int(out: &mut Vec<u8>, n: u64) {
    match n {
        0..=250 => out.push(n as u8),
        251..=0xffff => {
            out.push(0xfc);
            out.extend((n as u16).to_le_bytes());
        }
        0x1_0000..=0xff_ffff => {
            out.push(0xfd);
            out.extend(&(n as u32).to_le_bytes()[..3]);
        }
        _ => {
            out.push(0xfe);
            out.extend(n.to_le_bytes());
        }
    }
}

/// Writes a length-encoded string.
pub fn write_lenenc_string(out: &mut Vec<u8>, text: &[u8]) {
    write_lenenc_int(out, text.len() as u64);
    out.extend(text);
}

/// A cursor over a payload, which holds the unread remainder. Each method fails with [`PacketError::Malformed`] if the
/// remainder is too short or has another format.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    /// Reads `n` bytes.
    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], PacketError> {
        let (head, rest) = self.0.split_at_checked(n).ok_or(PacketError::Malformed)?;
        self.0 = rest;
        Ok(head)
    }

    /// Reads a fixed-length integer of `n` bytes, at most 8, in little-endian order.
    pub fn int(&mut self, n: usize) -> Result<u64, PacketError> {
        Ok(self.bytes(n)?.iter().rev().fold(0, |v, b| v << 8 | u64::from(*b)))
    }

    /// Reads a length-encoded integer.
    pub fn lenenc_int(&mut self) -> Result<u64, PacketError> {
        match self.int(1)? {
            0xfc => self.int(2),
            0xfd => self.int(3),
            0xfe => self.int(8),
            n @ 0..=250 => Ok(n),
            _ => Err(PacketError::Malformed),
        }
    }

    /// Reads a length-encoded string.
    pub fn lenenc_string(&mut self) -> Result<&'a [u8], PacketError> {
        let n = self.lenenc_int()?;
        self.bytes(usize::try_from(n).map_err(|_| PacketError::Malformed)?)
    }

    /// Reads a NUL-terminated string. The NUL is not returned.
    pub fn nul_terminated_string(&mut self) -> Result<&'a [u8], PacketError> {
        let n = self.0.iter().position(|b| *b == 0).ok_or(PacketError::Malformed)?;
        let text = self.bytes(n)?;
        self.bytes(1)?;
        Ok(text)
    }
}

#[cfg(test)]
mod tests;
