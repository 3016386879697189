//! Guards against log lines that operators' tools can't parse: wrong quoting, or a wrong event
//! code.

use log::{
    Level,
    Record, //
};
use roseridge_logs::{
    LineFormat,
    LogLine, //
};
use roseridge_testutils::cases;

const TIME: &str = "2026-12-03T22:38:00.000Z";

struct TextCase {
    format: LineFormat,
    /// The value of a field of the event.
    value: &'static str,
    line: &'static str,
}

fn check_event_text(case: TextCase) {
    let fields = [
        ("event", log::kv::Value::from(41)),
        ("reason", case.value.into()),
    ];
    let record = Record::builder()
        .level(Level::Info)
        .target("roseridge_control")
        .args(format_args!("flow refused"))
        .key_values(&fields)
        .build();
    let line = LogLine::from_record(&record);
    assert_eq!(line.kind(), "RR0041");
    assert_eq!(line.text(TIME, case.format), case.line);
}

cases! { check_event_text:
    logfmt_word_is_plain = TextCase {
        format: LineFormat::Logfmt,
        value: "TooLate",
        line: "time=2026-12-03T22:38:00.000Z level=info event=RR0041 name=\"flow refused\" \
            reason=TooLate\n",
    },
    logfmt_quotes_and_line_ends_are_escaped = TextCase {
        format: LineFormat::Logfmt,
        value: "a \"b\"\nc=d",
        line: "time=2026-12-03T22:38:00.000Z level=info event=RR0041 name=\"flow refused\" \
            reason=\"a \\\"b\\\"\\nc=d\"\n",
    },
    logfmt_empty_value_is_quoted = TextCase {
        format: LineFormat::Logfmt,
        value: "",
        line: "time=2026-12-03T22:38:00.000Z level=info event=RR0041 name=\"flow refused\" \
            reason=\"\"\n",
    },
    json_quotes_and_line_ends_are_escaped = TextCase {
        format: LineFormat::Json,
        value: "a \"b\"\nc",
        line: "{\"event\":\"RR0041\",\"level\":\"info\",\"name\":\"flow refused\",\
            \"reason\":\"a \\\"b\\\"\\nc\",\"time\":\"2026-12-03T22:38:00.000Z\"}\n",
    },
}

#[test]
fn line_without_an_event_has_its_target_as_kind() {
    let record = Record::builder()
        .level(Level::Warn)
        .target("tarpc::client")
        .args(format_args!("a request timed out"))
        .build();
    let line = LogLine::from_record(&record);
    assert_eq!(line.kind(), "tarpc::client");
    let text = line.text(TIME, LineFormat::Logfmt);
    assert!(text.contains("target=tarpc::client message=\"a request timed out\""));
}

#[test]
fn event_without_fields_is_split_into_code_name_and_detail() {
    let record = Record::builder()
        .level(Level::Error)
        .target("roseridge_control")
        .args(format_args!("RR0022 store failed: no space left"))
        .build();
    let line = LogLine::from_record(&record);
    assert_eq!(line.kind(), "RR0022");
    let text = line.text(TIME, LineFormat::Logfmt);
    assert!(text.contains("event=RR0022 name=\"store failed\" detail=\"no space left\""));
}

/// The documented limit on the length of a value, in bytes.
const MAX_VALUE_BYTES: usize = 2_048;

/// Guards against a queue of lines that takes as much memory as callers like, for example because an
/// error names a long path from a configuration.
fn check_value_length((value, is_cut): (String, bool)) {
    let fields = [
        ("event", log::kv::Value::from(41)),
        ("reason", value.as_str().into()),
    ];
    let line = LogLine::from_record(
        &Record::builder()
            .level(Level::Info)
            .target("roseridge_control")
            .args(format_args!("{value}"))
            .key_values(&fields)
            .build(),
    );
    let text = line.text("", LineFormat::Logfmt);
    assert!(
        text.len() < 2 * MAX_VALUE_BYTES + 100,
        "{} bytes",
        text.len()
    );
    assert_eq!(
        text.matches("[cut off]").count(),
        if is_cut { 2 } else { 0 }
    );
    assert_eq!(text.contains(&value), !is_cut);
}

cases! { check_value_length:
    longest_value_is_kept = ("x".repeat(MAX_VALUE_BYTES), false),
    longer_value_is_cut = ("x".repeat(MAX_VALUE_BYTES + 1), true),
    value_is_cut_between_characters = ("\u{20ac}".repeat(1_000_000), true),
}
