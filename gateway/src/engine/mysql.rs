//! The MySQL wire protocol towards an engine: one connection without its socket.

use std::collections::BTreeMap;

use crate::mysql::{self, PacketError, Param, Reader, ResultSet, SqlError, caps};

const WANTED: u32 = caps::BASE | caps::PLUGIN_AUTH | caps::DEPRECATE_EOF | caps::QUERY_ATTRIBUTES;

/// Statements that a connection keeps prepared; the oldest is closed for the next.
const MAX_PREPARED: usize = 64;
/// The bytes that a result may have.
const MAX_RESULT: usize = 128 * 1024;

/// Who the gateway is to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Login {
    /// User.
    pub user: String,
    /// Password.
    pub password: String,
}

/// What a connection is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Run a statement, with attributes beside it.
    Query(Vec<u8>, Vec<Param>),
    /// Run a prepared statement with its parameters, and attributes beside them.
    Execute(Vec<u8>, Vec<Param>, Vec<Param>),
}

/// What came of reading.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The connection takes work.
    Ready,
    /// The statement of the work is prepared here; [`Session::execute`] sends it.
    Prepared,
    /// The work is done.
    Completed(ResultSet),
    /// The engine turned the connection away: nothing ran.
    ConnectionRejected(SqlError),
    /// The work ended in an error of the engine's.
    Failed(SqlError),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Greeting,
    Authenticating,
    Idle,
    Preparing,
    /// So many packets of the answer to PREPARE are still to come.
    PreparedRest(usize),
    Prepared,
    Running,
    Columns(usize),
    /// The end of the column definitions, where the engine sends one.
    ColumnsEnd,
    Rows,
}

/// One connection.
pub struct Session {
    state: State,
    login: Login,
    caps: u32,
    /// The engine's number for this connection.
    pub connection_id: u32,
    sequence: u8,
    /// Statement numbers on this connection, by text, and when each was last used.
    prepared: BTreeMap<Vec<u8>, (u32, u64)>,
    uses: u64,
    work: Option<Work>,
    columns: Vec<Vec<u8>>,
    rows: Vec<Vec<u8>>,
    size: usize,
    /// The bytes that run the work have been written.
    sent: bool,
}

impl Session {
    /// A connection that waits for its engine's greeting.
    pub fn new(login: Login) -> Self {
        Self {
            state: State::Greeting,
            login,
            caps: 0,
            connection_id: 0,
            sequence: 0,
            prepared: BTreeMap::new(),
            uses: 0,
            work: None,
            columns: Vec::new(),
            rows: Vec::new(),
            size: 0,
            sent: false,
        }
    }

    /// Whether work can be given to it.
    pub fn is_ready(&self) -> bool {
        self.state == State::Idle
    }

    /// Whether its engine has yet to let it in.
    pub fn is_authenticating(&self) -> bool {
        matches!(self.state, State::Greeting | State::Authenticating)
    }

    /// Whether the work may have run: false until the first byte that runs it was written.
    pub fn may_have_run(&self) -> bool {
        self.sent
    }

    /// Whether this statement is prepared here.
    pub fn has_prepared(&self, sql: &[u8]) -> bool {
        self.prepared.contains_key(sql)
    }

    /// Starts work on a connection that is up.
    pub fn start(&mut self, work: Work, out: &mut Vec<u8>) {
        debug_assert!(self.is_ready());
        (self.sent, self.size) = (false, 0);
        let unknown = match &work {
            Work::Execute(sql, ..) if !self.prepared.contains_key(sql) => Some(sql.clone()),
            _ => None,
        };
        self.work = Some(work);
        match unknown {
            Some(sql) => {
                self.evict(out);
                self.command(0x16, &sql, out);
                self.state = State::Preparing;
            }
            None => self.execute(out),
        }
    }

    fn evict(&mut self, out: &mut Vec<u8>) {
        if self.prepared.len() < MAX_PREPARED {
            return;
        }
        let oldest = self.prepared.iter().min_by_key(|(_, (_, used))| *used).map(|(sql, _)| sql.clone());
        if let Some((id, _)) = oldest.and_then(|sql| self.prepared.remove(&sql)) {
            self.command(0x19, &id.to_le_bytes(), out);
        }
    }

