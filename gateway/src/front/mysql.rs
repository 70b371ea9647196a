//! The MySQL wire protocol with prepared statements: a client session without its socket.
//!
//! A prepared statement lives here, with its client's connection: its handle is this gateway's own and no
//! engine's. Engines prepare it when it is first executed there, over and over as engines come and go.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::{ClientCommand, ClientRequest, ExecutionMode, FinalAnswer, Payload, fields};
use crate::mysql_protocol::{
    self as mysql, PacketError, Parameter, ParameterType, Reader, ResultSet, SqlError, capabilities,
};
use crate::tenants::Directory;

const OFFERED: u32 = capabilities::BASE
    | capabilities::CLIENT_CONNECT_WITH_DB
    | capabilities::CLIENT_PLUGIN_AUTH
    | capabilities::CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA
    | capabilities::CLIENT_DEPRECATE_EOF
    | capabilities::CLIENT_QUERY_ATTRIBUTES;

/// Statements that one session may hold.
const MAX_STATEMENTS: usize = 256;
/// And the bytes that they take together.
const MAX_STATEMENT_BYTES: usize = 192 * 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// The greeting is out.
    Greeted,
    /// The client was asked to use the method spoken here.
    Switching(Vec<u8>),
    Ready,
    Busy,
    Closed,
}

#[derive(Debug)]
struct Statement {
    demand: ClientRequest,
    params: usize,
    bound: Vec<ParameterType>,
    /// Long data was sent for it, which is not taken.
    spoilt: bool,
}

impl Statement {
    /// What it takes, with its share of the tree that holds it.
    fn bytes(&self) -> usize {
        let names: usize = self.bound.iter().map(|t| t.name.capacity()).sum();
        let bound = self.bound.capacity() * size_of::<ParameterType>() + names;
        2 * size_of::<Self>() + self.demand.statement.capacity() + bound
    }
}

/// What a client has prepared, with the bytes that it takes.
#[derive(Debug, Default)]
pub struct Statements {
    by_handle: BTreeMap<u32, Statement>,
    bytes: usize,
}

impl Statements {
    fn remove(&mut self, handle: u32) {
        if let Some(s) = self.by_handle.remove(&handle) {
            self.bytes -= s.bytes();
        }
    }
}

/// A session that has logged in and is idle: all that must be kept of it.
#[derive(Debug)]
pub struct Parked {
    caps: u32,
    tenant: Option<Rc<str>>,
    /// The one thing that may take more than this.
    statements: Option<Box<Statements>>,
}

impl Parked {
    /// Bytes that its prepared statements take.
    pub fn statement_bytes(&self) -> usize {
        self.statements.as_ref().map_or(0, |s| s.bytes)
    }
}

/// One session.
pub struct Session {
    state: State,
    directory: Rc<Directory>,
    scramble: [u8; 20],
    caps: u32,
    tenant: Option<Rc<str>>,
    sequence: u8,
    statements: Option<Box<Statements>>,
    /// The next handle, of all sessions: one that outlived its connection names nothing on the next.
    handles: Rc<Cell<u32>>,
    /// A statement whose class the settings have yet to judge.
    pending: Option<Statement>,
}

impl Session {
    /// Greets a client that has just connected.
    pub fn new(
        number: u32,
        scramble: [u8; 20],
        directory: Rc<Directory>,
        handles: Rc<Cell<u32>>,
        out: &mut Vec<u8>,
    ) -> Self {
        // A zero byte would end the scramble early.
        let scramble = scramble.map(|b| b % 94 + 33);
        let mut p = vec![10];
        p.extend(b"8.0.0-wrenhatch\0");
        p.extend(number.to_le_bytes());
        p.extend(&scramble[..8]);
        p.push(0);
        p.extend((OFFERED as u16).to_le_bytes());
        p.push(45); // utf8mb4
        p.extend(mysql::SERVER_STATUS_AUTOCOMMIT.to_le_bytes());
        p.extend(((OFFERED >> 16) as u16).to_le_bytes());
        p.push(21);
        p.extend([0; 10]);
        p.extend(&scramble[8..]);
        p.push(0);
        p.extend(mysql::MYSQL_NATIVE_PASSWORD.bytes().chain([0]));
        let mut sequence = 0;
        mysql::write_packet(out, &mut sequence, &p);
        Self {
            state: State::Greeted,
            directory,
            scramble,
            caps: 0,
            tenant: None,
            sequence,
            statements: None,
            handles,
            pending: None,
        }
    }

