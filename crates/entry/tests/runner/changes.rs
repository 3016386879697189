//! Changes by operators over HTTP: conflicts, resends, checks and rollouts.

use hyper::Method;
use serde_json::{
    Value,
    json, //
};

use crate::{
    entry_fixture::{
        EntryFixture,
        TestReply,
        run,
        send, //
    },
    log_capture,
};

const TOKEN: &str = "operator-token";

async fn get(entry: &EntryFixture, path: &str) -> Value {
    let reply = send(entry.operators, Method::GET, path, TOKEN, None).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    serde_json::from_str(&reply.body).expect("JSON")
}

async fn post(entry: &EntryFixture, path: &str, body: &Value) -> TestReply {
    let body = Some(body.to_string());
    send(entry.operators, Method::POST, path, TOKEN, body).await
}

/// Returns a change of tuglink's queue limit, based on the revision in force.
async fn queue_change(entry: &EntryFixture, request: &str, queue_limit: u32) -> Value {
    let known = get(entry, "/v1/templates").await;
    let templates = known["templates"].as_array().expect("a list");
    let mut templates = templates.iter();
    let template = templates.find(|t| t["customer"] == "tuglink");
    let mut template = template.expect("a template").clone();
    template["queue_limit"] = queue_limit.into();
    json!({ "request": request, "base": known["revision"], "template": template })
}

/// Starts an entry and waits until the initial templates are in force.
async fn start_ready_entry() -> EntryFixture {
    let entry = EntryFixture::start().await;
    entry.wait_for_text("/readyz", "ready").await;
    entry
        .wait_for_text("/metrics", "roseridge_revision 2")
        .await;
    entry
}

/// A change that is based on an outdated revision must be refused, so that it does not overwrite a
/// concurrent change. A resend of the accepted change must return its result again.
#[test]
fn second_of_two_concurrent_changes_is_refused_with_the_current_revision() {
    run(async {
        log_capture::capture();
        let entry = start_ready_entry().await;
        let first = queue_change(&entry, "r-1", 600).await;
        let second = queue_change(&entry, "r-2", 700).await;
        let accepted = post(&entry, "/v1/templates", &first).await;
        assert_eq!(
            (accepted.status, accepted.body.as_str()),
            (200, r#"{"revision":3}"#)
        );
        let conflicting = post(&entry, "/v1/templates", &second).await;
        assert_eq!(conflicting.status, 409, "{}", conflicting.body);
        assert!(
            conflicting.body.contains("revision-conflict"),
            "{}",
            conflicting.body
        );
        assert!(
            conflicting.body.contains("revision 3"),
            "{}",
            conflicting.body
        );
        let resent = post(&entry, "/v1/templates", &first).await;
        assert_eq!((resent.status, resent.body), (200, accepted.body));
        assert_eq!(get(&entry, "/v1/templates").await["revision"], 3);
        let line = "RR0060 operator change: operator: r-1, template of tuglink against revision 2: \
            revision 3";
        assert!(log_capture::has_line(line));
        entry.finish().await;
    });
}

/// A check of a change must report a refusal because of an outdated revision without applying the
/// change.
#[test]
fn check_reports_a_stale_base_and_changes_nothing() {
    run(async {
        let entry = start_ready_entry().await;
        let change = queue_change(&entry, "r-1", 600).await;
        let fresh = post(&entry, "/v1/template-checks", &change).await;
        assert!(fresh.body.contains("still in force"), "{}", fresh.body);
        assert_eq!(get(&entry, "/v1/templates").await["revision"], 2);
        assert_eq!(post(&entry, "/v1/templates", &change).await.status, 200);
        let stale = post(&entry, "/v1/template-checks", &change).await;
        assert!(stale.body.contains("would be refused"), "{}", stale.body);
        let effect: Value = serde_json::from_str(&stale.body).expect("JSON");
        assert_eq!(effect["effect"]["revision"], 3);
        entry.finish().await;
    });
}

#[test]
fn new_revision_reaches_replica_and_entry() {
    run(async {
        let entry = start_ready_entry().await;
        let change = queue_change(&entry, "r-1", 600).await;
        assert_eq!(post(&entry, "/v1/templates", &change).await.status, 200);
        entry
            .wait_for_text("/metrics", "roseridge_revision 3")
            .await;
        let rollout = get(&entry, "/v1/rollout").await;
        let places = rollout["places"].as_array().expect("a list");
        let kinds: Vec<_> = places.iter().map(|p| p["kind"].clone()).collect();
        assert_eq!(kinds, ["replica", "entry"]);
        assert_eq!(places[0]["revision"], 3);
        entry.finish().await;
    });
}

#[test]
fn drain_of_an_unknown_worker_is_refused() {
    run(async {
        let entry = start_ready_entry().await;
        let drain = json!({ "request": "r-1", "worker": "worker-1", "drained": true });
        let refused = post(&entry, "/v1/drains", &drain).await;
        assert_eq!(refused.status, 404, "{}", refused.body);
        assert!(refused.body.contains("unknown-worker"), "{}", refused.body);
        entry.finish().await;
    });
}