    fn command(&mut self, kind: u8, body: &[u8], out: &mut Vec<u8>) {
        let mut p = vec![kind];
        p.extend(body);
        self.sequence = 0;
        mysql::put_packet(out, &mut self.sequence, &p);
    }

    /// Ends another connection of the same engine, with what runs there.
    pub fn kill(&mut self, connection_id: u32, out: &mut Vec<u8>) {
        self.start(Work::Query(format!("KILL {connection_id}").into_bytes(), Vec::new()), out);
    }

    /// Sends the work itself.
    pub fn execute(&mut self, out: &mut Vec<u8>) {
        let attributed = self.caps & caps::QUERY_ATTRIBUTES != 0;
        let (kind, body) = match &self.work {
            None => return,
            Some(Work::Query(sql, attributes)) => {
                let mut p = Vec::new();
                if attributed {
                    mysql::put_lenenc(&mut p, attributes.len() as u64);
                    p.push(1);
                    mysql::put_params(&mut p, attributes, true);
                }
                p.extend(sql);
                (0x03, p)
            }
            Some(Work::Execute(sql, params, attributes)) => {
                self.uses += 1;
                let uses = self.uses;
                let Some((id, used)) = self.prepared.get_mut(sql) else { return };
                *used = uses;
                let mut p = id.to_le_bytes().to_vec();
                let mut all = params.clone();
                if attributed {
                    all.extend(attributes.iter().cloned());
                }
                p.push(if attributed { 0x08 } else { 0 });
                p.extend(1_u32.to_le_bytes());
                if attributed {
                    mysql::put_lenenc(&mut p, all.len() as u64);
                }
                mysql::put_params(&mut p, &all, attributed);
                (0x17, p)
            }
        };
        self.command(kind, &body, out);
        self.sent = true;
        self.state = State::Running;
    }

