//! Starts the helper processes that hold the idle sessions, and exchanges commands and results with them.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use anyhow::Context;

use crate::FrontEnd;
use crate::helper::CommandResult;

/// A helper process, killed on drop.
pub struct Helper {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Helper {
    /// Starts a helper process that will hold `connections` sessions. The local address of its connections is derived
    /// from `number`.
    pub fn start(
        address: SocketAddr,
        number: usize,
        front: FrontEnd,
        connections: usize,
    ) -> anyhow::Result<Self> {
        let source = Ipv4Addr::new(127, 0, 1, 1 + number as u8);
        let front = if front == FrontEnd::Pg { "pg" } else { "mysql" };
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["helper", &address.to_string(), &source.to_string(), front, &connections.to_string()]);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let input = child.stdin.take().context("the helper has no standard input")?;
        let output = BufReader::new(child.stdout.take().context("the helper has no standard output")?);
        Ok(Self { child, input, output })
    }

    /// Sends a command.
    pub fn send(&mut self, command: &str) -> anyhow::Result<()> {
        Ok(self.input.write_all(format!("{command}\n").as_bytes())?)
    }

    /// Waits for the result of the command sent last. Fails if the helper has ended.
    pub fn receive(&mut self) -> anyhow::Result<CommandResult> {
        let mut line = String::new();
        self.output.read_line(&mut line)?;
        serde_json::from_str(&line).context("a helper process ended without a result")
    }
}

impl Drop for Helper {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a command in all helpers at the same time. Returns the sums of the counts and the maxima of the times.
pub fn run_all(helpers: &mut [Helper], command: impl Fn(usize) -> String) -> anyhow::Result<CommandResult> {
    for (n, helper) in helpers.iter_mut().enumerate() {
        helper.send(&command(n))?;
    }
    let mut total = CommandResult::default();
    for helper in helpers {
        let result = helper.receive()?;
        total.done += result.done;
        total.lost += result.lost;
        total.ms = total.ms.max(result.ms);
        total.p99_ms = total.p99_ms.max(result.p99_ms);
        total.max_ms = total.max_ms.max(result.max_ms);
    }
    Ok(total)
}
