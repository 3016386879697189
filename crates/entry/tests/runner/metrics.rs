//! The metrics of an entry.

use hyper::Method;

use crate::entry_fixture::{
    EntryFixture,
    run,
    send, //
};

const JOB: &str = r#"{"class":"study","gang":{"members":1,
    "member":{"cores":1,"memory_mib":1,"accelerators":1}},"payload":""}"#;

#[test]
fn metrics_need_no_token_and_reflect_jobs_and_refusals() {
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        entry.wait_for_text("/metrics", "roseridge_leading 1").await;
        let body = Some(JOB.to_owned());
        let token = "tuglink-token";
        let accepted = send(entry.callers, Method::POST, "/v1/jobs", token, body).await;
        assert_eq!(accepted.status, 202, "{}", accepted.body);
        let waiting = r#"roseridge_jobs{customer="tuglink",state="waiting"} 1"#;
        entry.wait_for_text("/metrics", waiting).await;
        let location = &accepted.headers["location"];
        let path = location.to_str().expect("a path");
        send(entry.callers, Method::DELETE, path, token, None).await;
        let ended = r#"roseridge_completion_seconds_count{class="study",customer="tuglink"} 1"#;
        entry.wait_for_text("/metrics", ended).await;
        let refused = send(entry.callers, Method::GET, "/v1/jobs", "wrong", None).await;
        assert_eq!(refused.status, 401);
        let counted = r#"roseridge_refusals_total{listener="callers",reason="bad-token"} 1"#;
        entry.wait_for_text("/metrics", counted).await;
        let text = send(entry.operators, Method::GET, "/metrics", "", None).await;
        assert!(text.body.contains("roseridge_elections_won_total 1"));
        assert!(!text.body.contains("roseridge_log_bytes 0\n"));
        entry.finish().await;
    });
}

#[test]
fn callers_listener_has_no_metrics() {
    run(async {
        let entry = EntryFixture::start().await;
        let reply = send(
            entry.callers,
            Method::GET,
            "/metrics",
            "tuglink-token",
            None,
        )
        .await;
        assert_eq!(reply.status, 404);
        entry.finish().await;
    });
}