    /// Reads one event from what has come.
    pub fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<Option<Event>, PacketError> {
        while let Some((sequence, payload)) = mysql::packet(input)? {
            self.sequence = sequence.wrapping_add(1);
            if let Some(event) = self.payload(payload, out)? {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    fn payload(&mut self, p: Vec<u8>, out: &mut Vec<u8>) -> Result<Option<Event>, PacketError> {
        let first = *p.first().ok_or(PacketError::Malformed)?;
        if first == 0xff && !matches!(self.state, State::Columns(_)) {
            return self.error(SqlError::read(&p)?, out);
        }
        match self.state {
            State::Greeting => self.greeting(&p, out).map(|()| None),
            State::Authenticating => self.authenticating(&p, out),
            // Nothing was asked.
            State::Idle | State::Prepared => Err(PacketError::Malformed),
            State::Preparing => {
                let mut r = Reader(&p[1..]);
                let id = r.int(4)? as u32;
                let (columns, params) = (r.int(2)? as usize, r.int(2)? as usize);
                if let Some(Work::Execute(sql, ..)) = &self.work {
                    self.prepared.insert(sql.clone(), (id, self.uses));
                }
                let eof = usize::from(self.caps & caps::DEPRECATE_EOF == 0);
                let rest = [columns, params].iter().filter(|n| **n > 0).map(|n| n + eof).sum();
                Ok(self.prepared_rest(rest))
            }
            State::PreparedRest(left) => Ok(self.prepared_rest(left - 1)),
            State::Running if first == 0 => {
                let mut r = Reader(&p[1..]);
                let (affected, insert_id) = (r.lenenc()?, r.lenenc()?);
                Ok(Some(self.done(ResultSet::Done { affected, insert_id })))
            }
            State::Running => {
                let columns = Reader(&p).lenenc()? as usize;
                if columns == 0 || columns > 4096 {
                    return Err(PacketError::Malformed);
                }
                (self.columns, self.rows) = (Vec::new(), Vec::new());
                self.state = State::Columns(columns);
                Ok(None)
            }
            State::Columns(left) => {
                self.keep(p, true)?;
                self.state = match left {
                    2.. => State::Columns(left - 1),
                    _ if self.caps & caps::DEPRECATE_EOF != 0 => State::Rows,
                    _ => State::ColumnsEnd,
                };
                Ok(None)
            }
            State::ColumnsEnd => {
                self.state = State::Rows;
                Ok(None)
            }
            // A row that starts so would be far longer than a packet may be.
            State::Rows if first == 0xfe => {
                let (columns, rows) = (std::mem::take(&mut self.columns), std::mem::take(&mut self.rows));
                Ok(Some(self.done(ResultSet::Rows { columns, rows })))
            }
            State::Rows => self.keep(p, false).map(|()| None),
        }
    }

    fn keep(&mut self, p: Vec<u8>, column: bool) -> Result<(), PacketError> {
        self.size += p.len() + 32;
        if self.size > MAX_RESULT {
            return Err(PacketError::TooLong);
        }
        if column {
            self.columns.push(p)
        } else {
            self.rows.push(p)
        }
        Ok(())
    }

    fn prepared_rest(&mut self, left: usize) -> Option<Event> {
        self.state = if left == 0 { State::Prepared } else { State::PreparedRest(left) };
        (left == 0).then_some(Event::Prepared)
    }

    fn done(&mut self, result: ResultSet) -> Event {
        self.state = State::Idle;
        self.work = None;
        Event::Completed(result)
    }

    fn error(&mut self, e: SqlError, out: &mut Vec<u8>) -> Result<Option<Event>, PacketError> {
        if matches!(self.state, State::Greeting | State::Authenticating) {
            return Ok(Some(Event::ConnectionRejected(e)));
        }
        // The engine has dropped the statement, so it ran nothing: the mapping alone is void.
        if let (mysql::UNKNOWN_STATEMENT, State::Running, Some(Work::Execute(sql, ..))) =
            (e.code, self.state, &self.work)
        {
            let sql = sql.clone();
            self.prepared.remove(&sql);
            self.sent = false;
            self.command(0x16, &sql, out);
            self.state = State::Preparing;
            return Ok(None);
        }
        self.state = State::Idle;
        self.work = None;
        Ok(Some(if e.blames_statement() { Event::Completed(ResultSet::Wrong(e)) } else { Event::Failed(e) }))
    }

    fn greeting(&mut self, p: &[u8], out: &mut Vec<u8>) -> Result<(), PacketError> {
        let mut r = Reader(p);
        if r.int(1)? != 10 {
            return Err(PacketError::Malformed);
        }
        r.zero_ended()?;
        self.connection_id = r.int(4)? as u32;
        let mut scramble = r.take(8)?.to_vec();
        r.take(1)?;
        let low = r.int(2)? as u32;
        r.take(3)?;
        let offered = low | (r.int(2)? as u32) << 16;
        let length = r.int(1)? as usize;
        r.take(10)?;
        scramble.extend(r.take(length.saturating_sub(9).clamp(12, 32))?);
        self.caps = offered & WANTED;
        let mut reply = self.caps.to_le_bytes().to_vec();
        reply.extend((mysql::MAX_PACKET as u32).to_le_bytes());
        reply.push(45);
        reply.extend([0; 23]);
        reply.extend(self.login.user.bytes().chain([0]));
        let answer = mysql::native_password(self.login.password.as_bytes(), &scramble);
        reply.push(answer.len() as u8);
        reply.extend(answer);
        reply.extend(mysql::NATIVE_PASSWORD.bytes().chain([0]));
        mysql::put_packet(out, &mut self.sequence, &reply);
        self.state = State::Authenticating;
        Ok(())
    }

    fn authenticating(&mut self, p: &[u8], out: &mut Vec<u8>) -> Result<Option<Event>, PacketError> {
        if p[0] == 0 {
            self.state = State::Idle;
            return Ok(Some(Event::Ready));
        }
        // The engine asks for another method; this one is known, others end here.
        let mut r = Reader(&p[1..]);
        if p[0] != 0xfe || r.zero_ended()? != mysql::NATIVE_PASSWORD.as_bytes() {
            let why = "it wants a method of authentication other than mysql_native_password";
            return Ok(Some(Event::ConnectionRejected(SqlError::new(1251, "08004", why))));
        }
        let scramble = r.0.strip_suffix(&[0]).unwrap_or(r.0);
        let answer = mysql::native_password(self.login.password.as_bytes(), scramble);
        mysql::put_packet(out, &mut self.sequence, &answer);
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    fn packets(payloads: &[&[u8]], mut sequence: u8) -> Vec<u8> {
        let mut out = Vec::new();
        payloads.iter().for_each(|p| mysql::put_packet(&mut out, &mut sequence, p));
        out
    }

    /// A session that its engine has let in.
    fn up() -> Session {
        let offered = WANTED.to_le_bytes();
        let mut greeting = b"\x0a8.0.0\0\x09\0\0\0abcdefgh\0".to_vec();
        greeting.extend([offered[0], offered[1], 45, 2, 0, offered[2], offered[3], 21]);
        greeting.extend([0; 10]);
        greeting.extend(b"ijklmnopqrst\0mysql_native_password\0");
        let mut session = Session::new(Login::default());
        let mut out = Vec::new();
        assert_eq!(session.read(&mut packets(&[&greeting], 0), &mut out), Ok(None));
        let ok = packets(&[&mysql::ok_payload(0, 0, 0)], 2);
        assert_eq!(session.read(&mut ok.clone(), &mut out), Ok(Some(Event::Ready)));
        assert_eq!(session.connection_id, 9);
        session
    }

    fn execute(sql: &[u8]) -> Work {
        Work::Execute(sql.to_vec(), Vec::new(), Vec::new())
    }

    /// The answer to a PREPARE without parameters or columns.
    fn prepared(id: u8) -> Vec<u8> {
        packets(&[&[0, id, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]], 1)
    }

    #[test]
    fn a_statement_is_prepared_once_and_runs_only_when_told_to() {
        let mut s = up();
        let mut out = Vec::new();
        s.start(execute(b"SELECT 1"), &mut out);
        assert_eq!(out[4], 0x16);
        assert_eq!(s.read(&mut prepared(5), &mut out), Ok(Some(Event::Prepared)));
        assert!(!s.may_have_run(), "it is only prepared");
        out.clear();
        s.execute(&mut out);
        assert!(s.may_have_run());
        assert_eq!(out[4..9], [0x17, 5, 0, 0, 0]);
        let done = packets(&[&mysql::ok_payload(0, 3, 4)], 1);
        let result = ResultSet::Done { affected: 3, insert_id: 4 };
        assert_eq!(s.read(&mut done.clone(), &mut out), Ok(Some(Event::Completed(result))));
        out.clear();
        s.start(execute(b"SELECT 1"), &mut out);
        assert_eq!(out[4], 0x17, "the second time it runs at once");
    }

    #[test]
    fn a_statement_that_the_engine_forgot_is_prepared_anew() {
        let mut s = up();
        let mut out = Vec::new();
        s.start(execute(b"SELECT 1"), &mut out);
        s.read(&mut prepared(5), &mut out).unwrap();
        s.execute(&mut out);
        out.clear();
        let forgot = SqlError::new(mysql::UNKNOWN_STATEMENT, "HY000", "unknown").payload();
        assert_eq!(s.read(&mut packets(&[&forgot], 1), &mut out), Ok(None));
        assert_eq!(out[4], 0x16);
        assert!(!s.may_have_run(), "the engine ran nothing");
        assert_eq!(s.read(&mut prepared(6), &mut out), Ok(Some(Event::Prepared)));
    }

    #[test]
    fn errors_are_told_apart() {
        let end = |code, state| {
            let mut s = up();
            s.start(Work::Query(b"x".to_vec(), Vec::new()), &mut Vec::new());
            let e = SqlError::new(code, state, "why");
            (s.read(&mut packets(&[&e.payload()], 1), &mut Vec::new()).unwrap().unwrap(), e)
        };
        let (event, e) = end(1064, "42000");
        assert_eq!(event, Event::Completed(ResultSet::Wrong(e)));
        let (event, e) = end(1205, "HY000");
        assert_eq!(event, Event::Failed(e));
        let full = SqlError::new(1040, "08004", "Too many connections");
        let read = Session::new(Login::default()).read(&mut packets(&[&full.payload()], 0), &mut Vec::new());
        assert_eq!(read, Ok(Some(Event::ConnectionRejected(full))));
    }

    quickcheck! {
        fn noise_never_panics(noise: Vec<Vec<u8>>, running: bool) -> bool {
            let mut s = up();
            let work = if running { Work::Query(b"x".to_vec(), Vec::new()) } else { execute(b"x") };
            s.start(work, &mut Vec::new());
            let mut input = packets(&noise.iter().map(Vec::as_slice).collect::<Vec<_>>(), 1);
            let mut reads = 0;
            while let Ok(Some(_)) = s.read(&mut input, &mut Vec::new()) {
                reads += 1;
            }
            reads <= noise.len()
        }
    }
}
