//! Whether a control machine can be reached, as scripts set it and fleets carry it out.

/// Whether a control machine can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlState {
    /// It serves.
    Serves,
    /// Its machine is up, its process is not: calls are refused.
    Ended,
    /// It is silent.
    Vanished,
}
