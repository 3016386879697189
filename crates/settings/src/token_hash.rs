//! Salted hashes of tokens.

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;

/// The salted SHA-256 of a token; the token itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenHash {
    /// The salt, which is hashed before the token.
    pub salt: String,
    /// The hash in lower-case hexadecimal.
    pub sha256: String,
}

impl TokenHash {
    /// Hashes a token with a salt.
    pub fn new(salt: &str, token: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(salt.as_bytes());
        hasher.update(token.as_bytes());
        let digest = hasher.finalize();
        Self {
            salt: salt.to_owned(),
            sha256: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
        }
    }

    /// Returns whether this is the hash of a token. The time of the comparison does not depend on
    /// where the hashes differ.
    pub fn matches(&self, token: &str) -> bool {
        let candidate = Self::new(&self.salt, token);
        candidate
            .sha256
            .as_bytes()
            .ct_eq(self.sha256.as_bytes())
            .into()
    }
}
