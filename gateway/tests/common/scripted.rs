//! Scripted peers of the gateway. The test determines what they send and when, so that the order of events does not
//! depend on the speed of the machine.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, SockRef, Socket, Type};

/// Time limit of connections, reads and waits in tests.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// A listening socket of a scripted engine, discovery service or control plane server.
pub struct Peer {
    pub name: String,
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections that fill the backlog of the listener.
    backlog_fillers: Vec<TcpStream>,
}

impl Peer {
    pub fn new(name: &str) -> Self {
        Self::listen(name, 128)
    }

    /// Creates a peer with a full backlog: no connection is established until [`Peer::drain_backlog`].
    pub fn with_full_backlog(name: &str) -> Self {
        let mut peer = Self::with_zero_backlog(name);
        peer.fill_backlog();
        peer
    }

    /// Creates a peer whose backlog [`Peer::fill_backlog`] can fill.
    pub fn with_zero_backlog(name: &str) -> Self {
        Self::listen(name, 0)
    }

    /// Fills the backlog, so that no further connection is established. Established connections stay open.
    pub fn fill_backlog(&mut self) {
        // A backlog of 0 holds one connection. The kernel drops further SYN packets, which are retransmitted after a
        // second.
        self.backlog_fillers.push(TcpStream::connect(self.address).unwrap());
    }

    /// Creates a peer at the address of an earlier peer that was closed.
    pub fn bind(name: &str, address: SocketAddr) -> Self {
        Self::listen_at(name, address, 128)
    }

    fn listen(name: &str, backlog: i32) -> Self {
        Self::listen_at(name, ([127, 0, 0, 1], 0).into(), backlog)
    }

    fn listen_at(name: &str, address: SocketAddr, backlog: i32) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket.bind(&address.into()).unwrap();
        socket.listen(backlog).unwrap();
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Self { name: name.to_owned(), address, listener, backlog_fillers: Vec::new() }
    }

    /// Empties the backlog, so that connections are established again.
    pub fn drain_backlog(&mut self) {
        for _ in self.backlog_fillers.drain(..) {
            drop(accept(&self.listener));
        }
    }

    /// JSON entry of the peer in the endpoint list.
    pub fn entry(&self, status: &str) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"type\":\"k\",\"group\":0,\"status\":\"{status}\",\"weight\":1,\"since_ms\":0}}",
            self.name, self.address
        )
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> Connection {
        Connection::new(accept(&self.listener))
    }

    /// Whether no connection waits to be accepted.
    pub fn has_no_pending_connection(&self) -> bool {
        matches!(self.listener.accept(), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Accepts the next stream request to a discovery service. Returns the connection and the last event id.
    pub fn accept_watch(&self) -> (Connection, u64) {
        let mut connection = self.accept();
        let call = connection.read_call();
        assert_eq!((call.method.as_str(), call.path.as_str()), ("GET", "/v2/stream"));
        (connection, call.headers["last-event-id"].parse().unwrap())
    }
}

fn accept(listener: &TcpListener) -> TcpStream {
    let began = Instant::now();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => panic!("{e}"),
        }
        assert!(began.elapsed() < TIMEOUT, "no connection was opened");
        thread::sleep(Duration::from_millis(1));
    }
}

/// A received HTTP request.
#[derive(Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn query_id(&self) -> &str {
        &self.headers["x-ticket"]
    }
}

/// A connection of the gateway to a scripted peer.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self { reader: BufReader::new(stream) }
    }

    /// Reads the next request. Returns `None` at the end of the connection.
    pub fn next_call(&mut self) -> Option<Call> {
        let mut line = String::new();
        if self.reader.read_line(&mut line).unwrap_or(0) == 0 {
            return None;
        }
        let mut words = line.split(' ').map(str::to_owned);
        let (method, path) = (words.next().unwrap(), words.next().unwrap());
        let mut headers = HashMap::new();
        loop {
            let mut header = String::new();
            self.reader.read_line(&mut header).unwrap();
            let Some((name, value)) = header.trim_end().split_once(": ") else { break };
            headers.insert(name.to_ascii_lowercase(), value.to_owned());
        }
        let length = headers.get("content-length").map_or(0, |l| l.parse().unwrap());
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).unwrap();
        Some(Call { method, path, headers, body })
    }

    pub fn read_call(&mut self) -> Call {
        self.next_call().expect("the connection has ended without a request")
    }

    /// Sends text. Panics if the gateway has closed the connection.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Sends text. Returns false if the gateway has closed the connection.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Sends the response head of an event stream.
    pub fn send_stream_head(&mut self) {
        self.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    }

    /// Sends an event that changes these entries of the endpoint list.
    pub fn send_event(&mut self, id: u64, entries: &str) {
        self.send(&format!(
            "id: {id}\ndata: {}\n\n",
            super::DiscoveryService::delta_event(id as usize, entries)
        ));
    }

    /// Sends the result of a query: one row on one page.
    pub fn send_row(&mut self, cell: &str) {
        self.send(&row_response(cell));
    }

    /// Resets the connection.
    pub fn reset(self) {
        let stream = self.reader.into_inner();
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    pub fn shutdown_write(&mut self) {
        self.reader.get_mut().shutdown(Shutdown::Write).unwrap();
    }

    /// Reads up to the end of the connection. Returns false if the gateway has reset it.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).is_ok()
    }
}

/// HTTP response with the result of a query: one row on one page.
pub fn row_response(cell: &str) -> String {
    let body = format!("{cell}\n");
    format!("HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Serves all queries of an engine. Records each query id in `query_ids` and responds with one row that contains the
/// query id.
pub fn serve_all_queries(peer: Peer, query_ids: std::sync::Arc<std::sync::Mutex<Vec<String>>>) {
    thread::spawn(move || {
        loop {
            let mut connection = peer.accept();
            let query_ids = query_ids.clone();
            thread::spawn(move || {
                while let Some(call) = connection.next_call() {
                    match call.method.as_str() {
                        "POST" => {
                            query_ids.lock().unwrap().push(call.query_id().to_owned());
                            connection.send_row(call.query_id());
                        }
                        "GET" => connection.send("HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n"),
                        _ => connection.send("HTTP/1.1 204 No Content\r\n\r\n"),
                    }
                }
            });
        }
    });
}
