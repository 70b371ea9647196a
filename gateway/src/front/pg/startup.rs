//! Start-up phase of the PostgreSQL protocol: StartupMessage, SSLRequest, GSSENCRequest and CancelRequest.

use super::messages::{
    authentication_ok, backend_key_data, be32, parameter_status, ready_for_query, sqlstate,
};
use super::{ClientCommand, Session, State};

const MIN_STARTUP_PACKET_BYTES: usize = 8;
const MAX_STARTUP_PACKET_BYTES: usize = 10_000;
const CANCEL_REQUEST_BYTES: usize = 16;

/// Protocol version number in StartupMessage.
const PROTOCOL_3_0: u32 = 3 << 16;
const CANCEL_REQUEST_CODE: u32 = (1234 << 16) | 5678;
const SSL_REQUEST_CODE: u32 = (1234 << 16) | 5679;
const GSSENC_REQUEST_CODE: u32 = (1234 << 16) | 5680;
/// Response to SSLRequest and GSSENCRequest: encryption is not available.
const NO_ENCRYPTION: u8 = b'N';

/// Run-time parameters reported by ParameterStatus.
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0 (wrenhatch)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

impl Session {
    pub(super) fn read_startup_packet(
        &mut self,
        input: &mut Vec<u8>,
        out: &mut Vec<u8>,
    ) -> Option<ClientCommand> {
        if input.len() < MIN_STARTUP_PACKET_BYTES {
            return None;
        }
        let length = be32(input) as usize;
        if !(MIN_STARTUP_PACKET_BYTES..=MAX_STARTUP_PACKET_BYTES).contains(&length) {
            let text = "invalid length of the start-up packet";
            return Some(self.fatal(out, sqlstate::PROTOCOL_VIOLATION, text));
        }
        if input.len() < length {
            return None;
        }
        let packet: Vec<u8> = input.drain(..length).collect();
        Some(self.startup_packet(&packet, out))
    }

    fn startup_packet(&mut self, packet: &[u8], out: &mut Vec<u8>) -> ClientCommand {
        match be32(&packet[4..]) {
            SSL_REQUEST_CODE | GSSENC_REQUEST_CODE => out.push(NO_ENCRYPTION),
            CANCEL_REQUEST_CODE if packet.len() == CANCEL_REQUEST_BYTES => {
                self.state = State::Closed;
                let (session, secret) = (be32(&packet[8..]), be32(&packet[12..]));
                return ClientCommand::Cancel { session, secret };
            }
            PROTOCOL_3_0 => {
                authentication_ok(out);
                PARAMETERS.iter().for_each(|(name, value)| parameter_status(out, name, value));
                backend_key_data(out, self.key);
                ready_for_query(out);
                self.state = State::Ready;
            }
            _ => {
                let text = "only protocol 3.0 is spoken here";
                return self.fatal(out, sqlstate::FEATURE_NOT_SUPPORTED, text);
            }
        }
        ClientCommand::Handled
    }
}
