//! An HTTP server with limits, JSON bodies and problem details.

mod body;
mod problem;
mod server;

pub use body::BodyBudget;
pub use body::BodyError;
pub use body::HeldBody;
pub use body::json_response;
pub use body::read_body;
pub use body::read_body_within;
pub use body::read_json;
pub use body::text_response;
pub use body::typed_response;
pub use problem::ProblemDetails;
pub use problem::RefusalKind;
pub use server::HttpReply;
pub use server::HttpRequest;
pub use server::ServerLimits;
pub use server::serve_http;
