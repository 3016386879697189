//! Tokens and their salted hashes.

use roseridge_settings::TokenHash;
use roseridge_testutils::cases;

/// A shown token, and whether it is the hashed one.
struct ShownToken {
    shown: &'static str,
    matches: bool,
}

fn check(token: ShownToken) {
    let hash = TokenHash::new("salt", "a-token");
    assert_eq!(hash.matches(token.shown), token.matches);
}

cases! { check:
    same = ShownToken { shown: "a-token", matches: true },
    last_byte_differs = ShownToken { shown: "a-tokem", matches: false },
    first_byte_differs = ShownToken { shown: "b-token", matches: false },
    shorter = ShownToken { shown: "a-toke", matches: false },
    longer = ShownToken { shown: "a-token ", matches: false },
    empty = ShownToken { shown: "", matches: false },
    salt_shown_too = ShownToken { shown: "salta-token", matches: false },
}

#[test]
fn known_hash_is_sha256_of_salt_and_token() {
    let hash = TokenHash::new("a", "bc");
    let known = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(
        hash.sha256, known,
        "the published test vector of SHA-256 for abc"
    );
}

#[test]
fn same_token_has_another_hash_under_another_salt() {
    let one = TokenHash::new("salt-1", "a-token");
    let other = TokenHash::new("salt-2", "a-token");
    assert_ne!(one.sha256, other.sha256);
    assert!(one.matches("a-token") && other.matches("a-token"));
}

#[test]
fn malformed_hash_matches_nothing() {
    let mut hash = TokenHash::new("salt", "a-token");
    hash.sha256.clear();
    assert!(!hash.matches("a-token"));
    assert!(!hash.matches(""));
}
