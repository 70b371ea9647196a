//! Numbers for names, in the order in which the names were first seen.

use std::collections::HashMap;

/// A two-way table of names and their numbers; numbers start at 0 and have no gaps.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameTable {
    /// A table with these names, numbered in their order.
    pub fn from_names<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for name in names {
            table.number(name);
        }
        table
    }

    /// The number of a name; a name that is new gets the next one.
    pub fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len();
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// The number of a name that is in the table.
    pub fn known(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// The name with this number, which the table has given out.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }
}
