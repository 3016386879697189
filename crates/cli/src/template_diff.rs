//! Compares two templates field by field.

use std::collections::BTreeMap;

use roseridge_model::CustomerTemplate;
use serde_json::Value;

use crate::text_table::to_printable;

/// Returns the lines `- path = old` and `+ path = new` of each field that differs.
pub(crate) fn diff_lines(
    old: Option<&CustomerTemplate>,
    new: &CustomerTemplate,
) -> Result<Vec<String>, serde_json::Error> {
    let mut old_leaves = BTreeMap::new();
    let mut new_leaves = BTreeMap::new();
    if let Some(old) = old {
        flatten("", &serde_json::to_value(old)?, &mut old_leaves);
    }
    flatten("", &serde_json::to_value(new)?, &mut new_leaves);
    let mut paths: Vec<_> = old_leaves.keys().chain(new_leaves.keys()).collect();
    paths.sort();
    paths.dedup();
    let mut lines = Vec::new();
    for path in paths {
        match (old_leaves.get(path), new_leaves.get(path)) {
            (old, new) if old == new => {}
            (old, new) => {
                lines.extend(old.map(|value| format!("- {path} = {value}")));
                lines.extend(new.map(|value| format!("+ {path} = {value}")));
            }
        }
    }
    Ok(lines)
}

/// Collects the leaves of a JSON value by their dotted paths.
fn flatten(path: &str, value: &Value, leaves: &mut BTreeMap<String, String>) {
    let child_path = |name: &str| match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(&child_path(name), value, leaves);
            }
        }
        Value::Array(items) => {
            for (number, item) in items.iter().enumerate() {
                flatten(&child_path(&number.to_string()), item, leaves);
            }
        }
        leaf => {
            leaves.insert(path.to_owned(), to_printable(&leaf.to_string()));
        }
    }
}
