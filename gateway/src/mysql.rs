//! What both sides of the MySQL wire protocol share: packets, numbers, parameters, results, passwords.

use sha1::{Digest, Sha1};

/// The longest packet taken from either side.
pub const MAX_PACKET: usize = 128 * 1024;

/// Capability flags.
pub mod caps {
    /// The basics of protocol 4.1.
    pub const BASE: u32 = 0x1 | 0x4 | 0x200 | 0x2000 | 0x8000;
    /// A schema may be named at the start.
    pub const CONNECT_WITH_DB: u32 = 0x8;
    /// Protocol 4.1.
    pub const PROTOCOL_41: u32 = 0x200;
    /// Methods of authentication have names.
    pub const PLUGIN_AUTH: u32 = 0x8_0000;
    /// The answer to the scramble has a length of any size.
    pub const LENENC_AUTH: u32 = 0x20_0000;
    /// Results end with OK instead of EOF.
    pub const DEPRECATE_EOF: u32 = 0x100_0000;
    /// Queries may carry attributes.
    pub const QUERY_ATTRIBUTES: u32 = 0x800_0000;
}

/// The one method of authentication that is spoken here.
pub const NATIVE_PASSWORD: &str = "mysql_native_password";
/// Status flag: each statement commits by itself.
pub const AUTOCOMMIT: u16 = 2;
/// Error: no such prepared statement.
pub const UNKNOWN_STATEMENT: u16 = 1243;

/// Bytes that are no packet of this protocol, or one that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// Longer than [`MAX_PACKET`].
    #[error("the packet is too long")]
    TooLong,
    /// It does not hold what its kind demands.
    #[error("the packet is malformed")]
    Malformed,
}

/// Takes one packet out of `input`: its sequence number and payload.
pub fn packet(input: &mut Vec<u8>) -> Result<Option<(u8, Vec<u8>)>, PacketError> {
    let [a, b, c, sequence, ..] = input[..] else { return Ok(None) };
    let length = usize::from(a) | usize::from(b) << 8 | usize::from(c) << 16;
    if length > MAX_PACKET {
        return Err(PacketError::TooLong);
    }
    if input.len() < length + 4 {
        return Ok(None);
    }
    let payload = input[4..length + 4].to_vec();
    input.drain(..length + 4);
    Ok(Some((sequence, payload)))
}

/// Writes a packet and moves the sequence number on.
pub fn put_packet(out: &mut Vec<u8>, sequence: &mut u8, payload: &[u8]) {
    out.extend(&(payload.len() as u32).to_le_bytes()[..3]);
    out.push(*sequence);
    *sequence = sequence.wrapping_add(1);
    out.extend(payload);
}

/// Writes a number of variable length.
pub fn put_lenenc(out: &mut Vec<u8>, n: u64) {
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

/// Writes a text of variable length.
pub fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    put_lenenc(out, text.len() as u64);
    out.extend(text);
}

/// Reads a payload from its front.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    /// The next `n` bytes.
    pub fn take(&mut self, n: usize) -> Result<&'a [u8], PacketError> {
        let (head, rest) = self.0.split_at_checked(n).ok_or(PacketError::Malformed)?;
        self.0 = rest;
        Ok(head)
    }

    /// The next `n` bytes as a number, least byte first.
    pub fn int(&mut self, n: usize) -> Result<u64, PacketError> {
        Ok(self.take(n)?.iter().rev().fold(0, |v, b| v << 8 | u64::from(*b)))
    }

    /// A number of variable length.
    pub fn lenenc(&mut self) -> Result<u64, PacketError> {
        match self.int(1)? {
            0xfc => self.int(2),
            0xfd => self.int(3),
            0xfe => self.int(8),
            n @ 0..=250 => Ok(n),
            _ => Err(PacketError::Malformed),
        }
    }

    /// A text of variable length.
    pub fn text(&mut self) -> Result<&'a [u8], PacketError> {
        let n = self.lenenc()?;
        self.take(usize::try_from(n).map_err(|_| PacketError::Malformed)?)
    }

    /// A text up to a zero byte.
    pub fn zero_ended(&mut self) -> Result<&'a [u8], PacketError> {
        let n = self.0.iter().position(|b| *b == 0).ok_or(PacketError::Malformed)?;
        let text = self.take(n)?;
        self.take(1)?;
        Ok(text)
    }
}

/// The answer to a scramble for `mysql_native_password`; empty for an empty password.
pub fn native_password(password: &[u8], scramble: &[u8]) -> Vec<u8> {
    if password.is_empty() {
        return Vec::new();
    }
    let stage1 = Sha1::digest(password);
    let mix = Sha1::new().chain_update(scramble).chain_update(Sha1::digest(stage1)).finalize();
    stage1.iter().zip(mix).map(|(a, b)| a ^ b).collect()
}

/// One parameter: its type with the unsigned flag, its name (attributes have one), and its value as it
/// stands on the wire; `None` is NULL.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Param {
    /// Type, with 0x8000 for unsigned.
    pub kind: u16,
    /// Name; empty for those of the statement.
    pub name: Vec<u8>,
    /// Value, encoded.
    pub value: Option<Vec<u8>>,
}

