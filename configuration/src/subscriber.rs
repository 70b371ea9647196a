//! A gateway's side: which version is in force, what is taken over next, and from which control machine.

use crate::backoff::Backoff;
use crate::document::Document;
use crate::message::{Delta, Message, Report, Snapshot, VerifyError};
use crate::version::{Digest, Version};

/// A stream without a message for so long is given up, and so is one whose control machine has been behind the
/// gateway for so long. Microseconds.
pub const SILENCE_US: u64 = 6_000_000;

/// What to do after a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing.
    Nothing,
    /// Try to take this over, and say by [`Subscriber::taken`] what became of it. A later one replaces it.
    Take {
        /// The version.
        version: Version,
        /// The settings.
        document: Document,
    },
    /// A version is refused; the control machine should be told by [`Subscriber::refusal`].
    Refused {
        /// The version.
        version: Version,
        /// Why, for people.
        reason: String,
    },
    /// The stream has to be opened anew, asking by [`Subscriber::position`] or for a snapshot by version 0.
    Resync,
}

/// What a gateway says it has when it opens a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The version in force; 0 asks for a snapshot.
    pub version: Version,
    /// The digest of the settings in force.
    pub digest: Digest,
}

#[derive(Debug)]
struct Held {
    version: Version,
    document: Document,
}

#[derive(Debug)]
struct Refusal {
    version: Version,
    digest: Digest,
    reason: String,
}

/// The configuration of one gateway.
#[derive(Debug)]
pub struct Subscriber {
    in_force: Held,
    /// Handed to the gateway, which has not said yet what became of it.
    offered: Option<Held>,
    refused: Option<Refusal>,
    newest_seen: Version,
    /// The last resynchronisation was for contents that did not fit: only a snapshot helps.
    wants_snapshot: bool,
    backoff: Backoff,
    link: Link,
}

#[derive(Debug)]
enum Link {
    Down { next_attempt_us: u64 },
    Up { heard_us: u64, machine_behind_since_us: Option<u64> },
}

impl Subscriber {
    /// A gateway that has this in force, before a number of control machines; version 0: from its own file. The
    /// seed should differ from gateway to gateway.
    pub fn new(machines: usize, seed: u64, version: Version, document: Document) -> Self {
        Self {
            in_force: Held { version, document },
            offered: None,
            refused: None,
            newest_seen: version,
            wants_snapshot: false,
            backoff: Backoff::new(machines, seed),
            link: Link::Down { next_attempt_us: 0 },
        }
    }

    /// Takes a message from the stream.
    pub fn on_message(&mut self, now_us: u64, text: &str) -> Step {
        self.heard(now_us);
        let Ok(message) = Message::parse(text) else { return self.resync(true) };
        self.newest_seen = self.newest_seen.max(message.version());
        let step = match message {
            Message::Current(version) => self.on_current(now_us, version),
            Message::Delta(delta) => self.on_delta(delta),
            Message::Snapshot(snapshot) => self.on_snapshot(snapshot),
        };
        if step != Step::Resync {
            self.backoff.succeed();
        }
        step
    }

    /// Something came that is no message, such as a comment: the stream is alive.
    pub fn heard(&mut self, now_us: u64) {
        if let Link::Up { heard_us, .. } = &mut self.link {
            *heard_us = now_us;
        }
    }

    /// The gateway has tried to take over what was offered. Returns what the control machine has to be told, until
    /// it has heard it.
    pub fn taken(&mut self, version: Version, result: Result<(), String>) -> Report {
        let Some(offered) = self.offered.take_if(|offered| offered.version == version) else {
            return Report::Applied { version: self.in_force.version };
        };
        match result {
            Ok(()) => {
                self.in_force = offered;
                Report::Applied { version }
            }
            Err(reason) => {
                let report = self.refusal(version, &reason);
                self.refused = Some(Refusal { version, digest: offered.document.digest(), reason });
                report
            }
        }
    }

    /// The report of a refusal that [`Step::Refused`] tells.
    pub fn refusal(&self, version: Version, reason: &str) -> Report {
        Report::refused(version, reason, self.in_force.version)
    }

    /// The stream is open.
    pub fn connected(&mut self, now_us: u64) {
        self.link = Link::Up { heard_us: now_us, machine_behind_since_us: None };
    }

