//! Connects the core with the leases of order keys: passes events of peer processes to [`super::key_leases`] and
//! carries out its effects.

use workload_manager::Event;

use super::key_leases::LeaseEffect;
use super::timers::Timer;
use super::{Command, Core, PeerProcessEvent, PeerProcessId};

impl Core {
    /// Time until which no peer process may use the keys that this process has used, if this process exits at `now_us`,
    /// in microseconds. `abandon_timeout_us` is the time after which engines drop the attempts of an exited gateway.
    pub fn exit_cooldown_end_us(&self, now_us: u64, abandon_timeout_us: u64) -> u64 {
        let has_keyed_attempts = !self.unconfirmed_attempts.is_empty()
            || self.in_flight.iter().any(|attempt| attempt.key.is_some());
        let attempts_cooldown_end_us =
            if has_keyed_attempts { self.key_cooldown_end_us(now_us + abandon_timeout_us) } else { now_us };
        attempts_cooldown_end_us.max(self.leases.last_cooldown_end_us())
    }

    /// End of a key's cooldown after an attempt that an engine may run until `may_run_until_us`, in microseconds.
    pub fn key_cooldown_end_us(&self, may_run_until_us: u64) -> u64 {
        self.rules.key_cooldown_end_us(may_run_until_us)
    }

    pub(super) fn on_peer_event(&mut self, now_us: u64, peer: PeerProcessId, event: PeerProcessEvent) {
        let effects = &mut self.lease_effects;
        match event {
            PeerProcessEvent::BecamePredecessor => self.leases.set_predecessor(peer),
            PeerProcessEvent::ClaimsLease(key) => self.leases.on_peer_claim(now_us, key, peer, effects),
            PeerProcessEvent::GrantsLease(key) => self.leases.on_peer_grant(now_us, key, peer, effects),
            PeerProcessEvent::Exited { cooldown_until_us } => {
                self.leases.on_peer_exited(now_us, peer, cooldown_until_us, effects);
            }
        }
    }

    pub(super) fn carry_out_lease_effects(&mut self, commands: &mut Vec<Command>) {
        for effect in std::mem::take(&mut self.lease_effects) {
            match effect {
                LeaseEffect::Claim { key, holder } => commands.push(Command::ClaimLease { key, holder }),
                LeaseEffect::Grant { key, to } => commands.push(Command::GrantLease { key, to }),
                LeaseEffect::WakeAt { key, at_us } => drop(self.timers.arm(at_us, Timer::KeyCooldown(key))),
                LeaseEffect::Admit(id) => {
                    let open = self.open_requests.get_mut(&id);
                    let request = open.and_then(|open| open.awaiting_lease.take());
                    self.events.extend(request.map(Event::RequestArrived));
                }
            }
        }
    }
}
