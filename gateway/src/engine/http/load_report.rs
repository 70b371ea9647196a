//! Parser for load reports in the header field `X-Meter`.

use workload_manager::LoadReport;

/// Parses a load report such as `inflight:7;util:0.61`. `extras` has the meanings of `x0` and `x1` from the settings: a
/// meaning that contains `memory` or `disk` selects that utilization, and a value with any other meaning is ignored.
/// Unknown names and non-numeric values are ignored.
pub fn parse(text: &str, extras: &[String; 2]) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|part| part.split_once(':')) {
        let Ok(value) = value.trim().parse::<f64>() else { continue };
        let name = name.trim();
        let field = match name {
            "inflight" => &mut report.in_flight,
            "queue" => &mut report.queued,
            "util" => &mut report.core_utilization,
            "x0" | "x1" => {
                let meaning = &extras[usize::from(name == "x1")];
                if meaning.contains("memory") {
                    &mut report.memory_utilization
                } else if meaning.contains("disk") {
                    &mut report.disk_utilization
                } else {
                    continue;
                }
            }
            _ => continue,
        };
        *field = Some(value);
    }
    report
}