    /// Whether it is idle, so that it can be parked.
    pub fn is_idle(&self) -> bool {
        self.state == State::Ready && self.pending.is_none()
    }

    /// What must be kept of it while it is idle.
    pub fn park(self) -> Parked {
        debug_assert!(self.is_idle());
        Parked { caps: self.caps, tenant: self.tenant, statements: self.statements }
    }

    /// Goes on with one that was parked.
    pub fn resume(parked: Parked, directory: Rc<Directory>, handles: Rc<Cell<u32>>) -> Self {
        let Parked { caps, tenant, statements } = parked;
        // The scramble has done its work, and each command brings its own sequence number.
        Self {
            state: State::Ready,
            directory,
            scramble: [0; 20],
            caps,
            tenant,
            sequence: 0,
            statements,
            handles,
            pending: None,
        }
    }

    /// Bytes that its prepared statements take, with the one being prepared.
    pub fn statement_bytes(&self) -> usize {
        self.pending_bytes() + self.statements.as_ref().map_or(0, |s| s.bytes)
    }

    /// Bytes that the statement takes which is being prepared.
    pub fn pending_bytes(&self) -> usize {
        self.pending.as_ref().map_or(0, Statement::bytes)
    }

    /// Turns the statement down that is being prepared: what all sessions may hold is held.
    pub fn no_room(&mut self, out: &mut Vec<u8>) {
        self.state = State::Ready;
        self.pending = None;
        self.invalid(1461, "42000", "Too many prepared statements, no memory is left for more", out);
    }

    /// Ends a session for which no memory is left.
    pub fn out_of_memory(&mut self, out: &mut Vec<u8>) {
        self.error(&SqlError::new(1041, "HY001", "Out of memory for this connection"), out);
        self.state = State::Closed;
    }

    /// Turns a client away that can't be held, in place of a greeting.
    pub fn turn_away(&mut self, out: &mut Vec<u8>) {
        out.clear();
        let e = SqlError::new(1040, "08004", "Too many connections");
        mysql::write_packet(out, &mut 0, &e.payload());
        self.state = State::Closed;
    }

    /// Ends a session that did not start, or did not end a message that it began, in time.
    pub fn time_out(&mut self, out: &mut Vec<u8>) {
        let e = SqlError::new(1159, "08S01", "Got timeout reading communication packets");
        self.error(&e, out);
        self.state = State::Closed;
    }

    /// Ends a session whose client sent too much behind a request that was open.
    pub fn overrun(&mut self, out: &mut Vec<u8>) {
        self.error(&SqlError::new(1153, "08S01", "Got too much behind a request that was open"), out);
        self.state = State::Closed;
    }

    /// Ends a session as the gateway ends.
    pub fn shut_down(&mut self, out: &mut Vec<u8>) {
        self.error(&SqlError::new(1053, "08S01", "Server shutdown in progress"), out);
        self.state = State::Closed;
    }

    /// Whether its client has yet to log in.
    pub fn is_starting(&self) -> bool {
        matches!(self.state, State::Greeted | State::Switching(_))
    }

    /// Reads one message; as of the other front.
    pub fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Option<ClientCommand> {
        if matches!(self.state, State::Busy | State::Closed) {
            return None;
        }
        match mysql::read_packet(input) {
            Ok(None) => None,
            Ok(Some((sequence, payload))) => {
                self.sequence = sequence.wrapping_add(1);
                let want = self.payload(&payload, out).unwrap_or_else(|e| Some(self.fatal(e, out)));
                Some(want.unwrap_or(ClientCommand::Handled))
            }
            Err(e) => Some(self.fatal(e, out)),
        }
    }

