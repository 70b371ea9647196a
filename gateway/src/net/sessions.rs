//! What is kept of clients: the table of their sessions, who waits to be read, and the memory that they hold.

use std::cell::Cell;
use std::fmt;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::rc::Rc;

use workload_manager::RequestId;
use wrenhatch_sessions::memory_budget::{MemoryBudget, MemoryPurpose};
use wrenhatch_sessions::read_scheduler::{ReadLimits, ReadPriority, ReadScheduler, Work};
use wrenhatch_sessions::session_table::{Activity, Handle, SessionTable};
use wrenhatch_sessions::timer_wheel::TimerId;

use super::conn::{Conn, MOST_UNSENT, Phase};
use super::listeners::Front;
use super::{SESSION, own_descriptors};
use crate::config::Config;
use crate::front::{ClientCommand, FinalAnswer, mysql, pg};
use crate::mysql_protocol::{MAX_PACKET_BYTES, SqlError, write_packet};

/// How long a client may take to start its session, and to end a message that it began: it is owed a word
/// within 3 s.
pub const UNFINISHED_US: u64 = 2_500_000;
/// How long a client has for reading its last word, and for sending what is thrown away meanwhile.
pub const CLOSE_US: u64 = 4_000_000;
/// Share of the memory for messages being read. Each is held up to three times: read, kept for another
/// attempt, being written.
const MESSAGES: usize = 8;
const LONGEST_MESSAGE: std::ops::RangeInclusive<usize> = 8 * 1024..=MAX_PACKET_BYTES;
/// Fewer that have not got on are no crowd, and each is given its time.
const LEAST_CROWD: usize = 32;
/// A tenant's group has this bit, an address's does not.
const TENANT: u32 = 1 << 31;

/// A session of either front that is at work.
pub enum Session {
    Pg(pg::Session),
    MySql(Box<mysql::Session>),
}

impl Session {
    pub fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Option<ClientCommand> {
        match self {
            Session::Pg(s) => s.read(input, out),
            Session::MySql(s) => s.read(input, out),
        }
    }

    pub fn is_starting(&self) -> bool {
        match self {
            Session::Pg(s) => s.is_starting(),
            Session::MySql(s) => s.is_starting(),
        }
    }

    pub fn turn_away(&mut self, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.turn_away(out),
            Session::MySql(s) => s.turn_away(out),
        }
    }

    pub fn time_out(&mut self, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.time_out(out),
            Session::MySql(s) => s.time_out(out),
        }
    }

    pub fn out_of_memory(&mut self, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.out_of_memory(out),
            Session::MySql(s) => s.out_of_memory(out),
        }
    }

    pub fn reject(&mut self, text: &str, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.reject(text, out),
            Session::MySql(s) => s.reject(text, out),
        }
    }

    pub fn overrun(&mut self, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.overrun(out),
            Session::MySql(s) => s.overrun(out),
        }
    }

    pub fn shut_down(&mut self, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.shut_down(out),
            Session::MySql(s) => s.shut_down(out),
        }
    }

    pub fn answer(&mut self, answer: FinalAnswer<'_>, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.answer(answer, out),
            Session::MySql(s) => s.answer(answer, out),
        }
    }

    fn statement_bytes(&self) -> usize {
        match self {
            Session::Pg(_) => 0,
            Session::MySql(s) => s.statement_bytes(),
        }
    }
}

/// The word for one who can't even be held for long enough to be told more.
pub fn no_place(front: Front) -> Vec<u8> {
    let mut out = Vec::new();
    match front {
        Front::Pg => pg::Session::new((0, 0), 0).turn_away(&mut out),
        Front::MySql => {
            write_packet(&mut out, &mut 0, &SqlError::new(1040, "08004", "Too many connections").payload())
        }
    }
    out
}

/// What a session at work holds, as it is booked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Booked {
    buffers: usize,
    statements: usize,
}