impl Param {
    /// A text attribute.
    pub fn text(name: &str, value: &str) -> Self {
        let mut encoded = Vec::new();
        put_text(&mut encoded, value.as_bytes());
        Self { kind: 0xfd, name: name.as_bytes().to_vec(), value: Some(encoded) }
    }

    /// Its value as text, for attributes: texts as they are, whole numbers in digits.
    pub fn as_text(&self) -> Option<String> {
        let value = self.value.as_ref()?;
        let mut r = Reader(value);
        let unsigned = self.kind & 0x8000 != 0;
        Some(match (self.kind & 0xff, value.len()) {
            (0x01..=0x03 | 0x08 | 0x09 | 0x0d, n @ 1..=8) => {
                let raw = r.int(n).ok()?;
                let spare = 64 - 8 * n as u32;
                if unsigned { raw.to_string() } else { (((raw << spare) as i64) >> spare).to_string() }
            }
            (0x05, 8) => f64::from_bits(r.int(8).ok()?).to_string(),
            (0x0f | 0xf5..=0xfe, _) => String::from_utf8(r.text().ok()?.to_vec()).ok()?,
            _ => return None,
        })
    }
}

fn value_bytes<'a>(r: &mut Reader<'a>, kind: u16) -> Result<&'a [u8], PacketError> {
    let whole = r.0;
    match kind & 0xff {
        0x01 => r.take(1)?,
        0x02 | 0x0d => r.take(2)?,
        0x03 | 0x04 | 0x09 => r.take(4)?,
        0x05 | 0x08 => r.take(8)?,
        0x06 => &[],
        0x07 | 0x0a..=0x0c => {
            let n = r.int(1)?;
            r.take(n as usize)?
        }
        0x00 | 0x0f | 0x10 | 0xf5..=0xff => r.text()?,
        _ => return Err(PacketError::Malformed),
    };
    Ok(&whole[..whole.len() - r.0.len()])
}

/// Types and names of parameters, as a client binds them.
pub type Binding = Vec<(u16, Vec<u8>)>;

/// Reads `count` parameters with their null bitmap. Types come along or are those bound before.
pub fn params(
    r: &mut Reader<'_>,
    count: usize,
    named: bool,
    bound: &mut Binding,
) -> Result<Vec<Param>, PacketError> {
    if count == 0 {
        return Ok(Vec::new());
    }
    // Each parameter takes a bit at least: a count beyond that is a lie about what follows.
    if count > r.0.len() * 8 {
        return Err(PacketError::Malformed);
    }
    let nulls = r.take(count.div_ceil(8))?;
    if r.int(1)? == 1 {
        bound.clear();
        for _ in 0..count {
            let kind = r.int(2)? as u16;
            bound.push((kind, if named { r.text()?.to_vec() } else { Vec::new() }));
        }
    }
    if bound.len() != count {
        return Err(PacketError::Malformed);
    }
    let mut params = Vec::with_capacity(count);
    for (i, (kind, name)) in bound.iter().enumerate() {
        let null = nulls[i / 8] >> (i % 8) & 1 == 1;
        let value = if null { None } else { Some(value_bytes(r, *kind)?.to_vec()) };
        params.push(Param { kind: *kind, name: name.clone(), value });
    }
    Ok(params)
}

/// Writes parameters as [`params`] reads them.
pub fn put_params(out: &mut Vec<u8>, params: &[Param], named: bool) {
    if params.is_empty() {
        return;
    }
    let mut nulls = vec![0; params.len().div_ceil(8)];
    for (i, p) in params.iter().enumerate() {
        nulls[i / 8] |= u8::from(p.value.is_none()) << (i % 8);
    }
    out.extend(nulls);
    out.push(1);
    for p in params {
        out.extend(p.kind.to_le_bytes());
        if named {
            put_text(out, &p.name);
        }
    }
    out.extend(params.iter().filter_map(|p| p.value.as_ref()).flatten());
}

/// An ERR packet's content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    /// Number.
    pub code: u16,
    /// SQLSTATE.
    pub state: String,
    /// Text.
    pub message: String,
}

impl SqlError {
    /// An error.
    pub fn new(code: u16, state: &str, message: impl Into<String>) -> Self {
        Self { code, state: state.to_owned(), message: message.into() }
    }

    /// Reads an ERR payload.
    pub fn read(payload: &[u8]) -> Result<Self, PacketError> {
        let mut r = Reader(payload);
        r.take(1)?;
        let code = r.int(2)? as u16;
        let mut state = "HY000".to_owned();
        if r.0.first() == Some(&b'#') {
            r.take(1)?;
            state = String::from_utf8_lossy(r.take(5)?).into_owned();
        }
        Ok(Self { code, state, message: String::from_utf8_lossy(r.0).into_owned() })
    }

    /// Its payload.
    pub fn payload(&self) -> Vec<u8> {
        let mut p = vec![0xff];
        p.extend(self.code.to_le_bytes());
        p.push(b'#');
        p.extend(self.state.as_bytes());
        p.extend(self.message.as_bytes());
        p
    }

