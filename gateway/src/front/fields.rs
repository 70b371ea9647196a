//! The fields of a request, held by the comment before its statement, and the group of tables.

use std::borrow::Cow;

use workload_manager::KeyId;

/// Fields as the client worded them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    /// Class name.
    pub class: String,
    /// The client's id.
    pub id: Option<String>,
    /// Milliseconds that the client waits.
    pub wait_ms: Option<u64>,
    /// Tenant name.
    pub tenant: Option<String>,
    /// Estimated work, ms on one core.
    pub estimate_ms: Option<f64>,
    /// Estimated memory, MB.
    pub need_mb: Option<f64>,
    /// The client's token, by which engines know a repeat of the same work.
    pub token: Option<String>,
    /// The key by which requests of a class that keeps order take turns.
    pub order_key: Option<String>,
    /// The client repeats an earlier request of its own.
    pub retry: bool,
}

/// Why fields can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// The statement has no comment before it.
    #[error("no comment with the fields stands before the statement")]
    NoComment,
    /// A part of the comment is not `name=value`, or a name comes twice.
    #[error("the comment is not a list of name=value, each name once")]
    Malformed,
    /// The class is missing.
    #[error("the class (c) is missing")]
    NoClass,
    /// The id is not 16 hex digits.
    #[error("the id (i) must be 16 hex digits")]
    BadId,
    /// The wait is not a positive number of milliseconds.
    #[error("the wait (d) must be a positive whole number of milliseconds, a day at most")]
    BadWait,
    /// An estimate is not a number.
    #[error("an estimate (h, mem) must be a number, 0 or more, and no more than any engine has")]
    BadEstimate,
    /// A token that no header can carry.
    #[error("the token (k) must be 1 to 128 printable characters without blanks")]
    BadToken,
    /// An order key that can't be one.
    #[error("the order key (o) must be 1 to 128 printable characters without blanks")]
    BadOrderKey,
    /// A retry mark of another value.
    #[error("the mark of a retry (r) must be 1, or be left out")]
    BadRetry,
    /// No statement follows.
    #[error("no statement follows the comment")]
    NoStatement,
}

/// No client waits for longer than a day.
const LONGEST_WAIT_MS: f64 = 86_400_000.0;
/// Milliseconds on one core, or MB: more than a machine does in a month, or has.
const MOST_ESTIMATED: f64 = 1e9;

/// Bytes of a token or an order key at most.
const LONGEST_TOKEN: usize = 128;

/// Splits a text into its fields and the statement behind them.
pub fn split(text: &[u8]) -> Result<(Fields, &[u8]), FieldError> {
    let text = text.trim_ascii_start();
    let rest = text.strip_prefix(b"/*").ok_or(FieldError::NoComment)?;
    let end = rest.windows(2).position(|w| w == b"*/").ok_or(FieldError::NoComment)?;
    let statement = rest[end + 2..].trim_ascii_start();
    if statement.is_empty() {
        return Err(FieldError::NoStatement);
    }
    let comment = std::str::from_utf8(&rest[..end]).map_err(|_| FieldError::Malformed)?;
    let mut fields = Fields::default();
    let mut seen = Vec::new();
    for part in comment.split(',') {
        let (name, value) = part.trim().split_once('=').ok_or(FieldError::Malformed)?;
        if seen.contains(&name) {
            return Err(FieldError::Malformed);
        }
        seen.push(name);
        match name {
            "c" => fields.class = value.to_owned(),
            "i" => fields.id = Some(id(value)?),
            "d" => fields.wait_ms = Some(wait(value)?),
            "t" => fields.tenant = Some(value.to_owned()),
            "h" => fields.estimate_ms = Some(estimate(value)?),
            "mem" => fields.need_mb = Some(estimate(value)?),
            "k" => fields.token = Some(token(value)?),
            "o" => fields.order_key = Some(order_key(value)?),
            "r" => fields.retry = retry(value)?,
            _ => {} // Fields of later versions.
        }
    }
    if fields.class.is_empty() {
        return Err(FieldError::NoClass);
    }
    Ok((fields, statement))
}

/// A client's id.
pub fn id(value: &str) -> Result<String, FieldError> {
    let good = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
    good.then(|| value.to_owned()).ok_or(FieldError::BadId)
}

/// A wait in milliseconds; a fraction is cut off.
pub fn wait(value: &str) -> Result<u64, FieldError> {
    let digits = value.split_once('.').map_or(value, |(whole, _)| whole);
    match digits.parse::<u64>() {
        Ok(ms) if ms > 0 && value.parse::<f64>().is_ok_and(|f| f <= LONGEST_WAIT_MS) => Ok(ms),
        _ => Err(FieldError::BadWait),
    }
}

/// A client's token. It goes into a header as it is, so nothing may end that.
pub fn token(value: &str) -> Result<String, FieldError> {
    is_printable(value).then(|| value.to_owned()).ok_or(FieldError::BadToken)
}

/// An order key. Its form is the client's own; only its length is bounded.
pub fn order_key(value: &str) -> Result<String, FieldError> {
    is_printable(value).then(|| value.to_owned()).ok_or(FieldError::BadOrderKey)
}

/// The mark of a client's retry, which is 1 or absent.
pub fn retry(value: &str) -> Result<bool, FieldError> {
    if value == "1" { Ok(true) } else { Err(FieldError::BadRetry) }
}

