//! Reads JSON with comments and reports all faults at once.

use jsonc_parser::{CollectOptions, ParseOptions, ast};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use serde_path_to_error::Segment;
use std::fmt;

/// A fault in a file, with its location and reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The path of the value, such as `models[2].size_mb`.
    pub path: String,
    /// The line in the file, starting at 1; 0 if the value is absent.
    pub line: usize,
    /// Human-readable reason.
    pub reason: String,
}

/// All faults of one file; never empty when returned as an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            if fault.line > 0 {
                write!(f, "line {}: ", fault.line)?;
            }
            write!(f, "{}: {}", fault.path, fault.reason)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A parsed file together with its text, which is needed to find the line of a path.
#[derive(Debug)]
pub struct Source<'a> {
    text: &'a str,
    value: Value,
}

impl<'a> Source<'a> {
    /// Parses `text` as JSON with comments.
    ///
    /// # Errors
    /// One fault, at the line where the text is not valid JSON.
    pub fn parse(text: &'a str) -> Result<Self, Faults> {
        jsonc_parser::parse_to_serde_value::<Option<Value>>(text, &ParseOptions::default())
            .map(|value| Self {
                text,
                value: value.unwrap_or_else(|| Value::Object(Map::new())),
            })
            .map_err(|e| {
                Faults(vec![Fault {
                    path: "file".into(),
                    line: e.line_display(),
                    reason: e.kind().to_string(),
                }])
            })
    }

    /// Deserializes the whole file into `T`.
    ///
    /// If a value is invalid, this records the fault, removes the value so that its default is
    /// used, and deserializes again to find the next fault. Every field of `T` must have a default;
    /// otherwise an absent required field ends the search.
    pub fn read<T: DeserializeOwned + Default>(&self, faults: &mut Vec<Fault>) -> T {
        let mut remaining = self.value.clone();
        loop {
            let error = match serde_path_to_error::deserialize::<_, T>(&remaining) {
                Ok(value) => return value,
                Err(error) => error,
            };
            let steps = error_path(&error, &remaining);
            faults.push(self.fault(&steps, error.inner().to_string()));
            if !remove(&mut remaining, &steps) {
                return T::default();
            }
        }
    }

    /// Creates a fault at `path`, given in its displayed form, and looks up its line.
    pub fn fault_at(&self, path: &str, reason: impl Into<String>) -> Fault {
        let steps = parse_path(path);
        self.fault(&steps, reason.into())
    }

    fn fault(&self, steps: &[Step], reason: String) -> Fault {
        Fault {
            path: display(steps),
            line: self.line_of(steps),
            reason,
        }
    }

    fn line_of(&self, steps: &[Step]) -> usize {
        let options = (CollectOptions::default(), ParseOptions::default());
        let Ok(parsed) = jsonc_parser::parse_to_ast(self.text, &options.0, &options.1) else {
            return 0;
        };
        let Some(root) = parsed.value else { return 0 };
        let Some(offset) = offset_of(&root, steps) else {
            return 0;
        };
        self.text[..offset].matches('\n').count() + 1
    }
}

/// One step of a path into a JSON value.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

/// The path of an error; for an unknown field, the path of the field itself, not of the object.
fn error_path(error: &serde_path_to_error::Error<serde_json::Error>, value: &Value) -> Vec<Step> {
    let mut steps: Vec<Step> = error
        .path()
        .iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(Step::Index(*index)),
            Segment::Map { key } => Some(Step::Key(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect();
    if let Some(field) = unknown_field_name(&error.inner().to_string()) {
        let field_step = Step::Key(field);
        if steps.last() != Some(&field_step) {
            steps.push(field_step);
        }
    }
    while !steps.is_empty() && lookup(value, &steps).is_none() {
        steps.pop();
    }
    steps
}

fn unknown_field_name(message: &str) -> Option<String> {
    let suffix = message.strip_prefix("unknown field `")?;
    suffix.split('`').next().map(str::to_owned)
}

fn lookup<'v>(value: &'v Value, steps: &[Step]) -> Option<&'v Value> {
    steps.iter().try_fold(value, |parent, step| match step {
        Step::Key(key) => parent.get(key),
        Step::Index(index) => parent.get(index),
    })
}

/// Removes the value at `steps`; returns false if it cannot be removed.
fn remove(value: &mut Value, steps: &[Step]) -> bool {
    let Some((last, parents)) = steps.split_last() else {
        return false;
    };
    let mut parent = value;
    for step in parents {
        let next = match step {
            Step::Key(key) => parent.get_mut(key),
            Step::Index(index) => parent.get_mut(*index),
        };
        let Some(next) = next else { return false };
        parent = next;
    }
    match (last, parent) {
        (Step::Key(key), Value::Object(map)) => map.remove(key).is_some(),
        // The array keeps its length, so that the paths of later items stay correct.
        (Step::Index(index), Value::Array(items)) if !items[*index].is_object() => {
            items[*index] = Value::Object(Map::new());
            true
        }
        _ => false,
    }
}

fn display(steps: &[Step]) -> String {
    let mut out = String::new();
    for step in steps {
        match step {
            Step::Key(key) if out.is_empty() => out.push_str(key),
            Step::Key(key) => {
                out.push('.');
                out.push_str(key);
            }
            Step::Index(index) => {
                out.push('[');
                out.push_str(&index.to_string());
                out.push(']');
            }
        }
    }
    if out.is_empty() { "file".into() } else { out }
}

fn parse_path(path: &str) -> Vec<Step> {
    path.split(['.', '['])
        .map(
            |part| match part.strip_suffix(']').and_then(|n| n.parse().ok()) {
                Some(index) => Step::Index(index),
                None => Step::Key(part.to_owned()),
            },
        )
        .collect()
}

fn offset_of(value: &ast::Value<'_>, steps: &[Step]) -> Option<usize> {
    use jsonc_parser::common::Ranged;
    let Some((step, rest)) = steps.split_first() else {
        return Some(value.start());
    };
    match (step, value) {
        (Step::Key(key), ast::Value::Object(object)) => {
            let property = object.get(key)?;
            if rest.is_empty() {
                Some(property.start())
            } else {
                offset_of(&property.value, rest)
            }
        }
        (Step::Index(index), ast::Value::Array(array)) => {
            offset_of(array.elements.get(*index)?, rest)
        }
        _ => None,
    }
}
