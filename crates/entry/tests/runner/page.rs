//! The files of the operators' page and their content security policy.

use hyper::Method;
use roseridge_testutils::cases;

use crate::entry_fixture::{
    EntryFixture,
    run,
    send, //
};

/// Texts whose presence would let a name be interpreted as markup or code, or let the page load
/// something from another host.
const FORBIDDEN: &[&str] = &[
    "innerHTML",
    "outerHTML",
    "insertAdjacentHTML",
    "document.write",
    "eval(",
    "new Function",
    "DOMParser",
    "javascript:",
    "https:",
    "localStorage",
    "style=",
    "@import",
];

/// A file of the page, its content type and a text that it contains.
struct PageFile {
    path: &'static str,
    kind: &'static str,
    contains: &'static str,
}

fn check(file: PageFile) {
    run(async {
        let entry = EntryFixture::start().await;
        let reply = send(entry.operators, Method::GET, file.path, "", None).await;
        assert_eq!(reply.status, 200);
        assert!(reply.body.contains(file.contains), "{}", reply.body);
        let header = |name: &str| reply.headers[name].to_str().expect("a text").to_owned();
        assert_eq!(header("content-type"), file.kind);
        let policy = header("content-security-policy");
        assert!(policy.starts_with("default-src 'none'; script-src 'self';"));
        assert!(!policy.contains("unsafe"), "{policy}");
        assert_eq!(header("x-frame-options"), "DENY");
        for forbidden in FORBIDDEN {
            assert!(
                !reply.body.contains(forbidden),
                "{} in {}",
                forbidden,
                file.path
            );
        }
        let on_callers_listener = send(entry.callers, Method::GET, file.path, "", None).await;
        assert_eq!(on_callers_listener.status, 401);
        entry.finish().await;
    });
}

cases! { check:
    html = PageFile { path: "/", kind: "text/html; charset=utf-8", contains: "/page/main.js" },
    style = PageFile {
        path: "/page/style.css", kind: "text/css; charset=utf-8", contains: "color-scheme",
    },
    dom = PageFile {
        path: "/page/dom.js", kind: "text/javascript; charset=utf-8", contains: "createElement",
    },
    api = PageFile {
        path: "/page/api.js", kind: "text/javascript; charset=utf-8", contains: "sessionStorage",
    },
    diff = PageFile {
        path: "/page/diff.js", kind: "text/javascript; charset=utf-8", contains: "differences",
    },
    views = PageFile {
        path: "/page/views.js", kind: "text/javascript; charset=utf-8", contains: "overview",
    },
    change = PageFile {
        path: "/page/change.js", kind: "text/javascript; charset=utf-8", contains: "rollout",
    },
    main = PageFile {
        path: "/page/main.js", kind: "text/javascript; charset=utf-8", contains: "keepFresh",
    },
}

#[test]
fn unknown_file_of_the_page_needs_a_token() {
    run(async {
        let entry = EntryFixture::start().await;
        let reply = send(entry.operators, Method::GET, "/page/other.js", "", None).await;
        assert_eq!(reply.status, 401);
        entry.finish().await;
    });
}