/// A session at work.
pub struct Live {
    pub conn: Conn,
    pub session: Session,
    /// With the number of its slot, what a CancelRequest must carry.
    pub secret: u32,
    /// Whose turn its turns count as: an address's, or a tenant's once it is known.
    pub group: u32,
    pub open: Option<RequestId>,
    /// Since when it has owed the rest of its start or of a message, or its end.
    pub owes_us: Option<u64>,
    pub timer: Option<(u64, TimerId)>,
    /// Since when the message being read was ready to be.
    pub ready_us: u64,
    /// It is read ahead of its turn, as it might be reached too late.
    pub early: bool,
    /// More is there than was taken in its last turn.
    pub more: bool,
    /// It stands among those to be settled at the end of this turn.
    pub dirty: bool,
    booked: Booked,
}

impl Live {
    fn new(conn: Conn, session: Session, secret: u32, group: u32) -> Self {
        Self {
            conn,
            session,
            secret,
            group,
            open: None,
            owes_us: None,
            timer: None,
            ready_us: 0,
            early: false,
            more: false,
            dirty: false,
            booked: Booked::default(),
        }
    }

    /// A request of it is taken: from here on its end is seen whatever it sends.
    pub fn opens(&mut self, id: RequestId) {
        (self.open, self.conn.watched) = (Some(id), true);
    }

    /// Its request is over.
    pub fn closes(&mut self) -> Option<RequestId> {
        self.conn.watched = false;
        self.open.take()
    }

    /// What it is there for.
    pub fn used(&self) -> Activity {
        match self.owes_us {
            Some(_) if self.conn.phase == Phase::Closing => Activity::Closing,
            _ if self.open.is_some() => Activity::Busy,
            Some(_) => Activity::IncompleteMessage,
            None if !self.conn.output.is_empty() => Activity::UnreadOutput,
            None if self.session.statement_bytes() > 0 => Activity::IdleWithStatements,
            None => Activity::Idle,
        }
    }

    /// Whether it would get on by itself, with what has come already or still stands in its socket.
    pub fn has_more(&self) -> bool {
        self.more && (self.open.is_some() || self.conn.output.len() <= MOST_UNSENT)
    }

    /// When it must have got on.
    pub fn due_us(&self) -> Option<u64> {
        let limit_us = if self.conn.phase == Phase::Closing { CLOSE_US } else { UNFINISHED_US };
        self.owes_us.map(|since_us| since_us + limit_us)
    }
}

enum Asleep {
    Pg,
    MySql(mysql::Parked),
}

/// A session that is parked.
pub struct Parked {
    stream: TcpStream,
    secret: u32,
    group: u32,
    asleep: Asleep,
}

impl Parked {
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn statement_bytes(&self) -> usize {
        match &self.asleep {
            Asleep::Pg => 0,
            Asleep::MySql(parked) => parked.statement_bytes(),
        }
    }
}

/// Bytes of what is kept of a parked session in its slot.
pub const PARKED_BYTES: usize = size_of::<Parked>();
/// Bytes of a session at work, without its buffers.
pub const SESSION_BYTES: usize = size_of::<Live>();

/// The sessions of all clients.
pub struct Sessions {
    pub table: SessionTable<Parked, Live>,
    pub scheduler: ReadScheduler,
    pub memory: MemoryBudget,
    /// Sessions that something has happened to in this turn.
    pub dirty: Vec<Handle>,
    /// Sessions that are held at most.
    pub most: usize,
    /// The longest message taken from a client.
    pub longest_message: usize,
    /// The next handle of a prepared statement, over all sessions.
    handles: Rc<Cell<u32>>,
    secrets: u64,
    /// Rings when the longest idle session may have been idle for too long.
    pub idle_timer: Option<TimerId>,
}

