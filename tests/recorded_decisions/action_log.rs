//! Log of a workload manager's actions over an event stream, in blocks of events with a digest each. Changes
//! of the settings count as events.

/// Number of events in a block.
pub const BLOCK_EVENTS: usize = 100;

/// 64-bit FNV-1a hash of the lines, each followed by a newline.
fn digest<'a>(lines: impl Iterator<Item = &'a String>) -> u64 {
    let bytes = lines.flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// The logged lines of one event stream.
#[derive(Default)]
pub struct ActionLog {
    pub events: usize,
    /// Number of lines recorded for the events.
    pub actions: usize,
    blocks: Vec<Vec<String>>,
}

impl ActionLog {
    /// Whether the next event is the first of a block.
    pub fn at_block_start(&self) -> bool {
        self.events % BLOCK_EVENTS == 0
    }

    /// Starts a block with this line.
    pub fn start_block(&mut self, first_line: String) {
        self.blocks.push(vec![first_line]);
    }

    /// Records the actions that follow the next event. Each line begins with the number of the event, from 0.
    pub fn record(&mut self, actions: Vec<String>) {
        let number = self.events;
        self.events += 1;
        self.actions += actions.len();
        if let Some(block) = self.blocks.last_mut() {
            block.extend(actions.into_iter().map(|action| format!("{number} {action}")));
        }
    }

    pub fn digest(&self) -> u64 {
        digest(self.blocks.iter().flatten())
    }

    pub fn block_digests(&self) -> Vec<u64> {
        self.blocks.iter().map(|block| digest(block.iter())).collect()
    }

    pub fn block_text(&self, block: usize) -> String {
        self.blocks.get(block).map_or(String::new(), |lines| lines.join("\n"))
    }
}
