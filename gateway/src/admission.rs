//! Admission of client requests: whether a request that a front end has read is handed to the workload manager.
//!
//! A request passes two steps, in this order:
//!
//! 1. [`validate`]: what the request names has to be known, and its id has to be free. A violation is the client's
//!    mistake; it is answered with the text of the [`InvalidRequest`].
//! 2. [`admit`]: the gateway has to be able to serve the request. All [`RejectionReason`]s are checked, in the order of
//!    [`RejectionReason::ALL`]; those that apply are the [`Rejection`]. Nothing was sent to an engine, so that a retry
//!    is safe.
//!
//! There is no I/O and no state here: the event loop gathers the [`AdmissionInput`] and carries out the verdict.

use workload_manager::{ClassId, TenantId};
use wrenhatch_sessions::memory_budget::InsufficientMemory;
use wrenhatch_sessions::read_scheduler::ReadScheduler;

use crate::config::SettingsNames;
use crate::front::fields::RequestFields;

/// Why a request or a statement to be prepared is invalid; the text goes to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The settings have no class of this name.
    #[error("unknown class")]
    UnknownClass,
    /// The settings have no tenant of this name.
    #[error("unknown tenant")]
    UnknownTenant,
    /// Engines know a query by its id alone: a call for one of two with the same id would reach the other.
    #[error("the id is that of a request that is open")]
    DuplicateId,
}

/// What a request's fields name, as the settings number it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subject {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where the fields name one.
    pub tenant: Option<TenantId>,
}

/// Looks up what the fields name.
///
/// # Errors
/// A class, or else a tenant, that the settings don't have.
pub fn subject(names: &SettingsNames, fields: &RequestFields) -> Result<Subject, InvalidRequest> {
    let class = names.class(&fields.class).ok_or(InvalidRequest::UnknownClass)?;
    let tenant = |name: &String| names.tenant(name).ok_or(InvalidRequest::UnknownTenant);
    Ok(Subject { class, tenant: fields.tenant.as_ref().map(tenant).transpose()? })
}

/// Checks the fields of a new request. `id_in_use` says that a request or an attempt with its id is under way.
///
/// # Errors
/// An id in use, or else names that the settings don't have.
pub fn validate(
    names: &SettingsNames,
    fields: &RequestFields,
    id_in_use: bool,
) -> Result<Subject, InvalidRequest> {
    if id_in_use { Err(InvalidRequest::DuplicateId) } else { subject(names, fields) }
}

/// How long a client waits for the answer, in microseconds: as long as its request says, and never longer than the
/// deadline of its class, in seconds, as the timers of a request are kept for as long.
pub fn wait_us(requested_ms: Option<u64>, class_deadline_seconds: f64) -> u64 {
    let class_us = (class_deadline_seconds * 1e6) as u64;
    requested_ms.map_or(class_us, |ms| ms.saturating_mul(1000)).min(class_us)
}

/// What admission of a valid request depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionInput {
    /// The time, in microseconds of the gateway's clock.
    pub now_us: u64,
    /// Since when the request was there to be read: its client has waited since then.
    pub ready_us: u64,
    /// How long its client waits, as [`wait_us`] has it.
    pub wait_us: u64,
    /// Work that will be done before the request, in microseconds; 0 unless it was read ahead of its turn.
    pub work_ahead_us: u64,
    /// This process takes no new requests, as it ends.
    pub shutting_down: bool,
    /// Requests that are open.
    pub open_requests: usize,
    /// Requests that may be open.
    pub max_open_requests: usize,
    /// Whether the memory budget has the bytes of the request.
    pub memory: Result<(), InsufficientMemory>,
}

impl AdmissionInput {
    fn deadline_us(&self) -> u64 {
        self.ready_us.saturating_add(self.wait_us)
    }
}

/// Why a valid request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The process ends; another one takes the request.
    ShuttingDown,
    /// As many requests are open as the configuration allows.
    TooManyOpenRequests,
    /// Memory is short.
    MemoryShort,
    /// The request would be reached after its client has stopped waiting.
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

    /// Whether the client is sent a Retry-After: the time at which the work that waits here will be done. That says
    /// nothing of a process that ends or of requests that stay open.
    pub fn sends_retry_after(self) -> bool {
        matches!(self, RejectionReason::MemoryShort | RejectionReason::TooLate)
    }

    /// The counter of its rejections; each is counted as refused beside it.
    pub fn counter(self) -> Option<RejectionCounter> {
        match self {
            RejectionReason::ShuttingDown | RejectionReason::TooManyOpenRequests => None,
            RejectionReason::MemoryShort => Some(RejectionCounter::NoMemory),
            RejectionReason::TooLate => Some(RejectionCounter::TooLate),
        }
    }
}

/// Counters of rejections, named as [`crate::counters::Counters`] has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCounter {
    /// `no_memory`
    NoMemory,
    /// `too_late`
    TooLate,
}

/// The reasons for which a request is rejected; at least one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    reasons: [Option<RejectionReason>; RejectionReason::ALL.len()],
}

impl Rejection {
    /// The reasons, in the order of [`RejectionReason::ALL`].
    pub fn reasons(&self) -> impl Iterator<Item = RejectionReason> {
        self.reasons.into_iter().flatten()
    }

    /// The counters, each of which counts the request once.
    pub fn counters(&self) -> impl Iterator<Item = RejectionCounter> {
        self.reasons().filter_map(RejectionReason::counter)
    }

    /// Whether the client is sent a Retry-After: one reason that sends it is enough.
    pub fn sends_retry_after(&self) -> bool {
        self.reasons().any(RejectionReason::sends_retry_after)
    }
}

/// The terms on which a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// When its client stops waiting, in microseconds of the gateway's clock.
    pub deadline_us: u64,
}

/// Admits a valid request, or rejects it.
///
/// # Errors
/// All reasons to reject it.
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