    fn fatal(&mut self, e: PacketError, out: &mut Vec<u8>) -> ClientCommand {
        let code = if e == PacketError::TooLong { 1153 } else { 1835 };
        self.error(&SqlError::new(code, "08S01", e.to_string()), out);
        self.state = State::Closed;
        ClientCommand::Close
    }

    fn error(&mut self, e: &SqlError, out: &mut Vec<u8>) {
        mysql::write_packet(out, &mut self.sequence, &e.payload());
    }

    fn ok(&mut self, affected: u64, insert_id: u64, out: &mut Vec<u8>) {
        mysql::write_packet(out, &mut self.sequence, &mysql::ok_payload(0, affected, insert_id));
    }

    fn payload(&mut self, p: &[u8], out: &mut Vec<u8>) -> Result<Option<ClientCommand>, PacketError> {
        match std::mem::replace(&mut self.state, State::Ready) {
            State::Greeted => self.handshake(p, out),
            State::Switching(user) => Ok(self.log_in(&user, p, out)),
            _ => self.command(p, out),
        }
    }

    fn handshake(&mut self, p: &[u8], out: &mut Vec<u8>) -> Result<Option<ClientCommand>, PacketError> {
        let mut r = Reader(p);
        self.caps = r.int(4)? as u32 & OFFERED;
        r.bytes(4 + 1 + 23)?;
        if r.0.is_empty() || self.caps & capabilities::CLIENT_PROTOCOL_41 == 0 {
            // A request for TLS, which was not offered, or a protocol of the last century.
            return Err(PacketError::Malformed);
        }
        let user = r.nul_terminated_string()?.to_vec();
        let answer = if self.caps & capabilities::CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA != 0 {
            r.lenenc_string()?
        } else {
            let n = r.int(1)? as usize;
            r.bytes(n)?
        };
        if self.caps & capabilities::CLIENT_CONNECT_WITH_DB != 0 {
            r.nul_terminated_string()?;
        }
        let method = if self.caps & capabilities::CLIENT_PLUGIN_AUTH != 0 {
            r.nul_terminated_string().unwrap_or(b"")
        } else {
            b""
        };
        if !method.is_empty() && method != mysql::MYSQL_NATIVE_PASSWORD.as_bytes() {
            let mut p = vec![0xfe];
            p.extend(mysql::MYSQL_NATIVE_PASSWORD.bytes().chain([0]));
            p.extend(self.scramble.iter().copied().chain([0]));
            mysql::write_packet(out, &mut self.sequence, &p);
            self.state = State::Switching(user);
            return Ok(None);
        }
        Ok(self.log_in(&user, answer, out))
    }

    fn log_in(&mut self, user: &[u8], answer: &[u8], out: &mut Vec<u8>) -> Option<ClientCommand> {
        let user = String::from_utf8_lossy(user).into_owned();
        let account = self.directory.look_up(&user);
        match account
            .filter(|a| mysql::native_password_response(a.password.as_bytes(), &self.scramble) == answer)
        {
            Some(account) => {
                self.tenant = Some(account.tenant.clone());
                self.ok(0, 0, out);
                None
            }
            None => {
                self.error(&SqlError::new(1045, "28000", format!("Access denied for user '{user}'")), out);
                self.state = State::Closed;
                Some(ClientCommand::Close)
            }
        }
    }

    fn command(&mut self, p: &[u8], out: &mut Vec<u8>) -> Result<Option<ClientCommand>, PacketError> {
        let mut r = Reader(p);
        let kind = r.int(1)?;
        match kind {
            0x01 => {
                self.state = State::Closed;
                return Ok(Some(ClientCommand::Close));
            }
            0x03 => return self.query(r, out),
            0x0e => self.ok(0, 0, out),
            0x16 => return Ok(self.prepare(r.0, out)),
            0x17 => return self.execute(r, out),
            // Long data gets no answer, whatever becomes of it; the next execution tells.
            0x18 => {
                let handle = r.int(4)? as u32;
                if let Some(s) = self.statement(handle) {
                    s.spoilt = true;
                }
            }
            0x19 => {
                let handle = r.int(4)? as u32;
                if let Some(statements) = &mut self.statements {
                    statements.remove(handle);
                    if statements.by_handle.is_empty() {
                        self.statements = None;
                    }
                }
            }
            0x1a => {
                let handle = r.int(4)? as u32;
                match self.statement(handle) {
                    Some(s) => {
                        s.spoilt = false;
                        self.ok(0, 0, out);
                    }
                    None => return Ok(Some(self.unknown(handle, "mysqld_stmt_reset", out))),
                }
            }
            _ => return Ok(Some(self.invalid(1047, "08S01", "Unknown command", out))),
        }
        Ok(None)
    }

