//! Guards against a demo that fails: it covers the path of a job through entry, control group, agent
//! and backend server.

use std::process::Command;

#[test]
fn demo_finishes_every_job() {
    let output = Command::new(env!("CARGO_BIN_EXE_roseridge"))
        .arg("demo")
        .output()
        .expect("the demo runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
    assert_eq!(text.matches(" done ").count(), 9, "{text}");
    assert!(!errors.contains("panicked"), "{errors}");
}
