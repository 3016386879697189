//! Tests the commands that inspect an installation against a real control replica, and the errors
//! that they report without one.

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use roseridge_testutils::{
    LoopbackNet,
    cases, //
};
use tempfile::TempDir;

use crate::program::{
    ProgramRun,
    program,
    run, //
};

/// The maximum time to wait for a reply; long, since the machine may be busy.
const REPLY_TIMEOUT: Duration = Duration::from_secs(60);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A control group with a single replica, which runs as a process.
struct SingleReplicaGroup {
    replica: Child,
    settings: PathBuf,
    _folder: TempDir,
    /// The network of the replica, which stays reserved until the test process ends.
    net: LoopbackNet,
}

impl SingleReplicaGroup {
    fn start() -> Self {
        let (net, folder) = (
            LoopbackNet::reserve(),
            tempfile::tempdir().expect("a folder"),
        );
        let settings = folder.path().join("control.toml");
        fs::write(&settings, replica_settings(&net, folder.path())).expect("a settings file");
        let replica = program()
            .arg("serve")
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the replica starts");
        Self {
            replica,
            settings,
            _folder: folder,
            net,
        }
    }

    /// Sends an operator's request without a body and returns the response, or an empty text if there
    /// is none.
    fn send_operator_request(&self, method: &str, path: &str) -> String {
        let address = self.net.address(2, 8_526);
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\
             Connection: close\r\n\r\n"
        );
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(address) {
            // A refused or closed connection has no response.
            let _ = stream.write_all(request.as_bytes());
            let _ = stream.read_to_string(&mut text);
        }
        text
    }

    /// Repeats a command on the installation until the leader replies.
    fn run_until_reply(&self, line: &str) -> ProgramRun {
        let line = format!("{line} --settings {}", self.settings.display());
        let deadline = Instant::now() + REPLY_TIMEOUT;
        loop {
            match run("", &line) {
                shown if shown.code == Some(69) && Instant::now() < deadline => {
                    thread::sleep(RETRY_DELAY)
                }
                shown => return shown,
            }
        }
    }
}

impl Drop for SingleReplicaGroup {
    fn drop(&mut self) {
        let _ = self.replica.kill();
        let _ = self.replica.wait();
    }
}

/// Returns the settings file of the replica.
fn replica_settings(net: &LoopbackNet, folder: &Path) -> String {
    let operators = net.address(2, 8_526);
    format!(
        "[instance]\nname = \"control-1\"\ncluster = \"test\"\ndomain = \"domain-1\"\n\n\
         [installation]\nadapter = \"platform\"\naddress = \"{}\"\ncontrol_port = 7000\n\
         seeds = [\"{operators}\"]\n\n\
         [group]\noperators = \"{operators}\"\ndata_folder = \"{}\"\nfound = true\nlosses = 0\n\n\
         [flows]\nlease_ms = 6000\nrestore_ms = 600\n",
        operators.ip(),
        folder.join("data").display(),
    )
}

#[test]
fn status_shows_one_leader() {
    let shown = SingleReplicaGroup::start().run_until_reply("site status");
    assert_eq!(shown.code, Some(0), "{}", shown.stderr);
    assert!(
        shown.stdout.starts_with("configuration none in force"),
        "{}",
        shown.stdout
    );
    let leaders = shown.stdout.lines().filter(|l| l.contains("leader"));
    assert_eq!(leaders.count(), 1, "{}", shown.stdout);
}

/// Guards against an evacuation that operators can't see.
#[test]
fn status_shows_evacuated_domains() {
    let group = SingleReplicaGroup::start();
    let before = group.run_until_reply("site status");
    assert!(!before.stdout.contains("evacuated"), "{}", before.stdout);
    let deadline = Instant::now() + REPLY_TIMEOUT;
    loop {
        let answer = group.send_operator_request("POST", "/api/evacuations/zone-of-no-worker");
        if answer.starts_with("HTTP/1.1 200") {
            break;
        }
        assert!(Instant::now() < deadline, "{answer}");
        thread::sleep(RETRY_DELAY);
    }
    let shown = group.run_until_reply("site status");
    let mut lines = shown.stdout.lines();
    let row = lines.find(|line| line.starts_with("zone-of-no-worker"));
    let row = row.unwrap_or_else(|| panic!("{}", shown.stdout));
    let counts: Vec<_> = row.split_whitespace().skip(2).collect();
    assert_eq!(counts, ["0", "0"], "no backend servers and no runs: {row}");
}

#[test]
fn unknown_flow_is_reported() {
    let shown = SingleReplicaGroup::start().run_until_reply("site flow 5c0e7a21d94b36f8");
    assert_eq!(shown.code, Some(1), "{}", shown.stderr);
    assert!(shown.stderr.contains("RR0041"), "{}", shown.stderr);
}

/// A command line with its settings file, and the expected exit code and message.
struct SettingsCase {
    line: &'static str,
    settings: &'static str,
    code: i32,
    message: &'static str,
}

const VALID_SETTINGS: &str = "[instance]\nname = \"entry-1\"\ncluster = \"test\"\ndomain = \"domain-1\"\n\
    [installation]\nadapter = \"platform\"\naddress = \"127.0.0.1\"\ncontrol_port = 1\n\
    seeds = [\"127.0.0.1:8526\"]\n\
    [callers]\nlisten = \"127.0.0.1:8521\"\nhealth = \"127.0.0.1:8523\"\nrelay_port = 7015\n\
    [flows]\nlease_ms = 6000\nrestore_ms = 600\n";
const SHORT_LEASE: &str = "[instance]\nname = \"entry-1\"\ncluster = \"test\"\ndomain = \"domain-1\"\n\
    [installation]\nadapter = \"platform\"\naddress = \"127.0.0.1\"\ncontrol_port = 1\n\
    seeds = [\"127.0.0.1:8526\"]\n\
    [callers]\nlisten = \"127.0.0.1:8521\"\nhealth = \"127.0.0.1:8523\"\nrelay_port = 7015\n\
    [flows]\nlease_ms = 60\nrestore_ms = 600\n";

fn check(case: SettingsCase) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.toml");
    fs::write(&path, case.settings).expect("a settings file");
    let shown = run("", &format!("{} --settings {}", case.line, path.display()));
    let text = shown.stdout + &shown.stderr;
    assert_eq!(shown.code, Some(case.code), "{text}");
    assert!(text.contains(case.message), "{text}");
}

cases! { check:
    valid_settings = SettingsCase {
        line: "settings check",
        settings: VALID_SETTINGS,
        code: 0,
        message: "the settings are valid",
    },
    too_short_lease_is_refused = SettingsCase {
        line: "settings check",
        settings: SHORT_LEASE,
        code: 78,
        message: "use a lease_ms of at least 2000",
    },
    too_short_lease_is_refused_by_status = SettingsCase {
        line: "site status",
        settings: SHORT_LEASE,
        code: 78,
        message: ":12:",
    },
    malformed_flow_id = SettingsCase {
        line: "site flow xyz",
        settings: VALID_SETTINGS,
        code: 64,
        message: "16 hexadecimal digits",
    },
    unreachable_control_group = SettingsCase {
        line: "site status",
        settings: VALID_SETTINGS,
        code: 69,
        message: "nothing was done",
    },
}
