//! Admission of client requests: decides whether a request that a front end has read is passed to the workload manager.
//!
//! A request passes two steps, in this order:
//!
//! 1. [`validate`] checks that the settings have the request's class and tenant and that its id is not in use. A
//!    violation is an error of the client, who receives the text of the [`InvalidRequest`].
//! 2. [`admit`] checks that the gateway can serve the request. All [`RejectionReason`]s are checked, in the order of
//!    [`RejectionReason::ALL`]. The [`Rejection`] contains those that apply. Nothing was sent to an engine, so a retry
//!    is safe.
//!
//! This module does no I/O and has no state: the event loop collects the [`AdmissionInput`] and carries out the result.

use workload_manager::{ClassId, TenantId};
use wrenhatch_sessions::memory_budget::InsufficientMemory;
use wrenhatch_sessions::read_scheduler::ReadScheduler;

use crate::config::SettingsNames;
use crate::front::fields::RequestFields;

/// Error in a request or in a statement to be prepared. The client receives the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The settings have no class of this name.
    #[error("unknown class")]
    UnknownClass,
    /// The settings have no tenant of this name.
    #[error("unknown tenant")]
    UnknownTenant,
    /// Another request with the same id is open, or an attempt of such a request has not ended. Engines identify a
    /// query by its id alone, so they could not distinguish calls for the two requests.
    #[error("the id is that of a request that is open")]
    DuplicateId,
}

/// Class and tenant of a request, by their numbers in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedNames {
    /// Class that has the name in the current settings.
    pub class: ClassId,
    /// `None` if the fields have no tenant.
    pub tenant: Option<TenantId>,
}

/// Looks up the class and the tenant of the fields in the settings.
///
/// # Errors
/// The settings don't have the class or the tenant. An unknown class is reported first.
pub fn resolve_names(names: &SettingsNames, fields: &RequestFields) -> Result<ResolvedNames, InvalidRequest> {
    let class = names.class(&fields.class).ok_or(InvalidRequest::UnknownClass)?;
    let tenant = |name: &String| names.tenant(name).ok_or(InvalidRequest::UnknownTenant);
    Ok(ResolvedNames { class, tenant: fields.tenant.as_ref().map(tenant).transpose()? })
}

/// Checks the fields of a new request. `id_in_use`: a request or an attempt with the same id has not ended.
///
/// # Errors
/// The id is in use, or the settings don't have the class or the tenant. An id in use is reported first.
pub fn validate(
    names: &SettingsNames,
    fields: &RequestFields,
    id_in_use: bool,
) -> Result<ResolvedNames, InvalidRequest> {
    if id_in_use { Err(InvalidRequest::DuplicateId) } else { resolve_names(names, fields) }
}

/// Time for which a client waits for the answer, in microseconds. The deadline of the class applies if no time is
/// requested. It also bounds the requested time, because the gateway keeps the timers of a request until its deadline.
pub fn wait_us(requested_ms: Option<u64>, class_deadline_seconds: f64) -> u64 {
    let class_us = (class_deadline_seconds * 1e6) as u64;
    requested_ms.map_or(class_us, |ms| ms.saturating_mul(1000)).min(class_us)
}

/// Values that decide the admission of a valid request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionInput {
    /// Current time, in microseconds of the gateway's clock.
    pub now_us: u64,
    /// Time at which the request became readable, in microseconds. The client has waited since then.
    pub ready_us: u64,
    /// Time for which the client waits, in microseconds, from [`wait_us`].
    pub wait_us: u64,
    /// Estimated duration of the queued work that precedes the request, in microseconds. 0 unless the read of the
    /// request was expedited.
    pub work_ahead_us: u64,
    /// This process shuts down and accepts no new requests.
    pub shutting_down: bool,
    /// Number of requests of this process that have no final answer.
    pub open_requests: usize,
    /// Number of open requests from which further ones are rejected, from the settings.
    pub max_open_requests: usize,
    /// Result of checking the memory budget for the bytes of the request.
    pub memory: Result<(), InsufficientMemory>,
}

impl AdmissionInput {
    fn deadline_us(&self) -> u64 {
        self.ready_us.saturating_add(self.wait_us)
    }
}

/// Reason for rejecting a valid request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The process shuts down. Another process may accept the request when the client retries.
    ShuttingDown,
    /// The number of open requests has reached the limit of the settings.
    TooManyOpenRequests,
    /// The part of the memory budget that is available to requests can't hold the request.
    MemoryShort,
    /// The client would stop waiting before the request is processed.
    TooLate,
}

impl RejectionReason {
    /// All reasons, in the order in which they are checked.
    pub const ALL: [RejectionReason; 4] = [
        RejectionReason::ShuttingDown,
        RejectionReason::TooManyOpenRequests,
        RejectionReason::MemoryShort,
        RejectionReason::TooLate,
    ];

    fn applies(self, input: &AdmissionInput) -> bool {
        match self {
            RejectionReason::ShuttingDown => input.shutting_down,
            RejectionReason::TooManyOpenRequests => input.open_requests >= input.max_open_requests,
            RejectionReason::MemoryShort => input.memory.is_err(),
            RejectionReason::TooLate => {
                !ReadScheduler::can_meet_deadline(input.now_us, input.work_ahead_us, input.deadline_us())
            }
        }
    }

    /// Whether the answer has a Retry-After, if the settings enable it. The read scheduler computes its value from the
    /// queued work, which does not determine when a process has shut down or when open requests end.
    pub fn sends_retry_after(self) -> bool {
        matches!(self, RejectionReason::MemoryShort | RejectionReason::TooLate)
    }

    /// Counter for this reason, in addition to the counter of refused requests. `None`: there is no such counter.
    pub fn counter(self) -> Option<RejectionCounter> {
        match self {
            RejectionReason::ShuttingDown | RejectionReason::TooManyOpenRequests => None,
            RejectionReason::MemoryShort => Some(RejectionCounter::NoMemory),
            RejectionReason::TooLate => Some(RejectionCounter::TooLate),
        }
    }
}

/// Counters of rejections, with the names of the fields of [`crate::counters::Counters`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCounter {
    /// `no_memory`
    NoMemory,
    /// `too_late`
    TooLate,
}

/// Reasons for which a request is rejected. There is at least one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    reasons: [Option<RejectionReason>; RejectionReason::ALL.len()],
}

impl Rejection {
    /// Reasons that apply, in the order of [`RejectionReason::ALL`].
    pub fn reasons(&self) -> impl Iterator<Item = RejectionReason> {
        self.reasons.into_iter().flatten()
    }

    /// Counters to be incremented by one, in addition to the counter of refused requests.
    pub fn counters(&self) -> impl Iterator<Item = RejectionCounter> {
        self.reasons().filter_map(RejectionReason::counter)
    }

    /// Whether the answer has a Retry-After, if the settings enable it: at least one reason sends it.
    pub fn sends_retry_after(&self) -> bool {
        self.reasons().any(RejectionReason::sends_retry_after)
    }
}

/// An admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Time at which the client stops waiting, in microseconds of the gateway's clock.
    pub deadline_us: u64,
}

/// Admits or rejects a valid request.
///
/// # Errors
/// At least one [`RejectionReason`] applies.
pub fn admit(input: &AdmissionInput) -> Result<Admitted, Rejection> {
    let reasons = RejectionReason::ALL.map(|reason| reason.applies(input).then_some(reason));
    if reasons.iter().all(Option::is_none) {
        Ok(Admitted { deadline_us: input.deadline_us() })
    } else {
        Err(Rejection { reasons })
    }
}

#[cfg(test)]
mod tests;
