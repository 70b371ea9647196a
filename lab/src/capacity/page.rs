//! Generates the capacity page: the needs of each role at the target size, the measured slopes and the missing
//! mechanisms.

use std::fmt::Write;

use super::estimate::{CapacityEstimate, Mechanism, Need, Ratio, Role, format_number};
use super::experiment::{Experiment, Quantity};
use super::hollow::{HollowFigure, HollowFile};
use super::slopes::{Measurement, Slopes};
use super::target::Target;

/// Conditions that no experiment covers, independent of the input files.
const MEASUREMENT_GAPS: [&str; 11] = [
    "processor time and memory of databases: the engines of the plays answer at once and do no work",
    "processor time of control machines: no program for them is in the repository",
    "engines, open requests and idle sessions together, but for one point: each is measured with few of the others, and added",
    "statements beside changes: the two are measured one after the other, and added",
    "classes and tenants in the decisions of a statement: only memory, start and reading the file are measured by them",
    "MySQL clients and engines, and results larger than one row",
    "TLS and sign-in, which the gateway does not have",
    "the kernel's memory for sockets: what is resident is the process's own",
    "real networks: all is on loopback, where a connection comes up at once",
    "two processes of one gateway during a replacement",
    "the settings of a fleet: a play has `balancers` 1, as with hundreds its part of a few engines would hold it back",
];

/// Returns the text of the page in Markdown.
pub fn generate_page(target: &Target, slopes: &Slopes, hollow: &HollowFile) -> String {
    let estimate = CapacityEstimate::new(target, slopes);
    let mut page = String::new();
    // Writing to a string never fails.
    let _ = write_page(&mut page, target, slopes, hollow, &estimate);
    page
}

fn write_page(
    page: &mut String,
    target: &Target,
    slopes: &Slopes,
    hollow: &HollowFile,
    estimate: &CapacityEstimate<'_>,
) -> std::fmt::Result {
    write_intro(page, target, slopes)?;
    for role in Role::ALL {
        writeln!(page, "\n## {role}\n")?;
        write_needs(page, estimate.needs_of(role))?;
        write_hollow_figures(page, role, hollow)?;
    }
    write_expected_gaps(page, target, slopes, estimate)?;
    write_slopes(page, slopes)?;
    write_missing(page, estimate)?;
    write_unmeasured(page, slopes, estimate)
}

fn write_intro(page: &mut String, target: &Target, slopes: &Slopes) -> std::fmt::Result {
    writeln!(page, "# Capacity\n")?;
    writeln!(
        page,
        "What {} gateways before {} databases need, with {} client connections and {} statements a second: {} connections and\n\
         {} statements a second at a gateway. All tables are made by `wrenhatch-lab capacity page` from\n\
         [slopes.json](capacity/slopes.json) and [target.toml](capacity/target.toml), and events from `capacity/hollow.json` where\n\
         it is there; a test fails when page and inputs differ. How to make it for another size:\n\
         [operators/capacity.md](operators/capacity.md).\n",
        format_number(target.gateways),
        format_number(target.databases),
        format_number(target.connections),
        format_number(target.statements_per_s),
        format_number(target.connections_per_gateway()),
        format_number(target.statements_per_gateway()),
    )?;
    writeln!(
        page,
        "- *measured*: played at this size. *hollow*: counted with many gateways without clients. *simulated*: on simulated time.\n\
         \x20 *reckoned*: by arithmetic from the slopes that the row names, and the target.\n\
         - Processor time is the process's own. `+-` is how far plays lie apart; it holds no other error.\n\
         - *ratio*: need to limit. `-`: no limit is stated. **none**: no mechanism exists, so that there is no ratio.\n\
         - The plays ran on {} cores of {}, which others used too.",
        slopes.machine.cores, slopes.machine.processor
    )
}

