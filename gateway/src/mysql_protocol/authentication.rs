//! The authentication plugin `mysql_native_password`, the only one that is supported.

use sha1::{Digest, Sha1};

/// Its name.
pub const MYSQL_NATIVE_PASSWORD: &str = "mysql_native_password";

/// The response to a challenge; empty for an empty password.
pub fn native_password_response(password: &[u8], challenge: &[u8]) -> Vec<u8> {
    if password.is_empty() {
        return Vec::new();
    }
    let stage1 = Sha1::digest(password);
    let mix = Sha1::new().chain_update(challenge).chain_update(Sha1::digest(stage1)).finalize();
    stage1.iter().zip(mix).map(|(a, b)| a ^ b).collect()
}
