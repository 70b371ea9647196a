//! Statement ids for the MySQL front end: the high-water mark that the processes of a gateway share in a file, and the
//! sessions that wait for an id.

use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::path::PathBuf;

use rustix::fs::{FlockOperation, flock};
use wrenhatch_sessions::session_table::Handle;

use super::sessions::ProtocolSession;
use super::{NetTimer, Server, shared_files};
use crate::config::Config;
use crate::front::mysql::statement_ids::{HighWaterMark, Reservation, StatementIds};

/// Time until the clock has passed more numbers, or until another process has released the lock.
const RETRY_US: u64 = 1000;
/// Limit on what is read of the file. A longer file is not an encoded high-water mark.
const MAX_FILE_BYTES: u64 = 64;

/// Where the high-water mark is stored.
#[derive(Debug)]
enum HighWaterMarkStore {
    /// A file that is locked during each reservation.
    File(PathBuf),
    /// Without a directory that processes share, there is no replacement and no other process.
    Memory(Option<HighWaterMark>),
}

impl HighWaterMarkStore {
    /// Makes a reservation and stores its high-water mark. `None` if another process has locked the file.
    ///
    /// # Errors
    /// Opening, locking, reading or writing the file failed. The stored high-water mark may be incomplete.
    fn update(
        &mut self,
        reserve: impl FnOnce(Option<HighWaterMark>) -> Reservation,
    ) -> io::Result<Option<Reservation>> {
        match self {
            HighWaterMarkStore::Memory(stored) => {
                let reservation = reserve(*stored);
                *stored = Some(reservation.mark);
                Ok(Some(reservation))
            }
            HighWaterMarkStore::File(path) => {
                let mut file =
                    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
                // Closing the file releases the lock.
                match flock(&file, FlockOperation::NonBlockingLockExclusive) {
                    Err(rustix::io::Errno::WOULDBLOCK) => return Ok(None),
                    other => other?,
                }
                let reservation = reserve(read_high_water_mark(&mut file)?);
                file.rewind()?;
                file.write_all(reservation.mark.encode().as_bytes())?;
                Ok(Some(reservation))
            }
        }
    }
}

fn read_high_water_mark(file: &mut File) -> io::Result<Option<HighWaterMark>> {
    let mut text = Vec::new();
    file.take(MAX_FILE_BYTES).read_to_end(&mut text)?;
    Ok(HighWaterMark::decode(&text))
}

/// The statement ids of this process, and the sessions that wait for one.
pub struct StatementIdSource {
    ids: StatementIds,
    store: HighWaterMarkStore,
    /// The last access to the high-water mark failed.
    has_failed: bool,
    waiting: VecDeque<Handle>,
    /// The timer for the waiting sessions is armed.
    is_timer_armed: bool,
}

impl StatementIdSource {
    /// Prepares the high-water mark, if the MySQL front end is enabled. An error is repeated when an id is needed.
    pub fn new(config: &Config, unix_us: u64) -> Self {
        let store = match shared_files::path(config, "statement-ids") {
            Some(path) => HighWaterMarkStore::File(path),
            None => HighWaterMarkStore::Memory(None),
        };
        let mut source = Self {
            ids: StatementIds::new(&config.name),
            store,
            has_failed: false,
            waiting: VecDeque::new(),
            is_timer_armed: false,
        };
        if config.mysql.is_some() {
            // An error is logged, and repeated by the first reservation.
            let _ = source.reserve(|ids, stored| ids.initial_reservation(stored, unix_us));
        }
        source
    }

    /// Whether any session waits for an id.
    pub fn is_awaited(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The next statement id. `None` if none is available at this time.
    ///
    /// # Errors
    /// The high-water mark can't be read or written, so that another process may hand out the same ids.
    fn next(&mut self, unix_us: u64) -> io::Result<Option<u32>> {
        if let Some(id) = self.ids.take(unix_us) {
            return Ok(Some(id));
        }
        self.reserve(|ids, stored| ids.next_reservation(stored, unix_us))?;
        Ok(self.ids.take(unix_us))
    }

    /// Adds the numbers of a reservation, unless another process has locked the high-water mark. Logs the first of
    /// several errors in a row.
    fn reserve(
        &mut self,
        choose: impl FnOnce(&mut StatementIds, Option<HighWaterMark>) -> Reservation,
    ) -> io::Result<()> {
        let ids = &mut self.ids;
        let result = self.store.update(|stored| {
            let reservation = choose(ids, stored);
            tracing::debug!(?stored, ?reservation, "statement ids reserved");
            reservation
        });
        let had_failed = std::mem::replace(&mut self.has_failed, result.is_err());
        if let (Err(error), false) = (&result, had_failed) {
            let store = &self.store;
            tracing::error!(%error, ?store, "no statement can be prepared: no access to the statement ids");
        }
        if let Some(reservation) = result? {
            self.ids.add(reservation);
        }
        Ok(())
    }
}

impl Server {
    /// Answers the request to prepare a statement whose fields are valid: with an id, with an error, or once an id is
    /// available.
    pub(super) fn assign_statement_id(&mut self, handle: Handle) {
        if self.statement_ids.is_awaited() || !self.try_assign_statement_id(handle) {
            self.await_statement_id(handle);
        }
    }

    fn await_statement_id(&mut self, handle: Handle) {
        self.statement_ids.waiting.push_back(handle);
        self.arm_statement_id_timer();
    }

    fn arm_statement_id_timer(&mut self) {
        if !std::mem::replace(&mut self.statement_ids.is_timer_armed, true) {
            self.timers.arm(self.time.now_us + RETRY_US, NetTimer::StatementIds);
        }
    }

    /// Assigns ids to the waiting sessions, in order, while ids are available. A session that waits again for its next
    /// statement has to wait for the next timer.
    pub(super) fn assign_awaited_statement_ids(&mut self) {
        self.statement_ids.is_timer_armed = false;
        for _ in 0..self.statement_ids.waiting.len() {
            let Some(handle) = self.statement_ids.waiting.pop_front() else { break };
            if !self.try_assign_statement_id(handle) {
                self.statement_ids.waiting.push_front(handle);
                break;
            }
            // Messages behind the statement are handled now.
            self.read_messages(handle);
        }
        if self.statement_ids.is_awaited() {
            self.arm_statement_id_timer();
        }
    }

    /// Returns false if the session's statement needs an id and none is available.
    fn try_assign_statement_id(&mut self, handle: Handle) -> bool {
        let Some(session) = self.sessions.table.active_mut(handle) else { return true };
        let ProtocolSession::MySql(mysql) = &mut session.protocol else { return true };
        let output = &mut session.connection.output;
        while mysql.is_preparing() {
            match self.statement_ids.next(self.time.unix_us()) {
                // An id of a session that is older than the period of ids may still be in use.
                Ok(Some(statement_id)) if mysql.has_statement(statement_id) => {}
                Ok(Some(statement_id)) => {
                    mysql.complete_prepare(statement_id, output);
                    let statement_bytes = mysql.statement_bytes();
                    tracing::debug!(statement_id, session = ?handle, statement_bytes, "statement prepared");
                }
                Ok(None) => return false,
                Err(_) => mysql.fail_prepare("No id is available for the statement", output),
            }
        }
        true
    }
}
