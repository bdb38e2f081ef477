//! What differs between two configurations.

use passway_config::Document;
use serde_json::Value;
use std::collections::BTreeMap;

/// The differences, one line each: `+` new, `-` gone, `~` changed with both values.
pub fn changes(before: &Document, after: &Document) -> Vec<String> {
    let (before, after) = (flatten(before), flatten(after));
    let mut lines = Vec::new();
    for (path, value) in &before {
        match after.get(path) {
            None => lines.push(format!("- {path} = {value}")),
            Some(now) if now != value => lines.push(format!("~ {path}: {value} -> {now}")),
            Some(_) => {}
        }
    }
    let new = after.iter().filter(|(path, _)| !before.contains_key(*path));
    lines.extend(new.map(|(path, value)| format!("+ {path} = {value}")));
    lines
}

/// Every value by its path; list items go by their name, so that an item that
/// moves within its list is not a change. Policy rules go by name too, but their
/// order counts and is a value of its own.
fn flatten(document: &Document) -> BTreeMap<String, String> {
    let mut flat = BTreeMap::new();
    let value = serde_json::to_value(document).unwrap_or_default();
    walk(String::new(), &value, &mut flat);
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

fn walk(path: String, value: &Value, flat: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => {
            for (key, inner) in map {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                walk(path, inner, flat);
            }
        }
        Value::Array(items) if items.iter().all(Value::is_object) => {
            for (index, item) in items.iter().enumerate() {
                walk(format!("{path}[{}]", name_of(item, index)), item, flat);
            }
        }
        Value::Null => {}
        other => {
            flat.insert(path, other.to_string());
        }
    }
}

fn name_of(item: &Value, index: usize) -> String {
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
