//! Text format of actions for the recorded digests, independent of the names of types and fields.

use workload_manager::*;

/// Formats one action. Floating-point numbers are written as their bits in hexadecimal.
pub fn format_action(action: &Action) -> String {
    match action {
        Action::SetAttemptTerms { request, memory_mb, priority } => {
            format!("terms {} {} {priority}", request.0, bits(*memory_mb))
        }
        Action::Forward { request, engine, timeout } => {
            format!("send {} {} {}", request.0, engine.0, optional_bits(*timeout))
        }
        Action::CancelAttempt { request, attempt } => format!("cancel {} {attempt}", request.0),
        Action::Reject { request, retry_after } => {
            format!("refuse {} {}", request.0, optional_bits(*retry_after))
        }
        Action::Fail(request) => format!("fail {}", request.0),
        Action::SetTimer { delay, token, request: id } => {
            let id = id.map_or("-".to_owned(), |request| request.0.to_string());
            format!("timer {} {token} {id}", bits(*delay))
        }
        Action::CheckHealth(engine) => format!("probe {}", engine.0),
        Action::WatchEndpointList => "subscribe".to_owned(),
    }
}

fn bits(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}

fn optional_bits(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), bits)
}