    /// Whether the statement itself is at fault, so that no engine will ever do better: its syntax, its
    /// names, its data or its keys.
    pub fn blames_statement(&self) -> bool {
        ["21", "22", "23", "42"].iter().any(|class| self.state.starts_with(class))
    }
}

/// What an engine answered, packets as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultSet {
    /// Done, no rows: rows affected and last insert id.
    Done {
        /// Rows affected.
        affected: u64,
        /// Last id given.
        insert_id: u64,
    },
    /// Rows: column definitions and rows, in text or binary as asked for.
    Rows {
        /// Column definitions.
        columns: Vec<Vec<u8>>,
        /// Rows.
        rows: Vec<Vec<u8>>,
    },
    /// The statement is at fault.
    Wrong(SqlError),
}

/// An OK payload; its first byte is 0xfe at the end of rows.
pub fn ok_payload(first: u8, affected: u64, insert_id: u64) -> Vec<u8> {
    let mut p = vec![first];
    put_lenenc(&mut p, affected);
    put_lenenc(&mut p, insert_id);
    p.extend(AUTOCOMMIT.to_le_bytes());
    p.extend([0, 0]);
    p
}

/// The number of `?` in a statement that stand for parameters: not in strings, names or comments.
pub fn placeholders(sql: &[u8]) -> usize {
    let (mut count, mut i) = (0, 0);
    let skip = |from: usize, end: &[u8]| {
        let found = sql.get(from..).and_then(|s| s.windows(end.len()).position(|w| w == end));
        found.map_or(sql.len(), |p| from + p + end.len())
    };
    while i < sql.len() {
        match sql[i] {
            b'?' => count += 1,
            b'#' => i = skip(i, b"\n") - 1,
            b'-' if sql[i..].starts_with(b"--") && sql.get(i + 2).is_none_or(u8::is_ascii_whitespace) => {
                i = skip(i, b"\n") - 1;
            }
            b'/' if sql[i..].starts_with(b"/*") => i = skip(i + 2, b"*/") - 1,
            quote @ (b'\'' | b'"' | b'`') => {
                i += 1;
                while i < sql.len() && sql[i] != quote {
                    i += if sql[i] == b'\\' && quote != b'`' { 2 } else { 1 };
                }
            }
            _ => {}
        }
        i += 1;
    }
    count
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    quickcheck! {
        fn numbers_come_back(n: u64) -> bool {
            let mut out = Vec::new();
            put_lenenc(&mut out, n);
            Reader(&out).lenenc() == Ok(n)
        }

        fn params_come_back(values: Vec<Option<Vec<u8>>>, named: bool) -> bool {
            let param = |v: &Option<Vec<u8>>| {
                let encode = |text: &Vec<u8>| { let mut e = Vec::new(); put_text(&mut e, text); e };
                Param { kind: 0xfd, name: if named { b"n".to_vec() } else { Vec::new() }, value: v.as_ref().map(encode) }
            };
            let sent: Vec<Param> = values.iter().map(param).collect();
            let mut out = Vec::new();
            put_params(&mut out, &sent, named);
            let mut r = Reader(&out);
            params(&mut r, sent.len(), named, &mut Vec::new()) == Ok(sent) && r.0.is_empty()
        }

        fn no_bytes_are_read_past_their_end(bytes: Vec<u8>, count: u8) -> bool {
            let mut r = Reader(&bytes);
            params(&mut r, usize::from(count), true, &mut Vec::new()).is_err() || r.0.len() <= bytes.len()
        }
    }

    #[test]
    fn placeholders_are_counted_outside_strings_names_and_comments() {
        assert_eq!(placeholders(b"SELECT ?, '?', \"?\", `?` /* ? */ -- ?\n, ? # ?"), 2);
        assert_eq!(placeholders(b"SELECT 'it\\'s ?', 'a''?', ?"), 1);
        assert_eq!(placeholders(b"SELECT '?"), 0);
    }

    #[test]
    fn attributes_read_as_text() {
        let number = |kind, value: &[u8]| Param { kind, name: Vec::new(), value: Some(value.to_vec()) };
        assert_eq!(number(0x03, &[0xff; 4]).as_text().as_deref(), Some("-1"));
        assert_eq!(number(0x8003, &[0xff; 4]).as_text().as_deref(), Some("4294967295"));
        assert_eq!(number(0x08, &1500_u64.to_le_bytes()).as_text().as_deref(), Some("1500"));
        assert_eq!(Param::text("d", "250").as_text().as_deref(), Some("250"));
    }

    #[test]
    fn packets_are_taken_whole() {
        let mut out = Vec::new();
        let mut sequence = 3;
        put_packet(&mut out, &mut sequence, b"abc");
        assert_eq!(sequence, 4);
        assert_eq!(packet(&mut out[..6].to_vec()), Ok(None));
        assert_eq!(packet(&mut out), Ok(Some((3, b"abc".to_vec()))));
        assert_eq!(packet(&mut vec![0xff, 0xff, 0xff, 0]), Err(PacketError::TooLong));
    }
}