fn write_needs<'a>(page: &mut String, needs: impl Iterator<Item = &'a Need>) -> std::fmt::Result {
    writeln!(page, "| what | when | need | limit | ratio | comes from | mark | carried by |")?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- | --- |")?;
    for need in needs {
        let limit = need.limit.map_or_else(|| "not stated".to_owned(), format_number);
        let mechanism = match &need.mechanism {
            Mechanism::Exists(files) => (*files).to_owned(),
            Mechanism::Missing(fallback) => format!("nothing. Today: {}", fallback.text),
        };
        writeln!(
            page,
            "| {}: {} | {} | {} | {limit} | {} | {} | {} | {mechanism} |",
            need.resource,
            need.description,
            need.case,
            format_amount(need),
            need.ratio(),
            need.source,
            need.origin
        )?;
    }
    Ok(())
}

fn format_amount(need: &Need) -> String {
    let spread = need.amount.spread;
    let value = format_number(need.amount.value);
    let unit = if need.unit.is_empty() { String::new() } else { format!(" {}", need.unit) };
    if spread > 0.0 {
        format!("{value}{unit} +- {}", format_number(spread))
    } else {
        format!("{value}{unit}")
    }
}

fn write_hollow_figures(page: &mut String, role: Role, hollow: &HollowFile) -> std::fmt::Result {
    let figures: Vec<&HollowFigure> = hollow.figures.iter().filter(|f| f.role == role.key()).collect();
    if figures.is_empty() {
        return writeln!(page, "\nEvents: no hollow run has left figures yet.");
    }
    writeln!(page, "\n| event | what | value | mark | command |")?;
    writeln!(page, "| --- | --- | --- | --- | --- |")?;
    for f in figures {
        let value = format_number(f.value);
        writeln!(
            page,
            "| {} | {} | {value} {} | {} | `{}` |",
            f.event, f.quantity, f.unit, f.origin, f.command
        )?;
    }
    Ok(())
}

/// Writes the mechanisms that were expected to be missing, with their calculated needs.
fn write_expected_gaps(
    page: &mut String,
    target: &Target,
    slopes: &Slopes,
    estimate: &CapacityEstimate<'_>,
) -> std::fmt::Result {
    writeln!(page, "\n## What was guessed to be missing first\n")?;
    writeln!(page, "| guess | figure | against its limit |")?;
    writeln!(page, "| --- | --- | --- |")?;
    let rows = [
        ("configuration in service", "changes of classes"),
        ("configuration in service", "a version of the configuration"),
        ("configuration in service", "were each change of configuration a restart"),
        ("configuration in service", "the file read again"),
        ("configuration in service", "the whole file, were it sent"),
        ("decisions that cost by engines", "statements, all of it"),
        ("decisions that cost by engines", "of these, what grows"),
        ("decisions that cost by engines", "of these, decisions alone"),
        ("decisions that cost by engines", "changes of the list"),
        ("a subset of databases", "a stable, even subset"),
        ("a subset of databases", "descriptors, with"),
        ("a subset of databases", "its zone's databases gone"),
        ("a subset of databases", "calls over each connection"),
        ("a change of primary", "changes of primary"),
    ];
    for (topic, text) in rows {
        let Some(need) = estimate.needs.iter().find(|need| need.description.contains(text)) else { continue };
        let (figure, against) = match &need.mechanism {
            Mechanism::Exists(_) => (format_amount(need), need.ratio().to_string()),
            Mechanism::Missing(fallback) => {
                let ratio = fallback
                    .ratio
                    .map_or_else(String::new, |r| format!("; today's way {} times", format_number(r)));
                (fallback.text.clone(), format!("none{ratio}"))
            }
        };
        writeln!(page, "| {topic} | {}: {figure} | {against} |", need.description)?;
    }
    write_statement_growth(page, target, slopes)
}

/// Writes the processor time of a statement by number of engines.
fn write_statement_growth(page: &mut String, target: &Target, slopes: &Slopes) -> std::fmt::Result {
    let get = |experiment| slopes.get(experiment, Quantity::Cpu);
    let (Some(process), Some(in_memory)) =
        (get(Experiment::StatementEngines), get(Experiment::DecideStatementEngines))
    else {
        return Ok(());
    };
    writeln!(page, "\nA statement's processor time, in microseconds:\n")?;
    writeln!(
        page,
        "| engines | process | decisions alone | cores at {} statements a second |",
        format_number(target.statements_per_gateway())
    )?;
    writeln!(page, "| --- | --- | --- | --- |")?;
    for point in &process.points {
        let Some(in_memory) = in_memory.at(point.size) else { continue };
        let cores = point.median() * target.statements_per_gateway() / 1e6;
        writeln!(
            page,
            "| {} | {} | {} | {} |",
            format_number(point.size),
            format_number(point.median()),
            format_number(in_memory.value),
            format_number(cores)
        )?;
    }
    Ok(())
}

