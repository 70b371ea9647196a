//! What a gateway asks for, in short fixed words: they stay when types and fields get other names.

use workload_manager::*;

/// One action. Numbers with a fraction are told by their bits.
pub fn words(action: &Action) -> String {
    match action {
        Action::SetAttemptTerms { request, memory_mb, priority } => {
            format!("terms {} {} {priority}", request.0, bits(*memory_mb))
        }
        Action::Forward { request, engine, timeout } => {
            format!("send {} {} {}", request.0, engine.0, bits_if_any(*timeout))
        }
        Action::CancelAttempt { request, attempt } => format!("cancel {} {attempt}", request.0),
        Action::Reject { request, retry_after } => {
            format!("refuse {} {}", request.0, bits_if_any(*retry_after))
        }
        Action::Fail(request) => format!("fail {}", request.0),
        Action::SetTimer { delay, token, request: of } => {
            let of = of.map_or("-".to_owned(), |request| request.0.to_string());
            format!("timer {} {token} {of}", bits(*delay))
        }
        Action::CheckHealth(engine) => format!("probe {}", engine.0),
        Action::WatchEndpointList => "subscribe".to_owned(),
    }
}

fn bits(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}

fn bits_if_any(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), bits)
}
