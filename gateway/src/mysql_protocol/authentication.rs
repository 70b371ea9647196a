//! The authentication plugin `mysql_native_password`, the only one that the gateway supports.

use sha1::{Digest, Sha1};

/// Plugin name in HandshakeV10, HandshakeResponse41 and AuthSwitchRequest.
pub const MYSQL_NATIVE_PASSWORD: &str = "mysql_native_password";

/// Computes the response to a challenge: `SHA1(password) XOR SHA1(challenge, SHA1(SHA1(password)))`. Empty if the
/// password is empty.
pub fn native_password_response(password: &[u8], challenge: &[u8]) -> Vec<u8> {
    if password.is_empty() {
        return Vec::new();
    }
    let stage1 = Sha1::digest(password);
    let mask = Sha1::new().chain_update(challenge).chain_update(Sha1::digest(stage1)).finalize();
    stage1.iter().zip(mask).map(|(a, b)| a ^ b).collect()
}