fn write_slopes(page: &mut String, slopes: &Slopes) -> std::fmt::Result {
    writeln!(page, "\n## Slopes, measured\n")?;
    writeln!(
        page,
        "The middle of the plays at each size; the slope by least squares over all plays, with its standard error. Growth is not linear\n\
         where the means miss the line by more than the plays' own spread explains (F test at 1%) and by more than 5% of the\n\
         largest; the slopes between the two smallest and the two largest sizes are given then.\n"
    )?;
    writeln!(
        page,
        "| what | unit | by | sizes | middle of the plays | slope | growth | held fixed | command |"
    )?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")?;
    slopes.measured.iter().try_for_each(|m| write_slope(page, m))
}

fn write_slope(page: &mut String, m: &Measurement) -> std::fmt::Result {
    let join = |values: Vec<f64>| values.into_iter().map(format_number).collect::<Vec<_>>().join(" / ");
    let sizes = join(m.points.iter().map(|p| p.size).collect());
    let medians = join(m.points.iter().map(|p| p.median()).collect());
    let (slope, growth) = match &m.fit {
        None => ("-".to_owned(), "too few sizes".to_owned()),
        Some(f) => {
            let slope = format!("{} +- {}", format_slope(f.slope), format_slope(f.slope_error));
            let ends =
                format!("not linear: {} to {}", format_slope(f.first_slope), format_slope(f.last_slope));
            (slope, if f.linear { "linear".to_owned() } else { ends })
        }
    };
    writeln!(
        page,
        "| {} | {} | {} | {sizes} | {medians} | {slope} | {growth} | {} | `{}` |",
        m.name(),
        m.unit,
        m.variable,
        m.fixed,
        m.command
    )
}

/// Formats a slope, with an exponent if it is small.
fn format_slope(value: f64) -> String {
    if value == 0.0 || value.abs() >= 0.01 { format_number(value) } else { format!("{value:.1e}") }
}

fn write_missing(page: &mut String, estimate: &CapacityEstimate<'_>) -> std::fmt::Result {
    writeln!(page, "\n## What is missing, by ratio\n")?;
    writeln!(
        page,
        "First what has no mechanism, by what today's way in its place takes of a limit, or of what is ordinary where none is stated; then\n\
         what passes its limit or needs over half of it.\n"
    )?;
    writeln!(page, "| | what | ratio | today's way | times its limit |")?;
    writeln!(page, "| --- | --- | --- | --- | --- |")?;
    for (index, need) in estimate.critical_needs().into_iter().enumerate() {
        let (mechanism, times_limit) = match (&need.mechanism, need.ratio()) {
            (Mechanism::Missing(f), _) => {
                (f.text.clone(), f.ratio.map_or_else(|| "can't be said".to_owned(), format_number))
            }
            (Mechanism::Exists(files), Ratio::OfLimit(ratio)) => ((*files).to_owned(), format_number(ratio)),
            (Mechanism::Exists(files), _) => ((*files).to_owned(), "-".to_owned()),
        };
        writeln!(
            page,
            "| {} | {}: {} ({}) | {} | {mechanism} | {times_limit} |",
            index + 1,
            need.role,
            need.description,
            need.case,
            need.ratio()
        )?;
    }
    Ok(())
}

fn write_unmeasured(page: &mut String, slopes: &Slopes, estimate: &CapacityEstimate<'_>) -> std::fmt::Result {
    writeln!(page, "\n## What was not measured\n")?;
    for gap in MEASUREMENT_GAPS {
        writeln!(page, "- {gap}")?;
    }
    for name in &estimate.unmeasured {
        writeln!(page, "- {name}: no play has given it yet")?;
    }
    for m in &slopes.measured {
        for reason in &m.unusable {
            writeln!(page, "- {}, a play at {reason}: unusable", m.name())?;
        }
    }
    Ok(())
}
