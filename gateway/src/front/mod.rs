//! Fronts: what clients speak. Each is a state machine over bytes, without sockets or decisions.

pub mod fields;
pub mod pg;

/// Rows of text as an engine made them, whatever its wire; cells of one row after the other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// Names of the columns; their number holds for every row.
    pub columns: Vec<String>,
    /// The cells, row by row; `None` is NULL.
    pub cells: Vec<Option<Vec<u8>>>,
}

impl Rows {
    /// Rows, each a slice of cells.
    pub fn rows(&self) -> impl Iterator<Item = &[Option<Vec<u8>>]> {
        self.cells.chunks(self.columns.len().max(1))
    }
}

/// How a request ended, for a front to word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer<'a> {
    /// All rows of the result.
    Served(&'a Rows),
    /// Refused: trying again is harmless, best after so many milliseconds.
    Refused(Option<u64>),
    /// Failed, with no word on its effect.
    Failed(&'a str),
}

/// A request that a front has read.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Its fields.
    pub fields: fields::Fields,
    /// The statement without the comment that held the fields.
    pub statement: Vec<u8>,
}
