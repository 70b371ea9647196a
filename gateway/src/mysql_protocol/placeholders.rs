//! Placeholders of a statement's text.

/// The number of `?` in a statement that stand for parameters: not in strings, quoted names or comments.
pub fn count_placeholders(sql: &[u8]) -> usize {
    let (mut count, mut i) = (0, 0);
    // The place behind the next `end`.
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
