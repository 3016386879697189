//! Checks that the sample settings and the built-in defaults in this repository are valid.

use std::path::Path;

use roseridge_settings::{
    default_settings,
    default_templates,
    read_agent_settings,
    read_serve_settings, //
};

fn sample(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(name)
}

#[test]
fn samples_are_valid() {
    for number in 1..=3 {
        let entry = read_serve_settings(&sample(&format!("entry-{number}.toml")));
        let entry = entry.expect("the entry's sample is valid");
        assert_eq!(entry.replica_addresses().len(), 3);
        let agent = read_agent_settings(&sample(&format!("agent-{number}.toml")));
        agent.expect("the agent's sample is valid");
    }
}

#[test]
fn sample_token_matches_its_hash() {
    let entry = read_serve_settings(&sample("entry-1.toml")).expect("the sample is valid");
    assert!(entry.customers[0].token.matches("tuglink-sample"));
    assert!(!entry.customers[0].token.matches("benali-sample"));
}

#[test]
fn default_templates_name_both_customers() {
    let templates = default_templates();
    let names: Vec<_> = templates.iter().map(|t| t.customer.as_str()).collect();
    assert_eq!(names, ["tuglink", "benali"]);
}

#[test]
fn omitted_fields_have_defaults() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("entry.toml");
    let text = include_str!("../../../../samples/entry-1.toml");
    let text = format!("{text}\n[timing]\nlease_ms = 8000\n");
    std::fs::write(&path, text).expect("write the settings");
    let entry = read_serve_settings(&path).expect("the settings are valid");
    let mut timing = default_settings().timing;
    timing.lease_ms = 8_000;
    assert_eq!(entry.timing_values(), timing);
    assert_eq!(entry.limits_values(), default_settings().entry_limits);
}