/// The number of an order key: FNV-1a over its bytes, so that two processes of one gateway agree on it. Keys
/// that happen to share a number take turns with each other, which is safe.
pub fn key_id(order_key: &str) -> KeyId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    KeyId(order_key.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME)))
}

fn is_printable(value: &str) -> bool {
    (1..=LONGEST_TOKEN).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic())
}

fn estimate(value: &str) -> Result<f64, FieldError> {
    value.parse::<f64>().ok().filter(|v| (0.0..=MOST_ESTIMATED).contains(v)).ok_or(FieldError::BadEstimate)
}

#[derive(Debug, PartialEq)]
enum Token<'a> {
    Word(Cow<'a, str>),
    Dot,
    Other,
}

/// The group of tables: the number behind the underscore in the schema that the statement names, as in
/// `sales_17.orders`. A schema counts where a table is named (after FROM, JOIN, INTO, UPDATE or TABLE, or
/// after a comma of such a list); an alias such as `a_3.day` elsewhere is none, nor is `staging`, nor what
/// stands in strings and comments.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens = tokens(statement);
    let word = |i: usize| match tokens.get(i) {
        Some(Token::Word(w)) => Some(w.as_ref()),
        _ => None,
    };
    for i in 0..tokens.len() {
        let names_table = word(i).is_some_and(|w| {
            ["from", "join", "into", "update", "table"].iter().any(|k| w.eq_ignore_ascii_case(k))
        });
        if !names_table {
            continue;
        }
        let mut at = i + 1;
        if word(at).is_some_and(|w| w.eq_ignore_ascii_case("only") || w.eq_ignore_ascii_case("table")) {
            at += 1;
        }
        let mut parts = Vec::new();
        while let Some(w) = word(at) {
            parts.push(w);
            if tokens.get(at + 1) != Some(&Token::Dot) {
                break;
            }
            at += 2;
        }
        if let [.., schema, _] = parts.as_slice() {
            if let Some(group) = group_of_schema(schema) {
                return Some(group);
            }
        }
    }
    None
}

fn group_of_schema(schema: &str) -> Option<u64> {
    let (name, number) = schema.rsplit_once('_')?;
    if name.eq_ignore_ascii_case("staging") || !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    number.parse().ok()
}

/// Words and dots outside strings and comments.
fn tokens(s: &[u8]) -> Vec<Token<'_>> {
    let mut tokens = Vec::new();
    let mut i = 0;
    let find = |from: usize, what: &[u8]| {
        s.get(from..).and_then(|r| r.windows(what.len()).position(|w| w == what)).map(|p| from + p)
    };
    let is_word = |b: u8| b.is_ascii_alphanumeric() || b == b'_' || b >= 0x80;
    while i < s.len() {
        match s[i] {
            b'-' if s.get(i + 1) == Some(&b'-') => i = find(i, b"\n").unwrap_or(s.len()),
            b'/' if s.get(i + 1) == Some(&b'*') => {
                // Comments nest.
                let (mut depth, mut j) = (1, i + 2);
                while depth > 0 && j < s.len() {
                    match s.get(j..j + 2) {
                        Some(b"/*") => (depth, j) = (depth + 1, j + 2),
                        Some(b"*/") => (depth, j) = (depth - 1, j + 2),
                        _ => j += 1,
                    }
                }
                i = j;
            }
            b'\'' => {
                // Backslashes escape in E'..' only.
                let escapes = i > 0 && matches!(s[i - 1], b'e' | b'E') && (i < 2 || !is_word(s[i - 2]));
                let mut j = i + 1;
                while j < s.len() {
                    if escapes && s[j] == b'\\' {
                        j += 1;
                    } else if s[j] == b'\'' {
                        if s.get(j + 1) != Some(&b'\'') {
                            break;
                        }
                        j += 1;
                    }
                    j += 1;
                }
                i = j + 1;
                tokens.push(Token::Other);
            }
            quote @ (b'"' | b'`') => {
                let end = find(i + 1, &[quote]).unwrap_or(s.len());
                tokens.push(Token::Word(String::from_utf8_lossy(&s[i + 1..end])));
                i = end + 1;
            }
            b'$' => {
                // A dollar quote, $tag$..$tag$; else a parameter.
                let tag = s[i + 1..].iter().position(|b| !is_word(*b)).map(|n| i + 1 + n);
                match tag.filter(|end| s[*end] == b'$' && !s[i + 1].is_ascii_digit()) {
                    Some(end) => {
                        let mark = &s[i..=end];
                        i = find(end + 1, mark).map_or(s.len(), |at| at + mark.len());
                    }
                    None => i += 1,
                }
                tokens.push(Token::Other);
            }
            b'.' => {
                tokens.push(Token::Dot);
                i += 1;
            }
            b if is_word(b) => {
                let end = s[i..].iter().position(|b| !is_word(*b)).map_or(s.len(), |n| i + n);
                tokens.push(Token::Word(String::from_utf8_lossy(&s[i..end])));
                i = end;
            }
            b if b.is_ascii_whitespace() => i += 1,
            _ => {
                tokens.push(Token::Other);
                i += 1;
            }
        }
    }
    tokens
}

#[cfg(test)]
mod tests;
