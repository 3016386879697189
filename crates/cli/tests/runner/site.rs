//! The commands that look at an installation, against a real control replica.

use std::{
    fs,
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

/// Generous, since the machine may be busy.
const LIMIT: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(100);

/// A control replica of its own, as a process.
struct LoneGroup {
    replica: Child,
    settings: PathBuf,
    _folder: TempDir,
    /// Is taken by other tests once it is dropped.
    _net: LoopbackNet,
}

impl LoneGroup {
    fn start() -> Self {
        let (net, folder) = (
            LoopbackNet::reserve(),
            tempfile::tempdir().expect("a folder"),
        );
        let settings = folder.path().join("control.toml");
        fs::write(&settings, settings_of(&net, folder.path())).expect("a settings file");
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
            _net: net,
        }
    }

    /// Runs a command on the installation until it has an answer.
    fn ask(&self, line: &str) -> ProgramRun {
        let line = format!("{line} --settings {}", self.settings.display());
        let until = Instant::now() + LIMIT;
        loop {
            match run("", &line) {
                found if found.code == Some(69) && Instant::now() < until => thread::sleep(PAUSE),
                found => return found,
            }
        }
    }
}

impl Drop for LoneGroup {
    fn drop(&mut self) {
        let _ = self.replica.kill();
        let _ = self.replica.wait();
    }
}

fn settings_of(net: &LoopbackNet, folder: &Path) -> String {
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
fn status_shows_the_replica_that_leads() {
    let shown = LoneGroup::start().ask("site status");
    assert_eq!(shown.code, Some(0), "{}", shown.stderr);
    assert!(
        shown.stdout.starts_with("configuration none in force"),
        "{}",
        shown.stdout
    );
    let leaders = shown.stdout.lines().filter(|l| l.contains("leader"));
    assert_eq!(leaders.count(), 1, "{}", shown.stdout);
}

#[test]
fn flow_that_is_not_known_is_told() {
    let shown = LoneGroup::start().ask("site flow 5c0e7a21d94b36f8");
    assert_eq!(shown.code, Some(1), "{}", shown.stderr);
    assert!(shown.stderr.contains("RR0041"), "{}", shown.stderr);
}

/// A command line that is refused before anybody is asked, with its settings, code and message.
struct RefusedCase {
    line: &'static str,
    settings: &'static str,
    code: i32,
    message: &'static str,
}

const IN_ORDER: &str = "[instance]\nname = \"entry-1\"\ncluster = \"test\"\ndomain = \"domain-1\"\n\
    [installation]\nadapter = \"platform\"\naddress = \"127.0.0.1\"\ncontrol_port = 1\n\
    seeds = [\"127.0.0.1:8526\"]\n\
    [callers]\nlisten = \"127.0.0.1:8521\"\nhealth = \"127.0.0.1:8523\"\nrelay_port = 7015\n\
    [flows]\nlease_ms = 6000\nrestore_ms = 600\n";
const SHORT_LEASE: &str = "[instance]\nname = \"entry-1\"\ncluster = \"test\"\ndomain = \"domain-1\"\n\
    [installation]\nadapter = \"platform\"\naddress = \"127.0.0.1\"\ncontrol_port = 1\n\
    seeds = [\"127.0.0.1:8526\"]\n\
    [callers]\nlisten = \"127.0.0.1:8521\"\nhealth = \"127.0.0.1:8523\"\nrelay_port = 7015\n\
    [flows]\nlease_ms = 60\nrestore_ms = 600\n";

fn check(case: RefusedCase) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.toml");
    fs::write(&path, case.settings).expect("a settings file");
    let shown = run("", &format!("{} --settings {}", case.line, path.display()));
    let text = shown.stdout + &shown.stderr;
    assert_eq!(shown.code, Some(case.code), "{text}");
    assert!(text.contains(case.message), "{text}");
}

cases! { check:
    settings_in_order = RefusedCase {
        line: "settings check",
        settings: IN_ORDER,
        code: 0,
        message: "in order",
    },
    lease_too_short = RefusedCase {
        line: "settings check",
        settings: SHORT_LEASE,
        code: 78,
        message: "use a lease_ms of at least 2000",
    },
    lease_too_short_for_status = RefusedCase {
        line: "site status",
        settings: SHORT_LEASE,
        code: 78,
        message: ":12:",
    },
    malformed_flow = RefusedCase {
        line: "site flow xyz",
        settings: IN_ORDER,
        code: 64,
        message: "16 hexadecimal digits",
    },
    no_group = RefusedCase {
        line: "site status",
        settings: IN_ORDER,
        code: 69,
        message: "nothing was done",
    },
}
