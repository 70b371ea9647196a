//! Reads log files of gateways and parses their lines.

use std::io::BufReader;
use std::path::{Path, PathBuf};

use anyhow::Context;

#[cfg(test)]
mod tests;

/// Returns the value of the field `key` of a line, without quotes, or `None` if the line has no such field.
/// Values must not contain spaces.
pub fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let start = line
        .match_indices(key)
        .find(|(start, _)| line[..*start].ends_with(' ') && line[start + key.len()..].starts_with('='))?;
    let rest = &line[start.0 + key.len() + 1..];
    rest.split_whitespace().next().map(|value| value.trim_matches('"'))
}

/// Time of a line in seconds: its prefix, as in `0.054` or `[0.05]`, or else the field `now_us`, the gateway's clock.
/// `None` for a line with neither.
pub fn timestamp_s(line: &str) -> Option<f64> {
    let prefix = line.split_whitespace().next()?.trim_matches(['[', ']']).parse::<f64>().ok();
    prefix.or_else(|| Some(field(line, "now_us")?.parse::<f64>().ok()? / 1e6))
}

fn log_files(folder: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder).with_context(|| folder.display().to_string())?;
    let mut logs: Vec<PathBuf> = entries.map(|e| Ok(e?.path())).collect::<std::io::Result<_>>()?;
    logs.retain(|path| path.extension().is_some_and(|e| e == "log"));
    logs.sort();
    anyhow::ensure!(!logs.is_empty(), "{}: the folder contains no *.log file", folder.display());
    Ok(logs)
}

/// Reads all logs (`*.log`) of a folder in the order of their names. A folder without a log is an error.
pub fn read_all<T>(
    folder: &Path,
    read: impl Fn(BufReader<std::fs::File>) -> std::io::Result<T>,
) -> anyhow::Result<Vec<T>> {
    let open = |path: &PathBuf| std::fs::File::open(path).and_then(|file| read(BufReader::new(file)));
    log_files(folder)?.iter().map(|path| open(path).with_context(|| path.display().to_string())).collect()
}
