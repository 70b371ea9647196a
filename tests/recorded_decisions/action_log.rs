//! What a gateway asked for in the course of a stream, in blocks, and their digests.

/// Events of a block.
pub const BLOCK_EVENTS: usize = 100;

/// 64-bit FNV-1a of lines, each with its end.
fn digest<'a>(lines: impl Iterator<Item = &'a String>) -> u64 {
    let bytes = lines.flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// The lines of a stream.
#[derive(Default)]
pub struct Journal {
    pub events: usize,
    pub actions: usize,
    blocks: Vec<Vec<String>>,
}

impl Journal {
    /// Whether the event that comes now is the first of a block.
    pub fn at_checkpoint(&self) -> bool {
        self.events % BLOCK_EVENTS == 0
    }

    /// Begins a block with the figures of a checkpoint.
    pub fn checkpoint(&mut self, figures: String) {
        self.blocks.push(vec![figures]);
    }

    /// What an event led to.
    pub fn event(&mut self, actions: Vec<String>) {
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
