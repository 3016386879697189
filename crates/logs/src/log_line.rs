//! A log line with its event and fields, formatted as logfmt or JSON.

use std::fmt::Write as _;

use log::{
    Level,
    Record, //
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

/// The maximum length of a value in a line, in bytes. A longer one is cut off.
const MAX_VALUE_BYTES: usize = 2_048;
/// What replaces the rest of a value that is cut off.
const CUT_MARKER: &str = "[cut off]";

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LineFormat {
    /// `key=value` pairs. Values with whitespace, control characters, quotes or equals signs are
    /// quoted.
    #[default]
    Logfmt,
    /// One JSON object per line.
    Json,
}

/// A log line that is not formatted yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    level: Level,
    /// The kind of the line for the rate limit: its event, or the target of its record.
    kind: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Creates a line with the event and the fields of a log record.
    pub fn from_record(record: &Record<'_>) -> Self {
        let mut pairs = EventFields::default();
        // A field that can't be visited is omitted; the rest of the line is kept.
        let _ = record.key_values().visit(&mut pairs);
        let text = record.args().to_string();
        let (event, name, detail) = match (pairs.event, split_event(&text)) {
            (Some(event), _) => (Some(event), text.as_str(), None),
            (None, Some((event, name, detail))) => (Some(event.to_owned()), name, Some(detail)),
            (None, None) => (None, text.as_str(), None),
        };
        let mut fields = Vec::with_capacity(pairs.fields.len() + 3);
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
        fields.extend(pairs.fields);
        fields.iter_mut().for_each(|(_, value)| cut_value(value));
        Self {
            level: record.level(),
            kind,
            fields,
        }
    }

    /// Creates a summary of the suppressed lines of a kind.
    pub fn from_suppressed_count(kind: &str, suppressed: u64) -> Self {
        let event = roseridge_events::LINES_LEFT_OUT;
        let field = |name: &str, value: String| (name.to_owned(), value);
        Self {
            level: Level::Warn,
            kind: event.code(),
            fields: vec![
                field("event", event.code()),
                field("name", event.name.to_owned()),
                field("kind", kind.to_owned()),
                field("count", suppressed.to_string()),
            ],
        }
    }

    /// Returns the kind of the line for the rate limit.
    pub fn kind(&self) -> &str {
        &self.kind
    }

    /// Returns the line as text, with a line end.
    pub fn text(&self, time: &str, format: LineFormat) -> String {
        let level = self.level.as_str().to_lowercase();
        let prefix = [("time", time), ("level", level.as_str())];
        let fields = self.fields.iter().map(|(k, v)| (k.as_str(), v.as_str()));
        let all_fields = prefix.into_iter().chain(fields);
        match format {
            LineFormat::Logfmt => format_logfmt(all_fields),
            LineFormat::Json => format_json(all_fields),
        }
    }
}

/// Limits the length of a value, of which a part may come from a caller.
fn cut_value(value: &mut String) {
    if value.len() > MAX_VALUE_BYTES {
        value.truncate(value.floor_char_boundary(MAX_VALUE_BYTES - CUT_MARKER.len()));
        value.push_str(CUT_MARKER);
        value.shrink_to_fit();
    }
}

/// Formats a line as logfmt.
fn format_logfmt<'a>(fields: impl Iterator<Item = (&'a str, &'a str)>) -> String {
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

/// Formats a line as a JSON object.
fn format_json<'a>(fields: impl Iterator<Item = (&'a str, &'a str)>) -> String {
    let fields = fields.map(|(key, value)| (key.to_owned(), value.into()));
    let object: serde_json::Map<String, serde_json::Value> = fields.collect();
    let mut line = serde_json::Value::Object(object).to_string();
    line.push('\n');
    line
}

/// Splits the text of an event without fields into its code, its name and its details. Returns
/// `None` if the text is not from an event.
fn split_event(text: &str) -> Option<(&str, &str, &str)> {
    let (head, detail) = text.split_once(": ")?;
    let (code, name) = head.split_once(' ')?;
    let digits = code.strip_prefix("RR")?;
    digits
        .chars()
        .all(|c| c.is_ascii_digit())
        .then_some((code, name, detail))
}

/// The fields of a record. The field `event` is separate and holds the code of the event.
#[derive(Debug, Default)]
struct EventFields {
    event: Option<String>,
    fields: Vec<(String, String)>,
}

impl<'kvs> VisitSource<'kvs> for EventFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        match (key.as_str(), value.to_u64()) {
            ("event", Some(number)) => self.event = Some(format!("RR{number:04}")),
            (key, _) => self.fields.push((key.to_owned(), value.to_string())),
        }
        Ok(())
    }
}