    fn invalid(&mut self, code: u16, state: &str, text: &str, out: &mut Vec<u8>) -> ClientCommand {
        self.error(&SqlError::new(code, state, text), out);
        ClientCommand::Invalid
    }

    fn unknown(&mut self, handle: u32, to: &str, out: &mut Vec<u8>) -> ClientCommand {
        let text = format!("Unknown prepared statement handler ({handle}) given to {to}");
        self.invalid(mysql::error_code::ER_UNKNOWN_STMT_HANDLER, "HY000", &text, out)
    }

    fn statement(&mut self, handle: u32) -> Option<&mut Statement> {
        self.statements.as_mut()?.by_handle.get_mut(&handle)
    }

    fn has(&self, cap: u32) -> bool {
        self.caps & cap != 0
    }

    fn query(&mut self, mut r: Reader<'_>, out: &mut Vec<u8>) -> Result<Option<ClientCommand>, PacketError> {
        let mut attributes = Vec::new();
        if self.has(capabilities::CLIENT_QUERY_ATTRIBUTES) {
            let count = r.lenenc_int()? as usize;
            r.lenenc_int()?;
            attributes = mysql::read_parameters(&mut r, count, true, &mut Vec::new())?;
        }
        Ok(Some(match self.demand(r.0, ExecutionMode::Query, out) {
            Some(demand) => self.open(demand, &attributes, out),
            None => ClientCommand::Invalid,
        }))
    }

    fn demand(&mut self, text: &[u8], run: ExecutionMode, out: &mut Vec<u8>) -> Option<ClientRequest> {
        match fields::split(text) {
            Ok((mut fields, statement)) => {
                // Who the client is was proven at its start; a field can't change that.
                fields.tenant = self.tenant.as_deref().map(str::to_owned);
                Some(ClientRequest { fields, statement: statement.to_vec(), run })
            }
            Err(e) => {
                self.invalid(1064, "42000", &e.to_string(), out);
                None
            }
        }
    }

    /// Opens a request. Its id and its deadline are this execution's own.
    fn open(
        &mut self,
        mut demand: ClientRequest,
        attributes: &[Parameter],
        out: &mut Vec<u8>,
    ) -> ClientCommand {
        for a in attributes {
            let text = a.as_text().unwrap_or_default();
            let taken = match a.name.as_slice() {
                b"i" => fields::id(&text).map(|id| demand.fields.id = Some(id)),
                b"d" => fields::wait(&text).map(|ms| demand.fields.wait_ms = Some(ms)),
                b"k" => fields::token(&text).map(|token| demand.fields.token = Some(token)),
                b"o" => fields::order_key(&text).map(|key| demand.fields.order_key = Some(key)),
                b"r" => fields::retry(&text).map(|retry| demand.fields.retry = retry),
                _ => Ok(()),
            };
            if let Err(e) = taken {
                return self.invalid(1210, "HY000", &e.to_string(), out);
            }
        }
        self.state = State::Busy;
        ClientCommand::Request(demand)
    }

