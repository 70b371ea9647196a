//! Reachability of a control machine, set by scripts and applied by the simulation.

/// Reachability of a control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlState {
    /// Accepts connections and streams the list.
    Serving,
    /// The machine is up without its process: connections are refused.
    Down,
    /// The machine sends no packets: connection attempts time out.
    Unreachable,
}
