//! Connection phase of the MySQL protocol: HandshakeV10, HandshakeResponse41 and AuthSwitchRequest.

use super::{Event, Session, State, WANTED_CAPABILITIES};
use crate::mysql_protocol::{
    CHARSET_UTF8MB4, EOF_HEADER, HANDSHAKE_VERSION, MAX_PACKET_BYTES, MYSQL_NATIVE_PASSWORD, OK_HEADER,
    PacketError, Reader, SqlError, error_code, native_password_response, write_packet,
};

impl Session {
    /// Reads the engine's handshake and writes the handshake response.
    pub(super) fn handshake(&mut self, payload: &[u8], out: &mut Vec<u8>) -> Result<(), PacketError> {
        let mut reader = Reader(payload);
        if reader.int(1)? != u64::from(HANDSHAKE_VERSION) {
            return Err(PacketError::Malformed);
        }
        let _server_version = reader.nul_terminated_string()?;
        self.connection_id = reader.int(4)? as u32;
        let mut challenge = reader.bytes(8)?.to_vec();
        let _filler = reader.bytes(1)?;
        let capabilities_low = reader.int(2)? as u32;
        let _charset_and_status = reader.bytes(3)?;
        let capabilities = capabilities_low | (reader.int(2)? as u32) << 16;
        let challenge_length = reader.int(1)? as usize;
        let _reserved = reader.bytes(10)?;
        // auth-plugin-data-part-2, without its terminating NUL.
        challenge.extend(reader.bytes(challenge_length.saturating_sub(9).clamp(12, 32))?);
        self.capabilities = capabilities & WANTED_CAPABILITIES;
        self.write_handshake_response(&challenge, out);
        self.state = State::Authenticating;
        Ok(())
    }

    fn write_handshake_response(&mut self, challenge: &[u8], out: &mut Vec<u8>) {
        let mut payload = self.capabilities.to_le_bytes().to_vec();
        payload.extend((MAX_PACKET_BYTES as u32).to_le_bytes());
        payload.push(CHARSET_UTF8MB4);
        payload.extend([0; 23]);
        payload.extend(self.login.user.bytes().chain([0]));
        let response = native_password_response(self.login.password.as_bytes(), challenge);
        payload.push(response.len() as u8);
        payload.extend(response);
        payload.extend(MYSQL_NATIVE_PASSWORD.bytes().chain([0]));
        write_packet(out, &mut self.sequence, &payload);
    }

    /// Reads the OK packet that completes authentication, or an AuthSwitchRequest. Of the authentication plugins, only
    /// `mysql_native_password` is supported.
    pub(super) fn authentication_response(
        &mut self,
        payload: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<Option<Event>, PacketError> {
        if payload[0] == OK_HEADER {
            self.state = State::Idle;
            return Ok(Some(Event::Ready));
        }
        let mut reader = Reader(&payload[1..]);
        let is_switch_request = payload[0] == EOF_HEADER;
        if !is_switch_request || reader.nul_terminated_string()? != MYSQL_NATIVE_PASSWORD.as_bytes() {
            let message = "the engine requires an authentication plugin other than mysql_native_password";
            let error = SqlError::new(error_code::ER_NOT_SUPPORTED_AUTH_MODE, "08004", message);
            return Ok(Some(Event::ConnectionRejected(error)));
        }
        let challenge = reader.0.strip_suffix(&[0]).unwrap_or(reader.0);
        let response = native_password_response(self.login.password.as_bytes(), challenge);
        write_packet(out, &mut self.sequence, &response);
        Ok(None)
    }
}