    /// The stream is closed, or could not be opened.
    pub fn disconnected(&mut self, now_us: u64) {
        let wait_us = self.backoff.fail();
        self.link = Link::Down { next_attempt_us: now_us.saturating_add(wait_us) };
    }

    /// When to open the stream; none while it is open.
    pub fn next_attempt_us(&self) -> Option<u64> {
        match self.link {
            Link::Down { next_attempt_us } => Some(next_attempt_us),
            Link::Up { .. } => None,
        }
    }

    /// The number of the control machine to go to.
    pub fn machine(&self) -> usize {
        self.backoff.machine()
    }

    /// What to say when the stream is opened.
    pub fn position(&self) -> Position {
        let version = if self.wants_snapshot { Version::NONE } else { self.in_force.version };
        Position { version, digest: self.in_force.document.digest() }
    }

    /// Whether the stream has to be closed: nothing came for [`SILENCE_US`], or the control machine has had only
    /// older versions than the gateway for so long.
    pub fn is_silent(&self, now_us: u64) -> bool {
        let is_over = |since_us: u64| now_us.saturating_sub(since_us) >= SILENCE_US;
        match self.link {
            Link::Down { .. } => false,
            Link::Up { heard_us, machine_behind_since_us } => {
                is_over(heard_us) || machine_behind_since_us.is_some_and(is_over)
            }
        }
    }

    /// The version in force; 0: none was published.
    pub fn in_force(&self) -> Version {
        self.in_force.version
    }

    /// The settings in force.
    pub fn document(&self) -> &Document {
        &self.in_force.document
    }

    /// The newest version that a control machine has told of.
    pub fn newest_seen(&self) -> Version {
        self.newest_seen
    }

    fn on_current(&mut self, now_us: u64, version: Version) -> Step {
        if let Link::Up { machine_behind_since_us, .. } = &mut self.link {
            if version < self.in_force.version {
                machine_behind_since_us.get_or_insert(now_us);
            } else {
                *machine_behind_since_us = None;
            }
        }
        Step::Nothing
    }

    fn on_delta(&mut self, delta: Delta) -> Step {
        let version = delta.to;
        if version <= self.newest_held() {
            return Step::Nothing;
        }
        if let Some(refused) = self.refused_before(version, delta.digest) {
            return refused;
        }
        let Some(base) = self.base(delta.from) else { return self.resync(false) };
        match delta.apply(base) {
            Ok(document) => self.offer(version, document),
            Err(_) => self.resync(true),
        }
    }

    fn on_snapshot(&mut self, snapshot: Snapshot) -> Step {
        let version = snapshot.version;
        self.wants_snapshot = false;
        if version == Version::NONE || version < self.newest_held() {
            return Step::Nothing;
        }
        if let Some(refused) = self.refused_before(version, snapshot.digest) {
            return refused;
        }
        if let Some(held) = self.base(version) {
            return self.compare(version, held.digest(), snapshot.digest);
        }
        match snapshot.verify() {
            Ok(document) => self.offer(version, document),
            Err(e) => self.refuse(version, &e),
        }
    }

    /// Two documents of one version: the one that is held stays.
    fn compare(&self, version: Version, held: Digest, told: Digest) -> Step {
        if held == told {
            return Step::Nothing;
        }
        let reason = format!("version {version} was published twice: {held} is held, {told} is told");
        Step::Refused { version, reason }
    }

    fn offer(&mut self, version: Version, document: Document) -> Step {
        self.offered = Some(Held { version, document: document.clone() });
        Step::Take { version, document }
    }

    fn refuse(&self, version: Version, why: &VerifyError) -> Step {
        Step::Refused { version, reason: why.to_string() }
    }

    fn refused_before(&self, version: Version, digest: Digest) -> Option<Step> {
        let refusal = self.refused.as_ref()?;
        let is_same = refusal.version == version && refusal.digest == digest;
        is_same.then(|| Step::Refused { version, reason: refusal.reason.clone() })
    }

    fn resync(&mut self, wants_snapshot: bool) -> Step {
        self.wants_snapshot |= wants_snapshot;
        Step::Resync
    }

    /// In force or on offer.
    fn newest_held(&self) -> Version {
        self.offered.as_ref().map_or(self.in_force.version, |offered| offered.version)
    }

    fn base(&self, version: Version) -> Option<&Document> {
        let held = self.offered.iter().chain([&self.in_force]).find(|held| held.version == version);
        held.map(|held| &held.document)
    }
}

#[cfg(test)]
mod tests;
