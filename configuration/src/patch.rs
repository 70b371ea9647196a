//! Computes and applies patches of JSON values: RFC 7396 merge patches for objects, patches by element name for lists
//! of objects with a `name`, and replacement of all other values.
//!
//! A patch by element name is an object with the single member [`LIST_MEMBER`], which documents must not contain.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Name of the member that marks a patch of a list by element name.
pub const LIST_MEMBER: &str = "$list";

/// Name of the member that identifies an element of a list.
const NAME_MEMBER: &str = "name";

/// Error of applying a patch.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// The patch of a list is malformed.
    #[error("malformed patch of a list: {0}")]
    Malformed(String),
    /// The target is not a list of objects with names, an added element has no name, or the resulting list is empty or
    /// has elements without distinct names.
    #[error("a list of named objects expected")]
    NotANamedList,
    /// The list has no element of this name to change or remove.
    #[error("the list has no element named {0}")]
    UnknownElement(String),
    /// The `order` of the patch does not contain each element of the list exactly once.
    #[error("the order does not contain exactly the elements of the list")]
    OrderMismatch,
}

/// Changes to a list of named objects, applied in the order of the fields. New elements are appended, and the list is
/// reordered only if `order` is not empty.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListPatch {
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    removed: BTreeSet<String>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    changed: BTreeMap<String, Value>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    added: Vec<Value>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    order: Vec<String>,
}

/// Computes the patch from `old` to `new`, neither of which has null members. Equal values give an empty object.
pub(crate) fn difference(old: &Value, new: &Value) -> Value {
    changes(old, new).unwrap_or_else(|| Value::Object(Map::new()))
}

fn changes(old: &Value, new: &Value) -> Option<Value> {
    if old == new {
        return None;
    }
    Some(match (old, new) {
        (Value::Object(old), Value::Object(new)) => Value::Object(object_changes(old, new)),
        (Value::Array(old), Value::Array(new)) => {
            list_changes(old, new).unwrap_or_else(|| Value::Array(new.clone()))
        }
        _ => new.clone(),
    })
}

fn object_changes(old: &Map<String, Value>, new: &Map<String, Value>) -> Map<String, Value> {
    let mut patch = Map::new();
    for key in old.keys().filter(|key| !new.contains_key(*key)) {
        patch.insert(key.clone(), Value::Null);
    }
    for (key, value) in new {
        let change = match old.get(key) {
            Some(before) => changes(before, value),
            None => Some(value.clone()),
        };
        if let Some(change) = change {
            patch.insert(key.clone(), change);
        }
    }
    patch
}

/// Computes a patch by element name, or `None` if one of the lists is empty or not a list of objects with distinct
/// names.
fn list_changes(old: &[Value], new: &[Value]) -> Option<Value> {
    let (old_by_name, new_by_name) = (by_name(old)?, by_name(new)?);
    let mut patch = ListPatch::default();
    let mut patched_order = Vec::new();
    for element in old {
        let name = name(element)?;
        match new_by_name.get(name) {
            None => {
                patch.removed.insert(name.to_owned());
            }
            Some(after) => {
                patched_order.push(name);
                if let Some(change) = changes(element, after) {
                    patch.changed.insert(name.to_owned(), change);
                }
            }
        }
    }
    for element in new {
        let name = name(element)?;
        if !old_by_name.contains_key(name) {
            patched_order.push(name);
            patch.added.push(element.clone());
        }
    }
    let wanted_order: Vec<&str> = new.iter().filter_map(name).collect();
    if patched_order != wanted_order {
        patch.order = wanted_order.into_iter().map(str::to_owned).collect();
    }
    let patch = serde_json::to_value(patch).ok()?;
    Some(Value::Object(Map::from_iter([(LIST_MEMBER.to_owned(), patch)])))
}

/// Indexes the elements by name. Returns `None` if the list is empty, an element has no name, or a name is not
/// unique.
fn by_name(list: &[Value]) -> Option<HashMap<&str, &Value>> {
    let mut elements = HashMap::new();
    for element in list {
        if elements.insert(name(element)?, element).is_some() {
            return None;
        }
    }
    (!elements.is_empty()).then_some(elements)
}

fn name(element: &Value) -> Option<&str> {
    element.as_object()?.get(NAME_MEMBER)?.as_str()
}

/// Applies a patch to a value. After an error the value is partially patched and must be discarded.
pub(crate) fn apply(target: &mut Value, patch: Value) -> Result<(), PatchError> {
    let Value::Object(mut members) = patch else {
        *target = patch;
        return Ok(());
    };
    if let Some(list) = members.remove(LIST_MEMBER) {
        return apply_list(target, list);
    }
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(object) = target else { return Ok(()) };
    for (key, change) in members {
        if change.is_null() {
            object.remove(&key);
        } else {
            apply(object.entry(key).or_insert(Value::Null), change)?;
        }
    }
    Ok(())
}

fn apply_list(target: &mut Value, patch: Value) -> Result<(), PatchError> {
    let patch: ListPatch = serde_json::from_value(patch).map_err(|e| PatchError::Malformed(e.to_string()))?;
    let Value::Array(list) = target else { return Err(PatchError::NotANamedList) };
    let mut elements = into_named(std::mem::take(list))?;
    for name in patch.removed {
        let position = position(&elements, &name)?;
        elements.remove(position);
    }
    for (name, change) in patch.changed {
        let position = position(&elements, &name)?;
        apply(&mut elements[position].1, change)?;
    }
    elements.extend(into_named(patch.added)?);
    if !patch.order.is_empty() {
        elements = reorder(elements, patch.order)?;
    }
    let result: Vec<Value> = elements.into_iter().map(|(_, element)| element).collect();
    by_name(&result).ok_or(PatchError::NotANamedList)?;
    *list = result;
    Ok(())
}

fn into_named(list: Vec<Value>) -> Result<Vec<(String, Value)>, PatchError> {
    let named = |element: Value| {
        let name = name(&element).ok_or(PatchError::NotANamedList)?.to_owned();
        Ok((name, element))
    };
    list.into_iter().map(named).collect()
}

fn position(elements: &[(String, Value)], wanted: &str) -> Result<usize, PatchError> {
    let found = elements.iter().position(|(name, _)| name == wanted);
    found.ok_or_else(|| PatchError::UnknownElement(wanted.to_owned()))
}

fn reorder(elements: Vec<(String, Value)>, order: Vec<String>) -> Result<Vec<(String, Value)>, PatchError> {
    let count = elements.len();
    let mut by_name: HashMap<String, Value> = elements.into_iter().collect();
    if by_name.len() != count || order.len() != count {
        return Err(PatchError::OrderMismatch);
    }
    let take_element = |name: String| {
        let element = by_name.remove(&name).ok_or(PatchError::OrderMismatch)?;
        Ok((name, element))
    };
    order.into_iter().map(take_element).collect()
}

#[cfg(test)]
mod tests;
