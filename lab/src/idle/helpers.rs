//! The helper processes that hold the idle sessions.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use anyhow::Context;

use crate::Front;
use crate::helper::Done;

/// A helper process.
pub struct Helper {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Helper {
    /// Starts one that will hold so many connections, from an address of its own.
    pub fn start(
        address: SocketAddr,
        number: usize,
        front: Front,
        connections: usize,
    ) -> anyhow::Result<Self> {
        let source = Ipv4Addr::new(127, 0, 1, 1 + number as u8);
        let front = if front == Front::Pg { "pg" } else { "mysql" };
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["helper", &address.to_string(), &source.to_string(), front, &connections.to_string()]);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let input = child.stdin.take().context("no input")?;
        let output = BufReader::new(child.stdout.take().context("no output")?);
        Ok(Self { child, input, output })
    }

    /// Writes a command.
    pub fn ask(&mut self, command: &str) -> anyhow::Result<()> {
        Ok(self.input.write_all(format!("{command}\n").as_bytes())?)
    }

    /// Reads the answer to a command.
    pub fn answer(&mut self) -> anyhow::Result<Done> {
        let mut line = String::new();
        self.output.read_line(&mut line)?;
        serde_json::from_str(&line).context("a helper ended")
    }
}

impl Drop for Helper {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Has all helpers do something at once; sums, and the slowest times.
pub fn all(helpers: &mut [Helper], command: impl Fn(usize) -> String) -> anyhow::Result<Done> {
    for (n, helper) in helpers.iter_mut().enumerate() {
        helper.ask(&command(n))?;
    }
    let mut whole = Done::default();
    for helper in helpers {
        let one = helper.answer()?;
        whole.done += one.done;
        whole.lost += one.lost;
        whole.ms = whole.ms.max(one.ms);
        whole.p99_ms = whole.p99_ms.max(one.p99_ms);
        whole.max_ms = whole.max_ms.max(one.max_ms);
    }
    Ok(whole)
}
