//! Binary protocol values: parameters of prepared statements, and query attributes.

use super::{PacketError, Reader, write_lenenc_string};

/// Column types (`MYSQL_TYPE_*`) whose values the gateway can read, with the corresponding SQL types.
pub mod column_type {
    /// DECIMAL.
    pub const DECIMAL: u8 = 0x00;
    /// TINYINT.
    pub const TINY: u8 = 0x01;
    /// SMALLINT.
    pub const SHORT: u8 = 0x02;
    /// INT.
    pub const LONG: u8 = 0x03;
    /// FLOAT.
    pub const FLOAT: u8 = 0x04;
    /// DOUBLE.
    pub const DOUBLE: u8 = 0x05;
    /// NULL.
    pub const NULL: u8 = 0x06;
    /// TIMESTAMP.
    pub const TIMESTAMP: u8 = 0x07;
    /// BIGINT.
    pub const LONGLONG: u8 = 0x08;
    /// MEDIUMINT.
    pub const INT24: u8 = 0x09;
    /// DATE.
    pub const DATE: u8 = 0x0a;
    /// DATETIME. The type between DATE and DATETIME is TIME.
    pub const DATETIME: u8 = 0x0c;
    /// YEAR.
    pub const YEAR: u8 = 0x0d;
    /// VARCHAR.
    pub const VARCHAR: u8 = 0x0f;
    /// BIT.
    pub const BIT: u8 = 0x10;
    /// JSON. The values of this and all higher types are length-encoded strings.
    pub const JSON: u8 = 0xf5;
    /// VARCHAR, as sent in result sets.
    pub const VAR_STRING: u8 = 0xfd;
    /// CHAR.
    pub const STRING: u8 = 0xfe;
    /// GEOMETRY.
    pub const GEOMETRY: u8 = 0xff;
}

const UNSIGNED_FLAG: u16 = 0x8000;
/// Size of the largest integer type, BIGINT.
const MAX_INTEGER_BYTES: usize = 8;

/// The type and name of a parameter, bound by an execution that sets new-params-bind-flag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParameterType {
    /// A column type in the lower byte. The flag 0x8000 marks unsigned integers.
    pub type_and_flag: u16,
    /// Name sent with the type, which identifies a query attribute. Empty if CLIENT_QUERY_ATTRIBUTES was not
    /// negotiated.
    pub name: Vec<u8>,
}

/// A statement parameter or a query attribute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// A column type in the lower byte. The flag 0x8000 marks unsigned integers.
    pub type_and_flag: u16,
    /// Name of a query attribute. The name of a statement's parameter has no meaning and is not forwarded to engines.
    pub name: Vec<u8>,
    /// The value in its encoding on the wire. `None` is NULL.
    pub value: Option<Vec<u8>>,
}

impl Parameter {
    /// Creates a query attribute of type [`column_type::VAR_STRING`].
    pub fn text(name: &str, value: &str) -> Self {
        let mut encoded = Vec::new();
        write_lenenc_string(&mut encoded, value.as_bytes());
        let type_and_flag = u16::from(column_type::VAR_STRING);
        Self { type_and_flag, name: name.as_bytes().to_vec(), value: Some(encoded) }
    }

    /// Returns an integer, a DOUBLE or a string as text, with numbers in decimal. `None` for NULL, for values of other
    /// types, and for a string that is not UTF-8.
    pub fn as_text(&self) -> Option<String> {
        use column_type as t;
        let value = self.value.as_ref()?;
        let mut reader = Reader(value);
        Some(match (self.type_and_flag as u8, value.len()) {
            (
                t::TINY | t::SHORT | t::LONG | t::LONGLONG | t::INT24 | t::YEAR,
                bytes @ 1..=MAX_INTEGER_BYTES,
            ) => {
                let raw = reader.int(bytes).ok()?;
                let unused_bits = 64 - 8 * bytes as u32;
                if self.type_and_flag & UNSIGNED_FLAG != 0 {
                    raw.to_string()
                } else {
                    (((raw << unused_bits) as i64) >> unused_bits).to_string()
                }
            }
            (t::DOUBLE, 8) => f64::from_bits(reader.int(8).ok()?).to_string(),
            (t::VARCHAR | t::JSON..=t::STRING, _) => {
                String::from_utf8(reader.lenenc_string().ok()?.to_vec()).ok()?
            }
            _ => return None,
        })
    }
}