    fn prepare(&mut self, text: &[u8], out: &mut Vec<u8>) -> Option<ClientCommand> {
        let (count, held) = self.statements.as_ref().map_or((0, 0), |s| (s.by_handle.len(), s.bytes));
        if count >= MAX_STATEMENTS || held + text.len() > MAX_STATEMENT_BYTES {
            return Some(self.invalid(1461, "42000", "Too many prepared statements", out));
        }
        let Some(mut demand) = self.demand(text, ExecutionMode::Query, out) else {
            return Some(ClientCommand::Invalid);
        };
        // Each execution has its own.
        let fields = &mut demand.fields;
        (fields.id, fields.wait_ms, fields.token) = (None, None, None);
        (fields.order_key, fields.retry) = (None, false);
        let params = mysql::count_placeholders(&demand.statement);
        if u16::try_from(params).is_err() {
            return Some(self.invalid(
                1390,
                "HY000",
                "Prepared statement contains too many placeholders",
                out,
            ));
        }
        let want = ClientCommand::Prepare(demand.fields.clone());
        self.pending = Some(Statement { demand, params, bound: Vec::new(), spoilt: false });
        self.state = State::Busy;
        Some(want)
    }

    /// Goes on with a statement whose fields the settings have found good.
    pub fn judged(&mut self, out: &mut Vec<u8>) {
        self.state = State::Ready;
        let Some(statement) = self.pending.take() else { return };
        let handle = self.handles.get();
        self.handles.set(handle.wrapping_add(1));
        let mut p = vec![0];
        p.extend(handle.to_le_bytes());
        p.extend([0, 0]); // Columns are told with the rows, by the engine that makes them.
        p.extend((statement.params as u16).to_le_bytes());
        p.extend([0, 0, 0]);
        mysql::write_packet(out, &mut self.sequence, &p);
        for _ in 0..statement.params {
            let mut column = Vec::new();
            for text in [b"def".as_slice(), b"", b"", b"", b"?", b""] {
                mysql::write_lenenc_string(&mut column, text);
            }
            column.extend([0x0c, 63, 0, 0, 0, 0, 0, 0xfd, 0x80, 0, 0, 0, 0]);
            mysql::write_packet(out, &mut self.sequence, &column);
        }
        if statement.params > 0 && !self.has(capabilities::CLIENT_DEPRECATE_EOF) {
            self.eof(out);
        }
        let statements = self.statements.get_or_insert_default();
        statements.bytes += statement.bytes();
        statements.by_handle.insert(handle, statement);
    }

    fn eof(&mut self, out: &mut Vec<u8>) {
        let [low, high] = mysql::SERVER_STATUS_AUTOCOMMIT.to_le_bytes();
        mysql::write_packet(out, &mut self.sequence, &[0xfe, 0, 0, low, high]);
    }

    fn execute(
        &mut self,
        mut r: Reader<'_>,
        out: &mut Vec<u8>,
    ) -> Result<Option<ClientCommand>, PacketError> {
        let handle = r.int(4)? as u32;
        let flags = r.int(1)?;
        r.bytes(4)?;
        let attributed = self.has(capabilities::CLIENT_QUERY_ATTRIBUTES);
        let Some(s) = self.statements.as_mut().and_then(|s| s.by_handle.get_mut(&handle)) else {
            return Ok(Some(self.unknown(handle, "mysqld_stmt_execute", out)));
        };
        let before = s.bytes();
        if s.spoilt {
            return Ok(Some(self.invalid(1210, "HY000", "Long data is not taken here", out)));
        }
        if flags & 0x07 != 0 {
            return Ok(Some(self.invalid(1235, "42000", "Cursors are not spoken here", out)));
        }
        let mut count = s.params;
        if attributed && flags & 0x08 != 0 {
            count = r.lenenc_int()? as usize;
        }
        if count < s.params {
            return Ok(Some(self.invalid(1210, "HY000", "Too few parameters for the statement", out)));
        }
        let mut params = mysql::read_parameters(&mut r, count, attributed, &mut s.bound)?;
        let attributes = params.split_off(s.params);
        for p in &mut params {
            p.name.clear();
        }
        let mut demand = s.demand.clone();
        demand.run = ExecutionMode::Execute(params);
        let after = s.bytes();
        if let Some(statements) = &mut self.statements {
            statements.bytes = statements.bytes + after - before;
        }
        Ok(Some(self.open(demand, &attributes, out)))
    }

