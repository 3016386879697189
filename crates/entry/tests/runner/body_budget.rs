//! The limit on the bytes of all request bodies in progress.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use compio::net::TcpListener;
use cyper::Client;
use hyper::{
    Method,
    StatusCode, //
};
use roseridge_http::{
    BodyBudget,
    BodyError,
    ServerLimits,
    read_body_within,
    serve_http,
    text_response, //
};
use roseridge_shutdown::stop_pair;
use roseridge_wire::block_on;

/// The maximum length of one body.
const BODY_BYTES: usize = 262_144;
/// The number of bodies of that length that the budget has room for.
const BODY_COUNT: usize = 4;
/// The time for which the server holds each body.
const HOLD_TIME: Duration = Duration::from_millis(600);

/// Posts a body of the maximum length and returns the status.
async fn post(client: Client, address: SocketAddr) -> u16 {
    let url = format!("http://{address}/");
    let builder = client.request(Method::POST, url).expect("a request");
    let response = builder.body("b".repeat(BODY_BYTES)).send().await;
    response.expect("a response").status().as_u16()
}

/// Guards against entries that run out of memory: 512 requests could wait with 256 KiB each.
#[test]
fn bodies_beyond_the_budget_are_refused_and_later_ones_accepted() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (_stop, signal) = stop_pair();
        let budget = BodyBudget::new(BODY_COUNT * BODY_BYTES);
        let held = Rc::new(Cell::new((0_usize, 0_usize)));
        let counts = Rc::clone(&held);
        let serving = serve_http(listener, ServerLimits::default(), signal, move |request| {
            let (budget, counts) = (budget.clone(), Rc::clone(&counts));
            async move {
                match read_body_within(request, BODY_BYTES, &budget).await {
                    Ok(body) => {
                        let (now, most) = counts.get();
                        counts.set((now + 1, most.max(now + 1)));
                        compio::time::sleep(HOLD_TIME).await;
                        let (now, most) = counts.get();
                        counts.set((now - 1, most));
                        text_response(StatusCode::OK, &body.bytes.len().to_string())
                    }
                    Err(BodyError::NoRoom) => text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
                    Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
        });
        compio::runtime::spawn(serving).detach();
        let client = Client::new().expect("a client");
        let posts: Vec<_> = (0..3 * BODY_COUNT)
            .map(|_| compio::runtime::spawn(post(client.clone(), address)))
            .collect();
        let mut statuses = Vec::new();
        for post in posts {
            statuses.push(post.await.expect("a status"));
        }
        assert!(
            statuses.iter().all(|s| [200, 503].contains(s)),
            "{statuses:?}"
        );
        assert!(statuses.contains(&503), "{statuses:?}");
        assert!(held.get().1 <= BODY_COUNT, "{} bodies", held.get().1);
        for _ in 0..BODY_COUNT {
            assert_eq!(post(client.clone(), address).await, 200);
        }
    };
    block_on(run).expect("an event loop");
}
