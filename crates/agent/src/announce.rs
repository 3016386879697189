//! The handler of the loopback listener on which the backend server announces itself.

use async_channel::Sender;
use hyper::{
    Method,
    StatusCode, //
};
use roseridge_http::{
    HttpReply,
    HttpRequest,
    ProblemDetails,
    json_response,
    read_json, //
};
use roseridge_model::backend_api::BackendAnnouncement;

use crate::agent_event::AgentEvent;

/// The maximum size of an announcement, in bytes.
const MAX_BODY_BYTES: usize = 65_536;

/// Handles one request of the backend server, and passes a valid announcement on to the agent.
pub(crate) async fn handle_backend_request(
    events_out: Sender<AgentEvent>,
    request: HttpRequest,
) -> HttpReply {
    let refuse = |status, detail: &str| ProblemDetails::not_run(status, "agent", detail).response();
    let path = request.uri().path().to_owned();
    if request.method() != Method::POST || path != "/v1/announce" {
        return refuse(StatusCode::NOT_FOUND, "there is no such path");
    }
    let announcement: BackendAnnouncement = match read_json(request, MAX_BODY_BYTES).await {
        Ok(announcement) => announcement,
        Err(error) => return refuse(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    if !announcement.address.ip().is_loopback() {
        return refuse(StatusCode::BAD_REQUEST, "the address must be on loopback");
    }
    match events_out.send(AgentEvent::Announced(announcement)).await {
        Ok(()) => json_response(StatusCode::OK, &serde_json::json!({})),
        Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE, "the agent is stopping"),
    }
}
