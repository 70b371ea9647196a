//! Parses the fields of a request, such as its class and deadline, from the comment before the statement and from MySQL
//! query attributes.

use workload_manager::KeyId;

/// Names of the fields on the wire. MySQL engines receive `ID`, `CLASS`, `WAIT_MS` (the remaining time) and
/// `IDEMPOTENCY_KEY` as query attributes.
pub mod field_name {
    /// 16 hexadecimal digits, chosen by the client.
    pub const ID: &str = "i";
    /// Name of a class in the settings.
    pub const CLASS: &str = "c";
    /// Time for which the client waits, in milliseconds.
    pub const WAIT_MS: &str = "d";
    /// Name of a tenant in the settings.
    pub const TENANT: &str = "t";
    /// Estimated CPU time, in milliseconds on one core.
    pub const ESTIMATE_MS: &str = "h";
    /// Estimated memory, in MB.
    pub const MEMORY_MB: &str = "mem";
    /// 1 to 128 visible ASCII characters, by which engines recognise a repeated request.
    pub const IDEMPOTENCY_KEY: &str = "k";
    /// 1 to 128 visible ASCII characters. In a class ordered by key, requests with the same key run one at a time.
    pub const ORDER_KEY: &str = "o";
    /// `1` if the client retries an earlier request.
    pub const RETRY: &str = "r";
}

/// Fields that belong to a single execution of a prepared statement rather than to the statement.
const PER_EXECUTION_FIELDS: [&str; 5] = [
    field_name::ID,
    field_name::WAIT_MS,
    field_name::IDEMPOTENCY_KEY,
    field_name::ORDER_KEY,
    field_name::RETRY,
];

/// The fields of a request. Optional fields are `None` where the client left them out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFields {
    /// Name of a class, not yet checked against the settings.
    pub class: String,
    /// 16 hexadecimal digits, chosen by the client.
    pub id: Option<String>,
    /// Time for which the client waits, from 1 ms to a day.
    pub wait_ms: Option<u64>,
    /// Name of a tenant, not yet checked against the settings. For a MySQL client, the tenant of its account.
    pub tenant: Option<String>,
    /// Estimated CPU time, in milliseconds on one core.
    pub estimate_ms: Option<f64>,
    /// Estimated memory, in MB.
    pub memory_mb: Option<f64>,
    /// Key by which engines recognise a repeated request.
    pub idempotency_key: Option<String>,
    /// In a class ordered by key, requests with the same key run one at a time, in order of admission.
    pub order_key: Option<String>,
    /// The client retries an earlier request.
    pub is_retry: bool,
}

/// Error in the fields of a request. Its text is sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// No complete comment precedes the statement.
    #[error("no comment with the fields stands before the statement")]
    NoComment,
    /// A part of the comment is not `name=value`, a name is repeated, or the comment is not UTF-8.
    #[error("the comment is not a list of name=value, each name once")]
    Malformed,
    /// `c` is missing or empty.
    #[error("the class (c) is missing")]
    NoClass,
    /// `i` is not 16 hexadecimal digits.
    #[error("the id (i) must be 16 hex digits")]
    BadId,
    /// `d` is not a number of milliseconds, is less than 1, or is longer than a day.
    #[error("the wait (d) must be a positive whole number of milliseconds, a day at most")]
    BadWait,
    /// `h` or `mem` is not a number, or is out of range.
    #[error("an estimate (h, mem) must be a number, 0 or more, and no more than any engine has")]
    BadEstimate,
    /// `k` is empty, too long, or contains characters other than visible ASCII.
    #[error("the token (k) must be 1 to 128 printable characters without blanks")]
    BadIdempotencyKey,
    /// `o` is empty, too long, or contains characters other than visible ASCII.
    #[error("the order key (o) must be 1 to 128 printable characters without blanks")]
    BadOrderKey,
    /// `r` has a value other than 1.
    #[error("the mark of a retry (r) must be 1, or be left out")]
    BadRetry,
    /// The text ends after the comment.
    #[error("no statement follows the comment")]
    NoStatement,
}

/// One day, in milliseconds. No client waits for longer.
const MAX_WAIT_MS: f64 = 86_400_000.0;
/// Upper bound of an estimate, in milliseconds on one core or in MB.
const MAX_ESTIMATE: f64 = 1e9;
/// Maximum length of an idempotency key or an order key.
const MAX_KEY_BYTES: usize = 128;
const ID_DIGITS: usize = 16;

