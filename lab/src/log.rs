//! What the commands that read gateways' logs share.

use std::io::BufReader;
use std::path::{Path, PathBuf};

use anyhow::Context;

#[cfg(test)]
mod tests;

/// The value of `key=` in a line, without quotes.
pub fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let start = line
        .match_indices(key)
        .find(|(at, _)| line[..*at].ends_with(' ') && line[at + key.len()..].starts_with('='))?;
    let rest = &line[start.0 + key.len() + 1..];
    rest.split_whitespace().next().map(|value| value.trim_matches('"'))
}

/// Seconds of a line: what stands before it, as `0.054` or `[0.05]`, or else the gateway's own clock.
pub fn at(line: &str) -> Option<f64> {
    let stamp = line.split_whitespace().next()?.trim_matches(['[', ']']).parse::<f64>().ok();
    stamp.or_else(|| Some(field(line, "now_us")?.parse::<f64>().ok()? / 1e6))
}

fn logs(folder: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder).with_context(|| folder.display().to_string())?;
    let mut logs: Vec<PathBuf> = entries.map(|e| Ok(e?.path())).collect::<std::io::Result<_>>()?;
    logs.retain(|path| path.extension().is_some_and(|e| e == "log"));
    logs.sort();
    anyhow::ensure!(!logs.is_empty(), "{}: no *.log here", folder.display());
    Ok(logs)
}

/// Reads each log of a folder, in the order of their names.
pub fn each<T>(
    folder: &Path,
    read: impl Fn(BufReader<std::fs::File>) -> std::io::Result<T>,
) -> anyhow::Result<Vec<T>> {
    let open = |path: &PathBuf| std::fs::File::open(path).and_then(|file| read(BufReader::new(file)));
    logs(folder)?.iter().map(|path| open(path).with_context(|| path.display().to_string())).collect()
}
