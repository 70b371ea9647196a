//! Random JSON values and settings from a fixed seed.

use serde_json::{Map, Value, json};
use wrenhatch_configuration::Document;

/// Deterministic random numbers by SplitMix64.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit as u64) as usize
    }

    pub fn chance(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }
}

/// Random JSON value, which can hold null members, empty lists and lists of named objects.
pub fn value(random: &mut Random, depth: usize) -> Value {
    match random.below(if depth == 0 { 5 } else { 9 }) {
        0 => Value::Null,
        1 => json!(random.chance(50)),
        2 => json!(random.next() >> random.below(64)),
        3 => json!((random.next() as i64 as f64) * 1e-12),
        4 => json!(["", "a", "\u{e9}\n\"", "name"][random.below(4)]),
        5 => (0..random.below(4)).map(|_| value(random, depth - 1)).collect(),
        6 => named_list(random, depth - 1),
        _ => object(random, depth - 1),
    }
}

fn object(random: &mut Random, depth: usize) -> Value {
    let mut members = Map::new();
    for _ in 0..random.below(5) {
        let key = ["classes", "projects", "rules", "name", "", "allowed"][random.below(6)];
        members.insert(key.to_owned(), value(random, depth));
    }
    Value::Object(members)
}

fn named_list(random: &mut Random, depth: usize) -> Value {
    let mut names = vec!["lookup", "report", "load", "", "batch"];
    let mut list = Vec::new();
    for _ in 0..random.below(6) {
        let name = names.swap_remove(random.below(names.len()));
        let mut element = object(random, depth);
        element["name"] = json!(name);
        list.push(element);
    }
    Value::Array(list)
}

/// Random settings.
pub fn document(random: &mut Random) -> Document {
    let mut members = Map::new();
    for key in ["classes", "projects", "rules"] {
        if random.chance(80) {
            members.insert(key.to_owned(), value(random, 4));
        }
    }
    Document::new(Value::Object(members)).unwrap()
}
