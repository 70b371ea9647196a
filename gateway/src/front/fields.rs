//! The fields of a request: their names on the wire, as a comment before the statement and MySQL query attributes have
//! them, are mapped here to what they mean.

use workload_manager::KeyId;

/// Names of the fields on the wire. MySQL engines get the first three and the idempotency key as query attributes.
pub mod field_name {
    /// The client's id of the request.
    pub const ID: &str = "i";
    /// Class.
    pub const CLASS: &str = "c";
    /// Milliseconds that the client waits.
    pub const WAIT_MS: &str = "d";
    /// Tenant.
    pub const TENANT: &str = "t";
    /// Estimated work, in milliseconds on one core.
    pub const ESTIMATE_MS: &str = "h";
    /// Estimated memory, in MB.
    pub const MEMORY_MB: &str = "mem";
    /// Idempotency key.
    pub const IDEMPOTENCY_KEY: &str = "k";
    /// Order key.
    pub const ORDER_KEY: &str = "o";
    /// Mark of a client's retry.
    pub const RETRY: &str = "r";
}

/// Fields that belong to one execution of a prepared statement, and not to the statement.
const PER_EXECUTION: [&str; 5] = [
    field_name::ID,
    field_name::WAIT_MS,
    field_name::IDEMPOTENCY_KEY,
    field_name::ORDER_KEY,
    field_name::RETRY,
];

/// The fields of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFields {
    /// Class name.
    pub class: String,
    /// The client's id.
    pub id: Option<String>,
    /// Milliseconds that the client waits.
    pub wait_ms: Option<u64>,
    /// Tenant name.
    pub tenant: Option<String>,
    /// Estimated work, in milliseconds on one core.
    pub estimate_ms: Option<f64>,
    /// Estimated memory, in MB.
    pub memory_mb: Option<f64>,
    /// The client's idempotency key, by which engines know a repeat of the same work.
    pub idempotency_key: Option<String>,
    /// The order key: requests of one key run one at a time, in order.
    pub order_key: Option<String>,
    /// The client repeats an earlier request.
    pub is_retry: bool,
}

/// Why fields can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// The statement has no comment before it.
    #[error("no comment with the fields stands before the statement")]
    NoComment,
    /// A part of the comment is not `name=value`, or a name stands twice.
    #[error("the comment is not a list of name=value, each name once")]
    Malformed,
    /// The class is missing.
    #[error("the class (c) is missing")]
    NoClass,
    /// The id is not 16 hex digits.
    #[error("the id (i) must be 16 hex digits")]
    BadId,
    /// The wait is not a positive number of milliseconds, or longer than a day.
    #[error("the wait (d) must be a positive whole number of milliseconds, a day at most")]
    BadWait,
    /// An estimate is not a number, or out of range.
    #[error("an estimate (h, mem) must be a number, 0 or more, and no more than any engine has")]
    BadEstimate,
    /// An idempotency key that no header can carry.
    #[error("the token (k) must be 1 to 128 printable characters without blanks")]
    BadIdempotencyKey,
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

/// No client waits for longer than a day, in milliseconds.
const MAX_WAIT_MS: f64 = 86_400_000.0;
/// Milliseconds on one core, or MB: more than a machine does in a month, or has.
const MAX_ESTIMATE: f64 = 1e9;
/// Length of an idempotency key or an order key.
const MAX_KEY_BYTES: usize = 128;
const ID_DIGITS: usize = 16;

/// Splits a text into its fields and the statement behind them.
///
/// # Errors
/// The text has no comment with fields, one of them can't be used, or no statement follows.
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

    /// Sets a field by its name on the wire. Unknown names are ignored, as later versions may have them.
    fn set(&mut self, name: &str, value: &str) -> Result<(), FieldError> {
        match name {
            field_name::CLASS => self.class = value.to_owned(),
            field_name::ID => self.id = Some(parse_id(value)?),
            field_name::WAIT_MS => self.wait_ms = Some(parse_wait_ms(value)?),
            field_name::TENANT => self.tenant = Some(value.to_owned()),
            field_name::ESTIMATE_MS => self.estimate_ms = Some(parse_estimate(value)?),
            field_name::MEMORY_MB => self.memory_mb = Some(parse_estimate(value)?),
            // It goes into a header as it is, so nothing may end that.
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

    /// Sets a field of one execution by its name on the wire. Fields of the statement can't be changed, and are
    /// ignored.
    ///
    /// # Errors
    /// The value can't be used.
    pub fn set_per_execution(&mut self, name: &[u8], value: &str) -> Result<(), FieldError> {
        match PER_EXECUTION.iter().find(|field| field.as_bytes() == name) {
            Some(field) => self.set(field, value),
            None => Ok(()),
        }
    }

    /// Removes the fields of one execution.
    pub fn clear_per_execution(&mut self) {
        (self.id, self.wait_ms, self.idempotency_key) = (None, None, None);
        (self.order_key, self.is_retry) = (None, false);
    }
}

fn parse_id(value: &str) -> Result<String, FieldError> {
    let is_id = value.len() == ID_DIGITS && value.bytes().all(|b| b.is_ascii_hexdigit());
    is_id.then(|| value.to_owned()).ok_or(FieldError::BadId)
}

/// Milliseconds; a fraction is cut off.
fn parse_wait_ms(value: &str) -> Result<u64, FieldError> {
    let digits = value.split_once('.').map_or(value, |(whole, _)| whole);
    match digits.parse::<u64>() {
        Ok(ms) if ms > 0 && value.parse::<f64>().is_ok_and(|f| f <= MAX_WAIT_MS) => Ok(ms),
        _ => Err(FieldError::BadWait),
    }
}

/// An idempotency key or an order key. Its form is the client's own; only its length is bounded.
fn parse_key(value: &str) -> Option<String> {
    let is_key = (1..=MAX_KEY_BYTES).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic());
    is_key.then(|| value.to_owned())
}

fn parse_retry(value: &str) -> Result<bool, FieldError> {
    if value == "1" { Ok(true) } else { Err(FieldError::BadRetry) }
}

fn parse_estimate(value: &str) -> Result<f64, FieldError> {
    value.parse::<f64>().ok().filter(|v| (0.0..=MAX_ESTIMATE).contains(v)).ok_or(FieldError::BadEstimate)
}

/// The number of an order key: FNV-1a over its bytes, so that two processes of one gateway agree on it. Keys that
/// happen to share a number run one at a time with each other, which is safe.
pub fn key_id(order_key: &str) -> KeyId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    KeyId(order_key.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME)))
}

#[cfg(test)]
mod tests;
