//! Requests of callers that are refused. Each must get an error that names the cause, and no job
//! may be accepted.

use hyper::Method;
use roseridge_testutils::cases;
use serde_json::Value;

use crate::test_caller::{
    TestCaller,
    TestRequest,
    with_entry, //
};

const VALID_BODY: &str = r#"{"class":"replan","gang":{"members":1,
    "member":{"cores":1,"memory_mib":64,"accelerators":1}},"payload":"p"}"#;

/// An invalid request, with the status code and the problem type of the expected response.
struct BadRequest {
    request: TestRequest,
    status: u16,
    problem: &'static str,
}

fn submit() -> TestRequest {
    TestRequest {
        method: Method::POST,
        path: "/v1/jobs".to_owned(),
        token: Some("tuglink-token".to_owned()),
        key: Some("key-1".to_owned()),
        body: Some(VALID_BODY.to_owned()),
    }
}

fn with_body(body: String) -> TestRequest {
    TestRequest {
        body: Some(body),
        ..submit()
    }
}

async fn listed_jobs(caller: &TestCaller) -> Vec<Value> {
    let request = TestRequest {
        method: Method::GET,
        key: None,
        body: None,
        ..submit()
    };
    let reply = caller.send(&request).await;
    serde_json::from_str(&reply.body).expect("a list")
}

fn check(case: BadRequest) {
    with_entry(|caller| async move {
        let reply = caller.send(&case.request).await;
        assert_eq!(reply.status, case.status, "{}", reply.body);
        assert_eq!(reply.kind, "application/problem+json");
        let problem: Value = serde_json::from_str(&reply.body).expect("a problem");
        let kind = format!("/problems/{}", case.problem);
        assert_eq!(problem["type"], kind.as_str(), "{}", reply.body);
        assert_eq!(problem["not_run"], true, "{}", reply.body);
        assert_eq!(listed_jobs(&caller).await, Vec::<Value>::new());
    });
}

cases! { check:
    missing_token = BadRequest {
        request: TestRequest { token: None, ..submit() },
        status: 401,
        problem: "bad-token",
    },
    wrong_token = BadRequest {
        request: TestRequest { token: Some("benali".to_owned()), ..submit() },
        status: 401,
        problem: "bad-token",
    },
    customer_without_template = BadRequest {
        request: TestRequest { token: Some("stranger-token".to_owned()), ..submit() },
        status: 403,
        problem: "unknown-customer",
    },
    missing_key = BadRequest {
        request: TestRequest { key: None, ..submit() },
        status: 400,
        problem: "bad-key",
    },
    key_with_spaces = BadRequest {
        request: TestRequest { key: Some("a key".to_owned()), ..submit() },
        status: 400,
        problem: "bad-key",
    },
    malformed_json = BadRequest {
        request: with_body(VALID_BODY[..40].to_owned()),
        status: 400,
        problem: "bad-json",
    },
    unknown_field = BadRequest {
        request: with_body(VALID_BODY.replace("payload", "paylod")),
        status: 400,
        problem: "bad-json",
    },
    oversized_body = BadRequest {
        request: with_body(VALID_BODY.replace("\"p\"", &format!("\"{}\"", "p".repeat(300_000)))),
        status: 413,
        problem: "long-body",
    },
    unknown_class = BadRequest {
        request: with_body(VALID_BODY.replace("replan", "replans")),
        status: 422,
        problem: "unknown-class",
    },
    empty_gang = BadRequest {
        request: with_body(VALID_BODY.replace("\"members\":1", "\"members\":0")),
        status: 422,
        problem: "bad-gang",
    },
    oversized_gang = BadRequest {
        request: with_body(VALID_BODY.replace("\"members\":1", "\"members\":65")),
        status: 422,
        problem: "bad-gang",
    },
    unknown_path = BadRequest {
        request: TestRequest { path: "/v1/job".to_owned(), ..submit() },
        status: 404,
        problem: "no-such-path",
    },
}

#[test]
fn resubmission_returns_the_same_job_and_another_body_is_refused() {
    with_entry(|caller| async move {
        let first = caller.send(&submit()).await;
        let resubmitted = caller.send(&submit()).await;
        assert_eq!(
            (first.status, resubmitted.status),
            (202, 202),
            "{}",
            resubmitted.body
        );
        let first: Value = serde_json::from_str(&first.body).expect("a job");
        let resubmitted: Value = serde_json::from_str(&resubmitted.body).expect("a job");
        assert_eq!(first["job"], resubmitted["job"]);
        let reused = with_body(VALID_BODY.replace("\"p\"", "\"q\""));
        let reused = caller.send(&reused).await;
        assert_eq!(reused.status, 409, "{}", reused.body);
        assert!(reused.body.contains("key-reused"), "{}", reused.body);
        assert_eq!(listed_jobs(&caller).await.len(), 1);
    });
}

#[test]
fn another_customer_can_neither_read_nor_cancel_a_job() {
    with_entry(|caller| async move {
        let accepted = caller.send(&submit()).await;
        assert_eq!(accepted.status, 202, "{}", accepted.body);
        for method in [Method::GET, Method::DELETE] {
            let request = TestRequest {
                method,
                path: "/v1/jobs/1".to_owned(),
                token: Some("benali-token".to_owned()),
                ..TestRequest::default()
            };
            let reply = caller.send(&request).await;
            assert_eq!(reply.status, 404, "{}", reply.body);
        }
        assert_eq!(listed_jobs(&caller).await.len(), 1);
    });
}

#[test]
fn job_cancelled_before_its_start_is_not_run() {
    with_entry(|caller| async move {
        let accepted = caller.send(&submit()).await;
        assert_eq!(accepted.status, 202, "{}", accepted.body);
        let cancel = TestRequest {
            method: Method::DELETE,
            path: "/v1/jobs/1".to_owned(),
            ..submit()
        };
        let reply = caller.send(&cancel).await;
        assert_eq!(reply.status, 409, "{}", reply.body);
        let problem: Value = serde_json::from_str(&reply.body).expect("a problem");
        assert_eq!(problem["type"], "/problems/not-run");
        assert_eq!(problem["not_run"], true);
    });
}

/// Sends a request about a job and checks that its refusal does not claim that the job did not run.
async fn assert_no_not_run_claim(caller: &TestCaller, method: Method, path: &str, kind: &str) {
    let request = TestRequest {
        method,
        path: path.to_owned(),
        ..submit()
    };
    let reply = caller.send(&request).await;
    let problem: Value = serde_json::from_str(&reply.body).expect("a problem");
    assert_eq!(problem["type"], kind, "{}", reply.body);
    assert_eq!(problem.get("not_run"), None, "{}", reply.body);
}

#[test]
fn refused_reads_and_cancellations_do_not_claim_that_a_job_did_not_run() {
    with_entry(|caller| async move {
        let accepted = caller.send(&submit()).await;
        assert_eq!(accepted.status, 202, "{}", accepted.body);
        assert_no_not_run_claim(&caller, Method::GET, "/v1/jobs/7", "/problems/unknown-job").await;
        assert_no_not_run_claim(
            &caller,
            Method::DELETE,
            "/v1/jobs/7",
            "/problems/unknown-job",
        )
        .await;
        let cancel = TestRequest {
            method: Method::DELETE,
            path: "/v1/jobs/1".to_owned(),
            ..submit()
        };
        assert_eq!(caller.send(&cancel).await.status, 409);
        assert_no_not_run_claim(&caller, Method::DELETE, "/v1/jobs/1", "/problems/job-ended").await;
    });
}