    /// Turns down the open request for fields that only the settings can judge.
    pub fn reject(&mut self, text: &str, out: &mut Vec<u8>) {
        self.state = State::Ready;
        self.pending = None;
        self.invalid(1210, "HY000", text, out);
    }

    /// Writes the final answer to the open request.
    pub fn answer(&mut self, answer: FinalAnswer<'_>, out: &mut Vec<u8>) {
        debug_assert!(self.state == State::Busy, "an answer without a request");
        self.state = State::Ready;
        match answer {
            FinalAnswer::Served(Payload::MySql(result)) => self.result(result, out),
            FinalAnswer::Served(Payload::Text(_)) => {
                self.error(&SqlError::new(1105, "HY000", "the result has another form"), out);
            }
            // The same class as on the other front says that trying again is harmless.
            FinalAnswer::Rejected(None) => self.error(&SqlError::new(1041, "53000", "refused"), out),
            FinalAnswer::Rejected(Some(ms)) => {
                self.error(&SqlError::new(1041, "53000", format!("refused, w={ms}")), out);
            }
            FinalAnswer::Cancelled => {
                self.error(&SqlError::new(1317, "70100", "Query execution was interrupted"), out)
            }
            FinalAnswer::Failed(why) => self.error(&SqlError::new(1105, "HY000", why), out),
        }
    }

