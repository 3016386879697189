//! The integration tests of this crate.

#[path = "runner/bounded_lines.rs"]
mod bounded_lines;
#[path = "runner/line_text.rs"]
mod line_text;
#[path = "runner/slow_reader.rs"]
mod slow_reader;
