//! Tables that assign numbers to names, in the order in which the names are first used.

use std::collections::HashMap;

/// A two-way table of names and their numbers. Numbers start at 0 and have no gaps.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameTable {
    /// Creates a table with the given names, numbered in order.
    pub fn from_names<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut table = Self::default();
        for name in names {
            table.number(name);
        }
        table
    }

    /// Number of a name. A new name gets the next number.
    pub fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len();
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Number of a name, if the table has it.
    pub fn get(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Name with the given number, which the table must have assigned.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }
}