/// Clients hold a third of the descriptors at most by contract; a few more are let in, and what is left is enough
/// for an attempt of each of them with its calls beside.
pub fn most_clients(config: &Config) -> usize {
    config.clients.max_sessions.unwrap_or(config.max_descriptors / 3 + 16)
}

/// Connections that engines may have. Two processes of one gateway share its descriptors: clients are at one or the
/// other, and of what is left each has half.
pub fn most_engine_conns(config: &Config, alone: bool) -> usize {
    let own = own_descriptors(config);
    let most = config.max_descriptors.saturating_sub(most_clients(config) + own);
    if alone { most } else { most.saturating_sub(own) / 2 }
}

/// The group of an address.
fn group(address: SocketAddr) -> u32 {
    let bits = match address.ip() {
        IpAddr::V4(ip) => ip.to_bits(),
        // The network half names the client; the other half is its own to choose.
        IpAddr::V6(ip) => (ip.to_bits() >> 64) as u32 ^ (ip.to_bits() >> 96) as u32,
    };
    bits & !TENANT
}

/// The scheduler's limits. `deadlines` are those of the classes that new requests may have, in seconds.
pub fn governor_limits(config: &Config, deadlines: impl Iterator<Item = f64>) -> ReadLimits {
    let max_retry_after_ms = (config.settings.capabilities.max_retry_after * 1e3) as u64;
    let patience = deadlines.fold(f64::INFINITY, f64::min);
    ReadLimits {
        turn_us: config.clients.turn_us,
        messages_per_turn: config.clients.messages_per_turn,
        bytes_per_turn: config.clients.bytes_per_turn,
        min_retry_after_ms: ReadLimits::default().min_retry_after_ms.min(max_retry_after_ms),
        max_retry_after_ms,
        shortest_deadline_us: (patience.min(1e6) * 1e6) as u64,
    }
}

impl Sessions {
    /// `salt` is this process's own: another one of the same gateway may have the same seed, and a CancelRequest must
    /// not name a session of each.
    pub fn new(config: &Config, salt: u64) -> Self {
        let most = most_clients(config);
        let share = config.memory_bytes / MESSAGES / most.max(1);
        let longest_message = share.clamp(*LONGEST_MESSAGE.start(), *LONGEST_MESSAGE.end());
        let deadlines = config.settings.classes.iter().map(|c| c.deadline);
        Self {
            table: SessionTable::new(),
            scheduler: ReadScheduler::new(governor_limits(config, deadlines)),
            memory: MemoryBudget::new(config.memory_bytes),
            dirty: Vec::new(),
            most,
            longest_message,
            handles: Rc::new(Cell::new((config.seed as u32).max(1))),
            secrets: config.seed ^ salt,
            idle_timer: None,
        }
    }

    pub fn key(who: Handle) -> u64 {
        SESSION | who.to_bits()
    }

