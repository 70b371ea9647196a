//! Finds the table group that a SQL statement refers to, with a minimal SQL tokenizer.

use std::borrow::Cow;

/// Keywords that precede a table name.
const TABLE_KEYWORDS: [&str; 5] = ["from", "join", "into", "update", "table"];
/// Keywords that may stand between a table keyword and the table name.
const TABLE_MODIFIERS: [&str; 2] = ["only", "table"];
/// Name, without the numeric suffix, of the schemas that belong to no group.
const STAGING_SCHEMA: &str = "staging";

#[derive(Debug, PartialEq)]
enum Token<'a> {
    /// A keyword, a number or an identifier, quoted or not.
    Word(Cow<'a, str>),
    Dot,
    Other,
}

/// Returns the table group of a statement: the numeric suffix of the first numbered schema, as in `sales_17.orders`.
/// `None` if there is none. Only the table name directly after FROM, JOIN, INTO, UPDATE or TABLE is considered, and no
/// further names of a list. Aliases such as `a_3.day`, the `staging` schemas, and the contents of strings and comments
/// are ignored.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens = tokenize(statement);
    let is_keyword = |at: usize, keywords: &[&str]| {
        word(&tokens, at).is_some_and(|w| keywords.iter().any(|keyword| w.eq_ignore_ascii_case(keyword)))
    };
    (0..tokens.len()).filter(|at| is_keyword(*at, &TABLE_KEYWORDS)).find_map(|at| {
        let name_at = if is_keyword(at + 1, &TABLE_MODIFIERS) { at + 2 } else { at + 1 };
        match qualified_name(&tokens, name_at).as_slice() {
            [.., schema, _table] => group_of_schema(schema),
            _ => None,
        }
    })
}

fn word<'t>(tokens: &'t [Token<'_>], at: usize) -> Option<&'t str> {
    match tokens.get(at) {
        Some(Token::Word(word)) => Some(word.as_ref()),
        _ => None,
    }
}

/// Returns the parts of a qualified name such as `database.schema.table`.
fn qualified_name<'t>(tokens: &'t [Token<'_>], mut at: usize) -> Vec<&'t str> {
    let mut parts = Vec::new();
    while let Some(part) = word(tokens, at) {
        parts.push(part);
        if tokens.get(at + 1) != Some(&Token::Dot) {
            break;
        }
        at += 2;
    }
    parts
}

fn group_of_schema(schema: &str) -> Option<u64> {
    let (name, number) = schema.rsplit_once('_')?;
    if name.eq_ignore_ascii_case(STAGING_SCHEMA) || !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    number.parse().ok()
}

/// Splits a statement into tokens. Comments are skipped. A string literal is a single token without its contents.
fn tokenize(text: &[u8]) -> Vec<Token<'_>> {
    let mut tokens = Vec::new();
    let mut at = 0;
    while at < text.len() {
        let (token, end) = next_token(text, at);
        tokens.extend(token);
        at = end;
    }
    tokens
}

/// Returns the token at `at` and the position after it. Whitespace and comments yield no token.
fn next_token(text: &[u8], at: usize) -> (Option<Token<'_>>, usize) {
    match text[at] {
        b'-' if text.get(at + 1) == Some(&b'-') => (None, find(text, at, b"\n").unwrap_or(text.len())),
        b'/' if text.get(at + 1) == Some(&b'*') => (None, block_comment_end(text, at)),
        b'\'' => (Some(Token::Other), string_end(text, at)),
        quote @ (b'"' | b'`') => {
            let end = find(text, at + 1, &[quote]).unwrap_or(text.len());
            (Some(Token::Word(String::from_utf8_lossy(&text[at + 1..end]))), end + 1)
        }
        b'$' => (Some(Token::Other), dollar_quote_end(text, at)),
        b'.' => (Some(Token::Dot), at + 1),
        b if is_word_byte(b) => {
            let length = text[at..].iter().position(|b| !is_word_byte(*b));
            let end = length.map_or(text.len(), |n| at + n);
            (Some(Token::Word(String::from_utf8_lossy(&text[at..end]))), end)
        }
        b if b.is_ascii_whitespace() => (None, at + 1),
        _ => (Some(Token::Other), at + 1),
    }
}

fn is_word_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b == b'_' || b >= 0x80
}

fn find(text: &[u8], from: usize, target: &[u8]) -> Option<usize> {
    text.get(from..).and_then(|rest| rest.windows(target.len()).position(|w| w == target)).map(|n| from + n)
}

/// Returns the position after the block comment that begins at `at`. Block comments nest.
fn block_comment_end(text: &[u8], at: usize) -> usize {
    let (mut depth, mut end) = (1, at + 2);
    while depth > 0 && end < text.len() {
        match text.get(end..end + 2) {
            Some(b"/*") => (depth, end) = (depth + 1, end + 2),
            Some(b"*/") => (depth, end) = (depth - 1, end + 2),
            _ => end += 1,
        }
    }
    end
}

/// Returns the position after the string literal whose opening quote is at `at`. Backslash escapes are recognised in
/// `E'...'` only.
fn string_end(text: &[u8], at: usize) -> usize {
    let has_e_prefix = at > 0 && matches!(text[at - 1], b'e' | b'E');
    let has_escapes = has_e_prefix && (at < 2 || !is_word_byte(text[at - 2]));
    let mut end = at + 1;
    while end < text.len() {
        if has_escapes && text[end] == b'\\' {
            end += 1;
        } else if text[end] == b'\'' {
            if text.get(end + 1) != Some(&b'\'') {
                break;
            }
            end += 1;
        }
        end += 1;
    }
    end + 1
}

/// Returns the position after the dollar-quoted string `$tag$...$tag$` that begins at `at`. For a parameter such as
/// `$1` or a lone dollar sign, returns the position after the dollar sign.
fn dollar_quote_end(text: &[u8], at: usize) -> usize {
    let tag_end = text[at + 1..].iter().position(|b| !is_word_byte(*b)).map(|n| at + 1 + n);
    match tag_end.filter(|end| text[*end] == b'$' && !text[at + 1].is_ascii_digit()) {
        Some(end) => {
            let quote = &text[at..=end];
            find(text, end + 1, quote).map_or(text.len(), |at| at + quote.len())
        }
        None => at + 1,
    }
}

#[cfg(test)]
mod tests;
