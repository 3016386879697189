//! The integration tests of this crate.

#[path = "runner/book_cases.rs"]
mod book_cases;
#[path = "runner/book_fuzz.rs"]
mod book_fuzz;
#[path = "runner/fake_backend.rs"]
mod fake_backend;
