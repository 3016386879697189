//! Guards against unintended changes to the help text of the commands.

use roseridge_testutils::cases;

use crate::program::run;

/// Compares the help text of a command with the snapshot that is named after the command.
fn check(command: &str) {
    let shown = run("", &format!("{command} --help"));
    assert_eq!(shown.code, Some(0), "{}", shown.stderr);
    let name = format!("help {command}").trim().replace(' ', "_");
    insta::assert_snapshot!(name, shown.stdout);
}

cases! { check:
    roseridge = "",
    serve = "serve",
    demo = "demo",
    fake = "fake",
    job_submit = "job submit",
    job_show = "job show",
    job_cancel = "job cancel",
    job_list = "job list",
    template = "template",
    template_show = "template show",
    template_diff = "template diff",
    template_apply = "template apply",
    worker = "worker",
    worker_list = "worker list",
    worker_drain = "worker drain",
    replica = "replica",
    replica_list = "replica list",
    replica_add = "replica add",
    replica_remove = "replica remove",
    status = "status",
    site = "site",
    site_status = "site status",
    site_flow = "site flow",
    settings = "settings",
    settings_check = "settings check",
    settings_hash_token = "settings hash-token",
    completions = "completions",
}

#[test]
fn completion_scripts_contain_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let shown = run("", &format!("completions {shell}"));
        assert_eq!(shown.code, Some(0), "{}", shown.stderr);
        assert!(shown.stdout.contains("worker"), "{shell}");
    }
}