    fn result(&mut self, result: &ResultSet, out: &mut Vec<u8>) {
        match result {
            ResultSet::Done { affected_rows: affected, last_insert_id: insert_id } => {
                self.ok(*affected, *insert_id, out)
            }
            ResultSet::StatementError(e) => self.error(e, out),
            ResultSet::Rows { columns, rows } => {
                let mut count = Vec::new();
                mysql::write_lenenc_int(&mut count, columns.len() as u64);
                mysql::write_packet(out, &mut self.sequence, &count);
                for column in columns {
                    mysql::write_packet(out, &mut self.sequence, column);
                }
                if !self.has(capabilities::CLIENT_DEPRECATE_EOF) {
                    self.eof(out);
                }
                for row in rows {
                    mysql::write_packet(out, &mut self.sequence, row);
                }
                if self.has(capabilities::CLIENT_DEPRECATE_EOF) {
                    mysql::write_packet(out, &mut self.sequence, &mysql::ok_payload(0xfe, 0, 0));
                } else {
                    self.eof(out);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;
    use crate::tenants::Account;

    /// A session whose client has logged in without a password, and what it has heard since.
    fn ready() -> Session {
        let account = Account { tenant: "acme".into(), password: String::new() };
        let directory = Rc::new(Directory::new([("unit".to_owned(), account)]));
        let mut out = Vec::new();
        let handles = Rc::new(Cell::new(10));
        let mut session = Session::new(1, [7; 20], directory, handles, &mut out);
        let mut hello = OFFERED.to_le_bytes().to_vec();
        hello[0] &= !(capabilities::CLIENT_CONNECT_WITH_DB as u8);
        hello.extend([0, 0, 0, 1, 45]);
        hello.extend([0; 23]);
        hello.extend(b"unit\0\0mysql_native_password\0");
        assert_eq!(session.read(&mut packet(&hello, 1), &mut out), Some(ClientCommand::Handled));
        assert_eq!(session.state, State::Ready);
        session
    }

    #[test]
    fn a_parked_session_goes_on_with_its_statements_and_their_bytes_add_up() {
        let mut session = ready();
        let mut out = Vec::new();
        for _ in 0..3 {
            session.read(&mut packet(b"\x16/* c=lookup */ SELECT ? FROM a_1.b", 0), &mut out);
            session.judged(&mut out);
        }
        let held = session.statement_bytes();
        let (directory, handles) = (session.directory.clone(), session.handles.clone());
        let parked = session.park();
        assert_eq!(parked.statement_bytes(), held);
        let mut session = Session::resume(parked, directory, handles);
        assert_eq!(session.statement_bytes(), held);
        let execute = packet(&[0x17, 11, 0, 0, 0, 8, 1, 0, 0, 0, 1, 1, 1, 6, 0, 0], 0);
        let Some(ClientCommand::Request(demand)) = session.read(&mut execute.clone(), &mut out) else {
            panic!("none")
        };
        assert_eq!(demand.fields.tenant.as_deref(), Some("acme"));
        assert!(!session.is_idle(), "its request is open");
        session.answer(FinalAnswer::Rejected(None), &mut out);
        for handle in 10..13 {
            session.read(&mut packet(&[0x19, handle, 0, 0, 0], 0), &mut out);
        }
        assert_eq!((session.statement_bytes(), session.statements.is_none()), (0, true));
    }

    fn packet(payload: &[u8], mut sequence: u8) -> Vec<u8> {
        let mut out = Vec::new();
        mysql::write_packet(&mut out, &mut sequence, payload);
        out
    }

    #[test]
    fn another_method_is_asked_to_switch() {
        let directory = Rc::new(Directory::default());
        let mut out = Vec::new();
        let mut session = Session::new(1, [7; 20], directory, Rc::new(Cell::new(1)), &mut out);
        let mut hello = (OFFERED & !capabilities::CLIENT_CONNECT_WITH_DB).to_le_bytes().to_vec();
        hello.extend([0; 28]);
        hello.extend(b"unit\0\0caching_sha2_password\0");
        out.clear();
        assert_eq!(session.read(&mut packet(&hello, 1), &mut out), Some(ClientCommand::Handled));
        assert!(out[4] == 0xfe && out[5..].starts_with(b"mysql_native_password\0"));
        assert_eq!(
            session.read(&mut packet(b"", 3), &mut out),
            Some(ClientCommand::Close),
            "and nobody is unknown here"
        );
    }

    #[test]
    fn long_data_spoils_the_next_execution_and_a_reset_mends_it() {
        let mut session = ready();
        let mut out = Vec::new();
        let prepare = packet(b"\x16/* c=load */ INSERT INTO a_1.b VALUES (?)", 0);
        assert!(matches!(session.read(&mut prepare.clone(), &mut out), Some(ClientCommand::Prepare(_))));
        session.judged(&mut out);
        out.clear();
        let long = packet(&[0x18, 10, 0, 0, 0, 0, 0, b'x'], 0);
        assert_eq!(session.read(&mut long.clone(), &mut out), Some(ClientCommand::Handled));
        assert_eq!(out, b"", "long data is never answered");
        let execute = packet(&[0x17, 10, 0, 0, 0, 8, 1, 0, 0, 0, 1, 1, 1, 6, 0, 0], 0);
        assert_eq!(session.read(&mut execute.clone(), &mut out), Some(ClientCommand::Invalid));
        session.read(&mut packet(&[0x1a, 10, 0, 0, 0], 0), &mut out);
        let Some(ClientCommand::Request(demand)) = session.read(&mut execute.clone(), &mut out) else {
            panic!("none")
        };
        let null = Parameter { type_and_flag: 6, name: Vec::new(), value: None };
        assert_eq!(demand.run, ExecutionMode::Execute(vec![null]));
        assert_eq!(demand.fields.tenant.as_deref(), Some("acme"));
    }

    quickcheck! {
        /// Whatever comes, each command that is answered is answered once, and nothing panics.
        fn noise_never_panics(commands: Vec<(u8, Vec<u8>)>) -> bool {
            let mut session = ready();
            let kinds = [0x03, 0x0e, 0x16, 0x17, 0x18, 0x19, 0x1a, 0x05];
            let mut out = Vec::new();
            for (kind, body) in commands {
                let payload = [&[kinds[usize::from(kind) % kinds.len()]], body.as_slice()].concat();
                out.clear();
                let want = session.read(&mut packet(&payload, 0), &mut out);
                let silent = matches!(payload[0], 0x18 | 0x19);
                match want {
                    Some(ClientCommand::Request(_)) => session.answer(FinalAnswer::Rejected(None), &mut out),
                    Some(ClientCommand::Prepare(_)) => session.judged(&mut out),
                    Some(ClientCommand::Close) => return !out.is_empty(),
                    _ => {}
                }
                if out.is_empty() != silent || session.state != State::Ready {
                    return false;
                }
            }
            true
        }
    }
}
