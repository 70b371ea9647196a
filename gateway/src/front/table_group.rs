//! The group of tables that a statement names, found by a tokenizer for SQL.

use std::borrow::Cow;

/// Keywords before the name of a table.
const TABLE_KEYWORDS: [&str; 5] = ["from", "join", "into", "update", "table"];
/// Keywords that may stand between those and the name.
const TABLE_MODIFIERS: [&str; 2] = ["only", "table"];
/// The schema that belongs to no group, whatever its number.
const STAGING_SCHEMA: &str = "staging";

#[derive(Debug, PartialEq)]
enum Token<'a> {
    /// A keyword or a name, quoted or not.
    Word(Cow<'a, str>),
    Dot,
    Other,
}

/// The group of tables: the number behind the underscore in the schema that the statement names, as in
/// `sales_17.orders`. A schema counts where a table is named (after FROM, JOIN, INTO, UPDATE or TABLE); an alias such
/// as `a_3.day` elsewhere is none, nor is `staging`, nor what stands in strings and comments.
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

/// The parts of a name such as `database.schema.table`.
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

/// The tokens outside comments; a string is one token without its content.
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

/// The token that begins at `at`, if something other than blanks or a comment does, and where the next one begins.
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

fn find(text: &[u8], from: usize, what: &[u8]) -> Option<usize> {
    text.get(from..).and_then(|rest| rest.windows(what.len()).position(|w| w == what)).map(|n| from + n)
}

/// Where the comment ends that begins at `at`; comments nest.
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

/// Where the string ends whose quote is at `at`. Backslashes escape in E'..' only.
fn string_end(text: &[u8], at: usize) -> usize {
    let has_e_before = at > 0 && matches!(text[at - 1], b'e' | b'E');
    let has_escapes = has_e_before && (at < 2 || !is_word_byte(text[at - 2]));
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

/// Where the string `$tag$..$tag$` ends that begins at `at`; a parameter such as `$1` is its sign alone.
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
