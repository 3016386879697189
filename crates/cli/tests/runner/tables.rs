//! Guards against unintended changes to the requests of the commands and to their output.

use std::fs;

use roseridge_testutils::cases;

use crate::{
    fake_entry::{
        FakeEntry,
        FakeReply, //
    },
    program::run,
};

const JOB: &str = r#"{"job":7,"customer":"tuglink","key":"k-1","class":"replan","state":"done",
    "accepted":1780000000000,"first_start":1780000000120,"ended":1780000002620,"attempts":1,
    "workers":["worker-1"],"answers":[{"text":"hello\nworld","crc32":907060870}]}"#;
const JOBS: &str = r#"[{"job":8,"customer":"benali","key":"\u001b[31mred","class":"remittance",
    "state":"waiting","accepted":1780000000000,"first_start":null,"ended":null,"attempts":0,
    "workers":[],"answers":null},{"job":7,"customer":"tuglink","key":"k-1","class":"study",
    "state":"running","accepted":1709164800000,"first_start":1709251199000,"ended":null,
    "attempts":2,"workers":["worker-1"],"answers":null}]"#;
const WORKERS: &str = r#"[{"worker":"worker-1","shape":{"domain":"d1","rack":"r1","total":
    {"cores":64,"memory_mib":1,"accelerators":8},"slots":8,"connections":60},"live":true,
    "leaving":false,"drained":true,"tasks":[{"job":1,"attempt":1,"member":0}],
    "free_accelerators":7},{"worker":"worker-2","shape":{"domain":"d1","rack":"r1","total":
    {"cores":64,"memory_mib":1,"accelerators":8},"slots":8,"connections":60},"live":false,
    "leaving":false,"drained":true,"tasks":[],"free_accelerators":8}]"#;
const STATUS: &str = r#"{"leader":2,"term":5,"commit":120,"revision":4,"replicas":[
    {"replica":1,"address":"10.0.0.1:7113","matched":119},
    {"replica":2,"address":"10.0.0.2:7113","matched":120}],
    "workers":[["worker-1",true],["worker-2",false]],"waiting":3,"placed":1}"#;
const TEMPLATES: &str = r#"{"revision":4,"templates":[{"customer":"tuglink","guaranteed":[
    {"members":4,"member":{"cores":8,"memory_mib":8192,"accelerators":1},"adjacency":"any"}],
    "degrade_rank":1,"queue_limit":500,"rate_per_second":50,"classes":{"replan":{
    "urgency":"urgent","start_within_ms":3500,"expected_run_ms":2000,"checkpointable":false,
    "idempotent":true,"attempt_limit":3,"answer_retention_ms":3600000,"yield_order":3}}}]}"#;
const REPLICAS: &str = r#"{"settled":false,"members":[
    {"replica":1,"disk":"00000000000000a1","address":"10.0.0.1:7113","state":"leader",
    "matched":120,"behind":0,"heard_ms_ago":null},
    {"replica":2,"disk":"00000000000000b2","address":"10.0.0.2:7113","state":"learner",
    "matched":20,"behind":100,"heard_ms_ago":40},
    {"replica":3,"disk":"00000000000000c3","address":"10.0.0.3:7113","state":"joining",
    "matched":0,"behind":120,"heard_ms_ago":null}]}"#;
const NUMBER_TAKEN: &str = r#"{"type":"/problems/number-taken","status":409,
    "detail":"a replica with this number is a member; remove it first","not_run":true}"#;
const CHANGED: &str = r#"{"revision":5}"#;
const REVISION_CONFLICT: &str = r#"{"type":"/problems/revision-conflict","status":409,
    "detail":"the configuration is at revision 6 by now","not_run":true}"#;

/// A command, the status and body of the reply to it, and the name of the snapshot.
struct TableCase {
    name: &'static str,
    line: &'static str,
    reply: (u16, &'static str),
}

fn check(case: TableCase) {
    let (status, body) = case.reply;
    let entry = FakeEntry::start(vec![FakeReply::Sent(status, body)]);
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("tuglink.json");
    fs::write(&path, changed_template()).expect("a template file");
    let line = case.line.replace("FILE", &path.display().to_string());
    let run = run(&entry.address, &line);
    let requests = entry.requests();
    let request_line = requests[0].lines().next().unwrap_or_default();
    let shown = format!(
        "{}\n{request_line}\nexit {}\n\n{}{}",
        case.line,
        run.code.unwrap_or(-1),
        run.stdout,
        run.stderr
    );
    insta::assert_snapshot!(case.name, shown);
}

/// Returns the template of [`TEMPLATES`] with a longer queue and a larger guaranteed gang.
fn changed_template() -> String {
    let current: serde_json::Value = serde_json::from_str(TEMPLATES).expect("valid JSON");
    let mut template = current["templates"][0].clone();
    template["queue_limit"] = 600.into();
    template["guaranteed"][0]["members"] = 5.into();
    template.to_string()
}

cases! { check:
    replica_list = TableCase { name: "replica_list", line: "replica list", reply: (200, REPLICAS) },
    replica_add = TableCase { name: "replica_add", line: "replica add 3", reply: (409, NUMBER_TAKEN) },
    job_show = TableCase { name: "job_show", line: "job show 7", reply: (200, JOB) },
    job_list = TableCase { name: "job_list", line: "job list", reply: (200, JOBS) },
    worker_list = TableCase { name: "worker_list", line: "worker list", reply: (200, WORKERS) },
    status = TableCase { name: "status", line: "status", reply: (200, STATUS) },
    template_show = TableCase {
        name: "template_show", line: "template show", reply: (200, TEMPLATES),
    },
    template_show_one = TableCase {
        name: "template_show_one", line: "template show tuglink", reply: (200, TEMPLATES),
    },
    template_diff = TableCase {
        name: "template_diff", line: "template diff FILE", reply: (200, TEMPLATES),
    },
    template_apply = TableCase {
        name: "template_apply",
        line: "template apply FILE --base 4 --request r-1",
        reply: (200, CHANGED),
    },
    template_conflict = TableCase {
        name: "template_conflict",
        line: "template apply FILE --base 4 --request r-1",
        reply: (409, REVISION_CONFLICT),
    },
    worker_drain = TableCase {
        name: "worker_drain",
        line: "worker drain worker-1 --request r-1",
        reply: (200, r#"{"applied":true}"#),
    },
    json = TableCase { name: "json", line: "status --json", reply: (200, STATUS) },
}
