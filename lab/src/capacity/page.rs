//! Generates the capacity page: the needs of each role at the target size, the measured slopes and the missing
//! mechanisms.

use std::fmt::Write;

use super::estimate::{CapacityEstimate, Carrier, Need, Ratio, Role, number};
use super::experiment::{Experiment, Quantity};
use super::hollow::{Hollow, HollowFigure};
use super::slopes::{Measured, Slopes};
use super::target::Target;

/// Gaps of the measurements that do not depend on the input files.
const NOT_MEASURED: [&str; 11] = [
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
pub fn page(target: &Target, slopes: &Slopes, hollow: &Hollow) -> String {
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
    hollow: &Hollow,
    estimate: &CapacityEstimate<'_>,
) -> std::fmt::Result {
    intro(page, target, slopes)?;
    for role in Role::ALL {
        writeln!(page, "\n## {role}\n")?;
        needs(page, estimate.of(role))?;
        hollow_figures(page, role, hollow)?;
    }
    guesses(page, target, slopes, estimate)?;
    slope_table(page, slopes)?;
    missing(page, estimate)?;
    not_measured(page, slopes, estimate)
}

fn intro(page: &mut String, t: &Target, slopes: &Slopes) -> std::fmt::Result {
    writeln!(page, "# Capacity\n")?;
    writeln!(
        page,
        "What {} gateways before {} databases need, with {} client connections and {} statements a second: {} connections and\n\
         {} statements a second at a gateway. All tables are made by `wrenhatch-lab capacity page` from\n\
         [slopes.json](capacity/slopes.json) and [target.toml](capacity/target.toml), and events from `capacity/hollow.json` where\n\
         it is there; a test fails when page and inputs differ. How to make it for another size:\n\
         [operators/capacity.md](operators/capacity.md).\n",
        number(t.gateways),
        number(t.databases),
        number(t.connections),
        number(t.statements_per_s),
        number(t.connections_per_gateway()),
        number(t.statements_per_gateway()),
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

fn needs<'a>(page: &mut String, needs: impl Iterator<Item = &'a Need>) -> std::fmt::Result {
    writeln!(page, "| what | when | need | limit | ratio | comes from | mark | carried by |")?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- | --- |")?;
    for need in needs {
        let limit = need.limit.map_or_else(|| "not stated".to_owned(), number);
        let carrier = match &need.carrier {
            Carrier::File(file) => (*file).to_owned(),
            Carrier::Nothing(instead) => format!("nothing. Today: {}", instead.what),
        };
        writeln!(
            page,
            "| {}: {} | {} | {} | {limit} | {} | {} | {} | {carrier} |",
            need.resource,
            need.what,
            need.case,
            amount(need),
            need.ratio(),
            need.from,
            need.mark
        )?;
    }
    Ok(())
}

fn amount(need: &Need) -> String {
    let spread = need.amount.spread;
    let value = number(need.amount.value);
    let unit = if need.unit.is_empty() { String::new() } else { format!(" {}", need.unit) };
    if spread > 0.0 { format!("{value}{unit} +- {}", number(spread)) } else { format!("{value}{unit}") }
}

fn hollow_figures(page: &mut String, role: Role, hollow: &Hollow) -> std::fmt::Result {
    let of: Vec<&HollowFigure> = hollow.figures.iter().filter(|f| f.role == role.key()).collect();
    if of.is_empty() {
        return writeln!(page, "\nEvents: no hollow run has left figures yet.");
    }
    writeln!(page, "\n| event | what | value | mark | command |")?;
    writeln!(page, "| --- | --- | --- | --- | --- |")?;
    for f in of {
        let value = number(f.value);
        writeln!(
            page,
            "| {} | {} | {value} {} | {} | `{}` |",
            f.event, f.quantity, f.unit, f.mark, f.command
        )?;
    }
    Ok(())
}

/// Writes the mechanisms that were expected to be missing, with their calculated needs.
fn guesses(
    page: &mut String,
    t: &Target,
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
    for (guess, what) in rows {
        let Some(need) = estimate.needs.iter().find(|need| need.what.contains(what)) else { continue };
        let (figure, against) = match &need.carrier {
            Carrier::File(_) => (amount(need), need.ratio().to_string()),
            Carrier::Nothing(i) => {
                let ratio =
                    i.ratio.map_or_else(String::new, |r| format!("; today's way {} times", number(r)));
                (i.what.clone(), format!("none{ratio}"))
            }
        };
        writeln!(page, "| {guess} | {}: {figure} | {against} |", need.what)?;
    }
    growth(page, t, slopes)
}

/// Writes the processor time of a statement by number of engines.
fn growth(page: &mut String, t: &Target, slopes: &Slopes) -> std::fmt::Result {
    let get = |experiment| slopes.get(experiment, Quantity::Cpu);
    let (Some(whole), Some(decided)) =
        (get(Experiment::StatementEngines), get(Experiment::DecideStatementEngines))
    else {
        return Ok(());
    };
    writeln!(page, "\nA statement's processor time, in microseconds:\n")?;
    writeln!(
        page,
        "| engines | process | decisions alone | cores at {} statements a second |",
        number(t.statements_per_gateway())
    )?;
    writeln!(page, "| --- | --- | --- | --- |")?;
    for point in &whole.points {
        let Some(decided) = decided.at(point.size) else { continue };
        let cores = point.median() * t.statements_per_gateway() / 1e6;
        writeln!(
            page,
            "| {} | {} | {} | {} |",
            number(point.size),
            number(point.median()),
            number(decided.value),
            number(cores)
        )?;
    }
    Ok(())
}

fn slope_table(page: &mut String, slopes: &Slopes) -> std::fmt::Result {
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
    slopes.measured.iter().try_for_each(|m| slope_row(page, m))
}

fn slope_row(page: &mut String, m: &Measured) -> std::fmt::Result {
    let join = |values: Vec<f64>| values.into_iter().map(number).collect::<Vec<_>>().join(" / ");
    let sizes = join(m.points.iter().map(|p| p.size).collect());
    let middles = join(m.points.iter().map(|p| p.median()).collect());
    let (slope, growth) = match &m.fit {
        None => ("-".to_owned(), "too few sizes".to_owned()),
        Some(f) => {
            let slope = format!("{} +- {}", small(f.slope), small(f.slope_error));
            let ends = format!("not linear: {} to {}", small(f.first_slope), small(f.last_slope));
            (slope, if f.linear { "linear".to_owned() } else { ends })
        }
    };
    writeln!(
        page,
        "| {} | {} | {} | {sizes} | {middles} | {slope} | {growth} | {} | `{}` |",
        m.name(),
        m.unit,
        m.of,
        m.fixed,
        m.command
    )
}

/// Formats a slope, with an exponent if it is small.
fn small(value: f64) -> String {
    if value == 0.0 || value.abs() >= 0.01 { number(value) } else { format!("{value:.1e}") }
}

fn missing(page: &mut String, estimate: &CapacityEstimate<'_>) -> std::fmt::Result {
    writeln!(page, "\n## What is missing, by ratio\n")?;
    writeln!(
        page,
        "First what has no mechanism, by what today's way in its place takes of a limit, or of what is ordinary where none is stated; then\n\
         what passes its limit or needs over half of it.\n"
    )?;
    writeln!(page, "| | what | ratio | today's way | times its limit |")?;
    writeln!(page, "| --- | --- | --- | --- | --- |")?;
    for (at, need) in estimate.missing().into_iter().enumerate() {
        let (way, of) = match (&need.carrier, need.ratio()) {
            (Carrier::Nothing(i), _) => {
                (i.what.clone(), i.ratio.map_or_else(|| "can't be said".to_owned(), number))
            }
            (Carrier::File(file), Ratio::Of(ratio)) => ((*file).to_owned(), number(ratio)),
            (Carrier::File(file), _) => ((*file).to_owned(), "-".to_owned()),
        };
        writeln!(
            page,
            "| {} | {}: {} ({}) | {} | {way} | {of} |",
            at + 1,
            need.role,
            need.what,
            need.case,
            need.ratio()
        )?;
    }
    Ok(())
}

fn not_measured(page: &mut String, slopes: &Slopes, estimate: &CapacityEstimate<'_>) -> std::fmt::Result {
    writeln!(page, "\n## What was not measured\n")?;
    for what in NOT_MEASURED {
        writeln!(page, "- {what}")?;
    }
    for name in &estimate.unmeasured {
        writeln!(page, "- {name}: no play has given it yet")?;
    }
    for m in &slopes.measured {
        for why in &m.unusable {
            writeln!(page, "- {}, a play at {why}: unusable", m.name())?;
        }
    }
    Ok(())
}