/// Splits a query text into the fields in its leading comment and the statement after the comment.
///
/// # Errors
/// The text has no leading comment, a field is invalid, the class is missing, or no statement follows.
pub fn split(text: &[u8]) -> Result<(RequestFields, &[u8]), FieldError> {
    let text = text.trim_ascii_start();
    let rest = text.strip_prefix(b"/*").ok_or(FieldError::NoComment)?;
    let end = rest.windows(2).position(|w| w == b"*/").ok_or(FieldError::NoComment)?;
    let statement = rest[end + 2..].trim_ascii_start();
    if statement.is_empty() {
        return Err(FieldError::NoStatement);
    }
    let comment = std::str::from_utf8(&rest[..end]).map_err(|_| FieldError::Malformed)?;
    Ok((RequestFields::parse(comment)?, statement))
}

impl RequestFields {
    fn parse(comment: &str) -> Result<Self, FieldError> {
        let mut fields = Self::default();
        let mut seen = Vec::new();
        for part in comment.split(',') {
            let (name, value) = part.trim().split_once('=').ok_or(FieldError::Malformed)?;
            if seen.contains(&name) {
                return Err(FieldError::Malformed);
            }
            seen.push(name);
            fields.set(name, value)?;
        }
        if fields.class.is_empty() { Err(FieldError::NoClass) } else { Ok(fields) }
    }

    /// Sets a field by its name on the wire. Unknown names are ignored for forward compatibility.
    fn set(&mut self, name: &str, value: &str) -> Result<(), FieldError> {
        match name {
            field_name::CLASS => self.class = value.to_owned(),
            field_name::ID => self.id = Some(parse_id(value)?),
            field_name::WAIT_MS => self.wait_ms = Some(parse_wait_ms(value)?),
            field_name::TENANT => self.tenant = Some(value.to_owned()),
            field_name::ESTIMATE_MS => self.estimate_ms = Some(parse_estimate(value)?),
            field_name::MEMORY_MB => self.memory_mb = Some(parse_estimate(value)?),
            // The key is sent as an HTTP field value, so it must contain no CR or LF.
            field_name::IDEMPOTENCY_KEY => {
                self.idempotency_key = Some(parse_key(value).ok_or(FieldError::BadIdempotencyKey)?);
            }
            field_name::ORDER_KEY => {
                self.order_key = Some(parse_key(value).ok_or(FieldError::BadOrderKey)?);
            }
            field_name::RETRY => self.is_retry = parse_retry(value)?,
            _ => {}
        }
        Ok(())
    }

    /// Sets a per-execution field by its name on the wire. Other names are ignored, as an execution can't override the
    /// fields of its statement.
    ///
    /// # Errors
    /// The value is invalid.
    pub fn set_per_execution(&mut self, name: &[u8], value: &str) -> Result<(), FieldError> {
        match PER_EXECUTION_FIELDS.iter().find(|field| field.as_bytes() == name) {
            Some(field) => self.set(field, value),
            None => Ok(()),
        }
    }

    /// Resets all per-execution fields.
    pub fn clear_per_execution(&mut self) {
        (self.id, self.wait_ms, self.idempotency_key) = (None, None, None);
        (self.order_key, self.is_retry) = (None, false);
    }
}

fn parse_id(value: &str) -> Result<String, FieldError> {
    let is_valid = value.len() == ID_DIGITS && value.bytes().all(|b| b.is_ascii_hexdigit());
    is_valid.then(|| value.to_owned()).ok_or(FieldError::BadId)
}

/// Parses a number of milliseconds and truncates its fraction.
fn parse_wait_ms(value: &str) -> Result<u64, FieldError> {
    let digits = value.split_once('.').map_or(value, |(integer, _)| integer);
    match digits.parse::<u64>() {
        Ok(ms) if ms > 0 && value.parse::<f64>().is_ok_and(|f| f <= MAX_WAIT_MS) => Ok(ms),
        _ => Err(FieldError::BadWait),
    }
}

/// Parses an idempotency key or an order key, which is opaque to the gateway.
fn parse_key(value: &str) -> Option<String> {
    let is_valid = (1..=MAX_KEY_BYTES).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic());
    is_valid.then(|| value.to_owned())
}

fn parse_retry(value: &str) -> Result<bool, FieldError> {
    if value == "1" { Ok(true) } else { Err(FieldError::BadRetry) }
}

fn parse_estimate(value: &str) -> Result<f64, FieldError> {
    value.parse::<f64>().ok().filter(|v| (0.0..=MAX_ESTIMATE).contains(v)).ok_or(FieldError::BadEstimate)
}

/// Hashes an order key with FNV-1a, so that all processes of a gateway compute the same id. Requests of keys whose
/// hashes collide run one at a time, which is safe.
pub fn key_id(order_key: &str) -> KeyId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    KeyId(order_key.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME)))
}

#[cfg(test)]
mod tests;