fn read_value<'a>(reader: &mut Reader<'a>, type_and_flag: u16) -> Result<&'a [u8], PacketError> {
    use column_type as t;
    let input = reader.0;
    match type_and_flag as u8 {
        t::TINY => reader.bytes(1)?,
        t::SHORT | t::YEAR => reader.bytes(2)?,
        t::LONG | t::FLOAT | t::INT24 => reader.bytes(4)?,
        t::DOUBLE | t::LONGLONG => reader.bytes(8)?,
        t::NULL => &[],
        t::TIMESTAMP | t::DATE..=t::DATETIME => {
            let n = reader.int(1)?;
            reader.bytes(n as usize)?
        }
        t::DECIMAL | t::VARCHAR | t::BIT | t::JSON..=t::GEOMETRY => reader.lenenc_string()?,
        _ => return Err(PacketError::Malformed),
    };
    Ok(&input[..input.len() - reader.0.len()])
}

/// Reads `count` parameters with their NULL bitmap. If the packet binds new types, they are stored in `bound_types`.
/// Otherwise, the types in `bound_types` are used. `has_names` must be true if CLIENT_QUERY_ATTRIBUTES was negotiated,
/// as each type is followed by a name then.
///
/// # Errors
/// The payload is truncated, a value that is not NULL has an unknown type, or the payload binds no types and
/// `bound_types` does not hold `count` types. The contents of `bound_types` are then unspecified.
pub fn read_parameters(
    reader: &mut Reader<'_>,
    count: usize,
    has_names: bool,
    bound_types: &mut Vec<ParameterType>,
) -> Result<Vec<Parameter>, PacketError> {
    if count == 0 {
        return Ok(Vec::new());
    }
    // Bounds the allocation by the packet's length, as each parameter has a bit in the NULL bitmap.
    if count > reader.0.len() * 8 {
        return Err(PacketError::Malformed);
    }
    let null_bitmap = reader.bytes(count.div_ceil(8))?;
    let new_params_bind = reader.int(1)? == 1;
    if new_params_bind {
        bound_types.clear();
        for _ in 0..count {
            let type_and_flag = reader.int(2)? as u16;
            let name = if has_names { reader.lenenc_string()?.to_vec() } else { Vec::new() };
            bound_types.push(ParameterType { type_and_flag, name });
        }
    }
    if bound_types.len() != count {
        return Err(PacketError::Malformed);
    }
    let mut parameters = Vec::with_capacity(count);
    for (i, ParameterType { type_and_flag, name }) in bound_types.iter().enumerate() {
        let is_null = null_bitmap[i / 8] >> (i % 8) & 1 == 1;
        let value = if is_null { None } else { Some(read_value(reader, *type_and_flag)?.to_vec()) };
        parameters.push(Parameter { type_and_flag: *type_and_flag, name: name.clone(), value });
    }
    Ok(parameters)
}

/// Writes parameters in the format read by [`read_parameters`]. Always binds their types. Writes nothing without
/// parameters.
pub fn write_parameters(out: &mut Vec<u8>, parameters: &[Parameter], has_names: bool) {
    if parameters.is_empty() {
        return;
    }
    let mut null_bitmap = vec![0; parameters.len().div_ceil(8)];
    for (i, parameter) in parameters.iter().enumerate() {
        null_bitmap[i / 8] |= u8::from(parameter.value.is_none()) << (i % 8);
    }
    out.extend(null_bitmap);
    out.push(1);
    for parameter in parameters {
        out.extend(parameter.type_and_flag.to_le_bytes());
        if has_names {
            write_lenenc_string(out, &parameter.name);
        }
    }
    out.extend(parameters.iter().filter_map(|parameter| parameter.value.as_ref()).flatten());
}

#[cfg(test)]
mod tests;
