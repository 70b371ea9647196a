//! Counts the parameter placeholders of a statement.

/// Returns the number of `?` placeholders in a statement, outside strings, quoted identifiers and comments.
pub fn count_placeholders(sql: &[u8]) -> usize {
    let (mut count, mut i) = (0, 0);
    // Returns the position after the next occurrence of `end`, or the end of the statement if there is none.
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
mod tests;
