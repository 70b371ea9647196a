//! Connection phase of the MySQL protocol: HandshakeV10, HandshakeResponse41, AuthSwitchRequest, and authentication.

use super::{ClientCommand, OFFERED_CAPABILITIES, Session, State};
use crate::mysql_protocol::{
    CHARSET_UTF8MB4, EOF_HEADER, HANDSHAKE_VERSION, MYSQL_NATIVE_PASSWORD, PacketError, Reader,
    SERVER_STATUS_AUTOCOMMIT, capabilities, error_code, native_password_response, write_packet,
};

const SERVER_VERSION: &[u8] = b"8.0.0-wrenhatch\0";
/// Length of `auth-plugin-data-part-1` in HandshakeV10. The rest of the challenge is `auth-plugin-data-part-2`.
const CHALLENGE_PART_1_BYTES: usize = 8;

impl Session {
    pub(super) fn write_handshake(&mut self, connection_id: u32, out: &mut Vec<u8>) {
        let (part_1, part_2) = self.challenge.split_at(CHALLENGE_PART_1_BYTES);
        let mut payload = vec![HANDSHAKE_VERSION];
        payload.extend(SERVER_VERSION);
        payload.extend(connection_id.to_le_bytes());
        payload.extend(part_1);
        payload.push(0);
        payload.extend((OFFERED_CAPABILITIES as u16).to_le_bytes());
        payload.push(CHARSET_UTF8MB4);
        payload.extend(SERVER_STATUS_AUTOCOMMIT.to_le_bytes());
        payload.extend(((OFFERED_CAPABILITIES >> 16) as u16).to_le_bytes());
        payload.push(self.challenge.len() as u8 + 1); // Includes the terminating NUL.
        payload.extend([0; 10]);
        payload.extend(part_2);
        payload.push(0);
        payload.extend(MYSQL_NATIVE_PASSWORD.bytes().chain([0]));
        write_packet(out, &mut self.sequence, &payload);
    }

    pub(super) fn handshake_response(
        &mut self,
        payload: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<ClientCommand, PacketError> {
        let mut reader = Reader(payload);
        self.capabilities = reader.int(4)? as u32 & OFFERED_CAPABILITIES;
        let _max_packet_size_charset_and_filler = reader.bytes(4 + 1 + 23)?;
        // An SSLRequest, although CLIENT_SSL was not offered, or HandshakeResponse320.
        if reader.0.is_empty() || !self.has_capability(capabilities::CLIENT_PROTOCOL_41) {
            return Err(PacketError::Malformed);
        }
        let user = reader.nul_terminated_string()?.to_vec();
        let response = if self.has_capability(capabilities::CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA) {
            reader.lenenc_string()?
        } else {
            let length = reader.int(1)? as usize;
            reader.bytes(length)?
        };
        if self.has_capability(capabilities::CLIENT_CONNECT_WITH_DB) {
            let _database = reader.nul_terminated_string()?;
        }
        let plugin = if self.has_capability(capabilities::CLIENT_PLUGIN_AUTH) {
            reader.nul_terminated_string().unwrap_or(b"")
        } else {
            b""
        };
        if !plugin.is_empty() && plugin != MYSQL_NATIVE_PASSWORD.as_bytes() {
            self.write_auth_switch_request(out);
            self.state = State::AwaitingAuthSwitchResponse(user);
            return Ok(ClientCommand::Handled);
        }
        Ok(self.authenticate(&user, response, out))
    }

    fn write_auth_switch_request(&mut self, out: &mut Vec<u8>) {
        let mut payload = vec![EOF_HEADER];
        payload.extend(MYSQL_NATIVE_PASSWORD.bytes().chain([0]));
        payload.extend(self.challenge.iter().copied().chain([0]));
        write_packet(out, &mut self.sequence, &payload);
    }

    /// Checks the authentication response, and assigns the session to the tenant of the account.
    pub(super) fn authenticate(&mut self, user: &[u8], response: &[u8], out: &mut Vec<u8>) -> ClientCommand {
        let user = String::from_utf8_lossy(user).into_owned();
        let account = self.directory.look_up(&user);
        let matches_challenge =
            |password: &str| native_password_response(password.as_bytes(), &self.challenge) == response;
        match account.filter(|account| matches_challenge(&account.password)) {
            Some(account) => {
                self.tenant = Some(account.tenant.clone());
                self.write_ok(0, 0, out);
                ClientCommand::Handled
            }
            None => {
                let message = format!("Access denied for user '{user}'");
                self.fatal(error_code::ER_ACCESS_DENIED_ERROR, "28000", &message, out)
            }
        }
    }
}
