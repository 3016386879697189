//! Access control: the tokens that each listener accepts, and the jobs that a customer can access.

use hyper::Method;
use roseridge_testutils::cases;

use crate::entry_fixture::{
    EntryFixture,
    run,
    send, //
};

/// The listener to which a request is sent.
#[derive(Clone, Copy)]
enum Listener {
    Callers,
    Operators,
}

/// A token that is sent to a listener, and the status code of the expected response.
struct TokenCase {
    listener: Listener,
    token: &'static str,
    status: u16,
}

fn check(case: TokenCase) {
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let to = match case.listener {
            Listener::Callers => entry.callers,
            Listener::Operators => entry.operators,
        };
        let reply = send(to, Method::GET, "/v1/jobs", case.token, None).await;
        assert_eq!(reply.status, case.status, "{}", reply.body);
        entry.finish().await;
    });
}

cases! { check:
    caller_with_own_token = TokenCase {
        listener: Listener::Callers, token: "tuglink-token", status: 200,
    },
    caller_without_token = TokenCase { listener: Listener::Callers, token: "", status: 401 },
    caller_with_wrong_token = TokenCase {
        listener: Listener::Callers, token: "tuglink-tokem", status: 401,
    },
    operator_token_on_callers_listener = TokenCase {
        listener: Listener::Callers, token: "operator-token", status: 401,
    },
    operator_with_own_token = TokenCase {
        listener: Listener::Operators, token: "operator-token", status: 200,
    },
    caller_token_on_operators_listener = TokenCase {
        listener: Listener::Operators, token: "tuglink-token", status: 401,
    },
    operator_without_token = TokenCase { listener: Listener::Operators, token: "", status: 401 },
}

const JOB: &str = r#"{"class":"study","gang":{"members":1,
    "member":{"cores":1,"memory_mib":1,"accelerators":1}},"payload":""}"#;

#[test]
fn customer_reads_and_cancels_only_its_own_jobs() {
    run(async {
        let entry = EntryFixture::start().await;
        entry.wait_for_text("/readyz", "ready").await;
        let body = Some(JOB.to_owned());
        let own_token = "tuglink-token";
        let other_token = "benali-token";
        let accepted = send(entry.callers, Method::POST, "/v1/jobs", own_token, body).await;
        assert_eq!(accepted.status, 202, "{}", accepted.body);
        let path = accepted.headers["location"].to_str().expect("a path");
        let read = send(entry.callers, Method::GET, path, other_token, None).await;
        assert_eq!(read.status, 404, "{}", read.body);
        let cancelled = send(entry.callers, Method::DELETE, path, other_token, None).await;
        assert_eq!(cancelled.status, 404, "{}", cancelled.body);
        let listing = send(entry.callers, Method::GET, "/v1/jobs", other_token, None).await;
        assert_eq!(listing.body, "[]");
        let own_listing = send(entry.callers, Method::GET, "/v1/jobs", own_token, None).await;
        assert!(
            own_listing.body.contains("\"waiting\""),
            "{}",
            own_listing.body
        );
        entry.finish().await;
    });
}