    /// A number that no client can guess: a multiplicative sequence over a seed of this start.
    pub fn secret(&mut self) -> u32 {
        self.secrets =
            self.secrets.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.secrets >> 32) as u32
    }

    /// A random number from 0 to 1.
    pub fn chance(&mut self) -> f64 {
        f64::from(self.secret()) / f64::from(u32::MAX)
    }

    /// An id for a query whose client gave none, as 16 hex digits.
    pub fn new_query_id(&mut self) -> String {
        let (high, low) = (self.secret(), self.secret());
        format!("{high:08x}{low:08x}")
    }

    /// Whether whoever comes next needs another's place.
    pub fn is_full(&self) -> bool {
        self.table.len() >= self.most
    }

    /// Whose place another may have.
    pub fn yields(&self, now_us: u64) -> Option<Handle> {
        self.table.eviction_candidate(now_us, (self.most / 4).max(LEAST_CROWD))
    }

    /// No more than this is read ahead from a client.
    pub fn read_ahead(&self) -> usize {
        self.longest_message + 1024
    }

    /// Bytes that one more session takes.
    pub const fn bytes_of_one() -> usize {
        SessionTable::<Parked, Live>::slot_bytes() + size_of::<Live>()
    }

    /// Takes a session in.
    pub fn insert(
        &mut self,
        conn: Conn,
        front: Front,
        from: SocketAddr,
        config: &Config,
        now_us: u64,
    ) -> Handle {
        let who = self.table.next_handle();
        let mut conn = conn;
        let key = (who.index + 1, self.secret());
        let session = match (front, &config.mysql) {
            (Front::MySql, Some(m)) => {
                let mut scramble = [0; 20];
                for part in scramble.chunks_mut(4) {
                    part.copy_from_slice(&self.secret().to_le_bytes());
                }
                let (directory, handles) = (m.directory.clone(), self.handles.clone());
                let session = mysql::Session::new(key.0, scramble, directory, handles, &mut conn.output);
                Session::MySql(Box::new(session))
            }
            _ => Session::Pg(pg::Session::new(key, self.longest_message)),
        };
        self.memory.reserve(MemoryPurpose::Sessions, Self::bytes_of_one());
        self.table.insert(now_us, Box::new(Live::new(conn, session, key.1, group(from))))
    }

    /// Sees to it that a session is at work; false if it has ended.
    pub fn wake(&mut self, who: Handle, config: &Config, now_us: u64) -> bool {
        let (longest, ahead) = (self.longest_message, self.read_ahead());
        let memory = &mut self.memory;
        let handles = &self.handles;
        self.table.resume(who, now_us, |parked| {
            let statements = parked.statement_bytes();
            let session = match (parked.asleep, &config.mysql) {
                (Asleep::MySql(p), Some(m)) => {
                    Session::MySql(Box::new(mysql::Session::resume(p, m.directory.clone(), handles.clone())))
                }
                _ => Session::Pg(pg::Session::resume((who.index + 1, parked.secret), longest)),
            };
            memory.reserve(MemoryPurpose::Sessions, size_of::<Live>());
            let conn = Conn::resume(parked.stream, ahead);
            let mut live = Live::new(conn, session, parked.secret, parked.group);
            live.booked.statements = statements;
            Box::new(live)
        })
    }

    /// Parks a session if it is idle. What it held beyond its slot is given back.
    pub fn park(&mut self, who: Handle) -> bool {
        let mut buffers = 0;
        let parked = self.table.suspend(who, |live| {
            let idle = match &live.session {
                Session::Pg(s) => s.is_idle(),
                Session::MySql(s) => s.is_idle(),
            };
            if !idle || live.open.is_some() || live.owes_us.is_some() || live.timer.is_some() || live.more {
                return Err(live);
            }
            let mut live = live;
            match live.conn.park() {
                Ok(stream) => {
                    let asleep = match live.session {
                        Session::Pg(_) => Asleep::Pg,
                        Session::MySql(s) => Asleep::MySql(s.park()),
                    };
                    buffers = live.booked.buffers;
                    Ok(Parked { stream, secret: live.secret, group: live.group, asleep })
                }
                Err(conn) => {
                    live.conn = conn;
                    Err(live)
                }
            }
        });
        if parked {
            self.memory.release(MemoryPurpose::Sessions, size_of::<Live>());
            self.memory.release(MemoryPurpose::Buffers, buffers);
        }
        parked
    }

    /// Books what a session at work holds now.
    pub fn book(&mut self, who: Handle) {
        let Some(live) = self.table.active_mut(who) else { return };
        let now = Booked { buffers: live.conn.buffered(), statements: live.session.statement_bytes() };
        let before = std::mem::replace(&mut live.booked, now);
        self.memory.resize(MemoryPurpose::Buffers, before.buffers, now.buffers);
        self.memory.resize(MemoryPurpose::Statements, before.statements, now.statements);
    }

    /// Books that a session has ended.
    pub fn unbook_live(&mut self, live: &Live) {
        self.memory.release(MemoryPurpose::Sessions, Self::bytes_of_one());
        self.memory.release(MemoryPurpose::Buffers, live.booked.buffers);
        self.memory.release(MemoryPurpose::Statements, live.booked.statements);
    }

    /// Books that a parked session has ended.
    pub fn unbook_parked(&mut self, parked: &Parked) {
        self.memory.release(MemoryPurpose::Sessions, SessionTable::<Parked, Live>::slot_bytes());
        self.memory.release(MemoryPurpose::Statements, parked.statement_bytes());
    }

    /// What a CancelRequest for this session must carry.
    pub fn secret_of(&self, who: Handle) -> Option<u32> {
        let parked = || self.table.suspended(who).map(|parked| parked.secret);
        self.table.active(who).map(|live| live.secret).or_else(parked)
    }

    /// Something has happened to a session at work.
    pub fn touch(&mut self, who: Handle) {
        if let Some(live) = self.table.active_mut(who) {
            if !std::mem::replace(&mut live.dirty, true) {
                self.dirty.push(who);
            }
        }
    }

    /// A session can be read: it waits for its turn.
    pub fn queue(&mut self, who: Handle, now_us: u64) {
        let (standing, group) = match (self.table.active(who), self.table.suspended(who)) {
            (Some(live), _) if live.open.is_some() || live.conn.phase == Phase::Closing => {
                (ReadPriority::OpenRequest, live.group)
            }
            (Some(live), _) if live.session.is_starting() => (ReadPriority::Starting, live.group),
            (Some(live), _) => (ReadPriority::PartialMessage, live.group),
            (None, Some(parked)) => {
                let since_us = self.table.activity(who).map_or(0, |(_, since_us)| since_us);
                let active = now_us < since_us + wrenhatch_sessions::read_scheduler::RECENTLY_ACTIVE_US;
                (if active { ReadPriority::RecentlyActive } else { ReadPriority::LongIdle }, parked.group)
            }
            (None, None) => return,
        };
        if self.table.set_queued(who) {
            self.scheduler.enqueue(who, standing, group, now_us);
            // What has come may be a request: until it is read the place is nobody else's.
            if self
                .table
                .activity(who)
                .is_some_and(|(used, _)| matches!(used, Activity::Idle | Activity::IdleWithStatements))
            {
                self.table.set_activity(who, Activity::Busy, now_us);
            }
        }
    }

    /// Notes the tenant of a session's request: its turns count as that tenant's from now on.
    pub fn set_tenant(&mut self, who: Handle, tenant: usize) {
        if let Some(live) = self.table.active_mut(who) {
            live.group = TENANT | tenant as u32;
        }
    }

    /// Whether answers are still being written.
    pub fn is_writing(&self) -> bool {
        self.table.all_active().any(|live| !live.conn.output.is_empty())
    }
}

impl fmt::Display for Sessions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "all={} parked={} ", self.table.len(), self.table.suspended_count())?;
        for activity in Activity::LISTED {
            write!(f, "{}={} ", activity.name(), self.table.count(activity))?;
        }
        let Self { memory, scheduler, .. } = self;
        write!(f, "held={} most_held={} bound={} ", memory.total(), memory.peak(), memory.limit())?;
        for purpose in MemoryPurpose::ALL {
            write!(f, "held_{}={} ", purpose.name(), memory.held(purpose))?;
        }
        write!(f, "waiting={} deferred={}", scheduler.waiting(), scheduler.deferred())?;
        write!(f, " longest_turn_us={}", scheduler.longest_turn_us())?;
        for priority in ReadPriority::ALL {
            write!(f, " longest_{}_us={}", priority.name(), scheduler.longest_wait_us(priority))?;
        }
        for work in [Work::Accept, Work::Read, Work::Request, Work::Event] {
            write!(f, " {}_us={:.1}", work.name(), scheduler.costs().cost_us(work))?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
