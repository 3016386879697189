//! Checks that a salted hash matches exactly the token that was hashed.

use roseridge_settings::TokenHash;
use roseridge_testutils::cases;

/// A presented token, and whether it matches the hash of `a-token`.
struct TokenCase {
    token: &'static str,
    matches: bool,
}

fn check(case: TokenCase) {
    let hash = TokenHash::new("salt", "a-token");
    assert_eq!(hash.matches(case.token), case.matches);
}

cases! { check:
    same = TokenCase { token: "a-token", matches: true },
    last_byte_differs = TokenCase { token: "a-tokem", matches: false },
    first_byte_differs = TokenCase { token: "b-token", matches: false },
    shorter = TokenCase { token: "a-toke", matches: false },
    longer = TokenCase { token: "a-token ", matches: false },
    empty = TokenCase { token: "", matches: false },
    salt_and_token = TokenCase { token: "salta-token", matches: false },
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
fn hash_of_a_token_depends_on_the_salt() {
    let first = TokenHash::new("salt-1", "a-token");
    let second = TokenHash::new("salt-2", "a-token");
    assert_ne!(first.sha256, second.sha256);
    assert!(first.matches("a-token") && second.matches("a-token"));
}

/// An empty stored hash must not match any token, not even an empty one.
#[test]
fn malformed_hash_matches_nothing() {
    let mut hash = TokenHash::new("salt", "a-token");
    hash.sha256.clear();
    assert!(!hash.matches("a-token"));
    assert!(!hash.matches(""));
}
