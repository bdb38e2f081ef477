//! Differences between two configurations.

use passway_config::Document;
use serde_json::Value;
use std::collections::BTreeMap;

/// Returns one line for each difference: `+` for an added value, `-` for a removed one, `~` for a
/// changed one with its old and new value.
pub fn changes(old: &Document, new: &Document) -> Vec<String> {
    let (old, new) = (flatten(old), flatten(new));
    let mut lines = Vec::new();
    for (path, value) in &old {
        match new.get(path) {
            None => lines.push(format!("- {path} = {value}")),
            Some(new) if new != value => lines.push(format!("~ {path}: {value} -> {new}")),
            Some(_) => {}
        }
    }
    let added = new.iter().filter(|(path, _)| !old.contains_key(*path));
    lines.extend(added.map(|(path, value)| format!("+ {path} = {value}")));
    lines
}

/// Maps the path of each value to the value as JSON text. Paths contain the names of list items
/// instead of their indexes, so that moving an item within its list is not a change. The order of
/// policy rules matters and is therefore added as a value of its own.
fn flatten(document: &Document) -> BTreeMap<String, String> {
    let mut flat = BTreeMap::new();
    let value = serde_json::to_value(document).unwrap_or_default();
    flatten_value(String::new(), &value, &mut flat);
    let order: Vec<&str> = document
        .policies
        .iter()
        .map(|rule| rule.name.as_str())
        .collect();
    if order.len() > 1 {
        flat.insert("policies (order)".into(), order.join(", "));
    }
    flat
}

/// Adds `value` and all values inside it to `flat`; `path` is the path of `value`.
fn flatten_value(path: String, value: &Value, flat: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => {
            for (key, inner) in map {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                flatten_value(path, inner, flat);
            }
        }
        Value::Array(items) if items.iter().all(Value::is_object) => {
            for (index, item) in items.iter().enumerate() {
                flatten_value(format!("{path}[{}]", item_name(item, index)), item, flat);
            }
        }
        Value::Null => {}
        other => {
            flat.insert(path, other.to_string());
        }
    }
}

/// Returns the id or name of a list item with its version, or its index if it has neither.
fn item_name(item: &Value, index: usize) -> String {
    let text = |key: &str| {
        item.get(key)
            .and_then(Value::as_str)
            .filter(|text| !text.is_empty())
    };
    match (text("id").or(text("name")), text("version")) {
        (Some(name), Some(version)) => format!("{name}@{version}"),
        (Some(name), None) => name.to_owned(),
        _ => index.to_string(),
    }
}
