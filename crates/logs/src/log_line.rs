//! One line: its event and its fields, as logfmt or JSON.

use std::fmt::Write as _;

use log::{
    Level, Record,
    kv::{
        self,
        Key,
        Value,
        VisitSource, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

/// How lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LineFormat {
    /// `key=value` pairs; values with spaces or quotes are quoted.
    #[default]
    Logfmt,
    /// One JSON object a line.
    Json,
}

/// A line before it is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    level: Level,
    /// What the line counts as when lines are bounded: its event, or where it comes from.
    kind: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Takes the event and the fields from a log record.
    pub fn from_record(record: &Record<'_>) -> Self {
        let mut found = FieldList::default();
        // A field that can't be visited is left out; the rest of the line stands.
        let _ = record.key_values().visit(&mut found);
        let text = record.args().to_string();
        let (event, name, detail) = match (found.event, split_event(&text)) {
            (Some(event), _) => (Some(event), text.as_str(), None),
            (None, Some((event, name, detail))) => (Some(event.to_owned()), name, Some(detail)),
            (None, None) => (None, text.as_str(), None),
        };
        let mut fields = Vec::with_capacity(found.fields.len() + 3);
        let kind = event.clone().unwrap_or_else(|| record.target().to_owned());
        match event {
            Some(event) => {
                fields.push(("event".to_owned(), event));
                fields.push(("name".to_owned(), name.to_owned()));
            }
            None => {
                fields.push(("target".to_owned(), record.target().to_owned()));
                fields.push(("message".to_owned(), name.to_owned()));
            }
        }
        fields.extend(detail.map(|detail| ("detail".to_owned(), detail.to_owned())));
        fields.extend(found.fields);
        Self {
            level: record.level(),
            kind,
            fields,
        }
    }

    /// Makes the line that tells how many lines of a kind were left out.
    pub fn from_suppressed_count(kind: &str, left_out: u64) -> Self {
        let event = roseridge_events::LINES_LEFT_OUT;
        let field = |name: &str, value: String| (name.to_owned(), value);
        Self {
            level: Level::Warn,
            kind: event.code(),
            fields: vec![
                field("event", event.code()),
                field("name", event.name.to_owned()),
                field("kind", kind.to_owned()),
                field("count", left_out.to_string()),
            ],
        }
    }

    /// Returns what the line counts as when lines are bounded.
    pub fn kind(&self) -> &str {
        &self.kind
    }

    /// Returns the line as text, with its line end.
    pub fn text(&self, time: &str, format: LineFormat) -> String {
        let level = self.level.as_str().to_lowercase();
        let head = [("time", time), ("level", level.as_str())];
        let fields = self.fields.iter().map(|(k, v)| (k.as_str(), v.as_str()));
        let all = head.into_iter().chain(fields);
        match format {
            LineFormat::Logfmt => logfmt(all),
            LineFormat::Json => json(all),
        }
    }
}

fn logfmt<'a>(fields: impl Iterator<Item = (&'a str, &'a str)>) -> String {
    let mut line = String::new();
    for (key, value) in fields {
        let separator = if line.is_empty() { "" } else { " " };
        let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        // Writing to a string does not fail.
        let _ = match !value.is_empty() && value.chars().all(is_plain) {
            true => write!(line, "{separator}{key}={value}"),
            false => write!(line, "{separator}{key}={value:?}"),
        };
    }
    line.push('\n');
    line
}

fn json<'a>(fields: impl Iterator<Item = (&'a str, &'a str)>) -> String {
    let fields = fields.map(|(key, value)| (key.to_owned(), value.into()));
    let object: serde_json::Map<String, serde_json::Value> = fields.collect();
    let mut line = serde_json::Value::Object(object).to_string();
    line.push('\n');
    line
}

/// Splits the text of an event without fields: its code, its name and its details.
fn split_event(text: &str) -> Option<(&str, &str, &str)> {
    let (head, detail) = text.split_once(": ")?;
    let (code, name) = head.split_once(' ')?;
    let digits = code.strip_prefix("RR")?;
    digits
        .chars()
        .all(|c| c.is_ascii_digit())
        .then_some((code, name, detail))
}

/// The fields of a record; the one named `event` is its number.
#[derive(Debug, Default)]
struct FieldList {
    event: Option<String>,
    fields: Vec<(String, String)>,
}

impl<'kvs> VisitSource<'kvs> for FieldList {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        match (key.as_str(), value.to_u64()) {
            ("event", Some(number)) => self.event = Some(format!("RR{number:04}")),
            (key, _) => self.fields.push((key.to_owned(), value.to_string())),
        }
        Ok(())
    }
}
