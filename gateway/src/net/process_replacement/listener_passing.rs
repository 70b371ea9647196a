//! The Unix socket at which a process waits for its successor, and passing of listeners over it as file descriptors
//! (SCM_RIGHTS).

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};

use crate::config::Config;
use crate::net::shared_files;

/// Maximum number of listeners in one message: one for each front end.
const MAX_LISTENERS: usize = 2;

/// The path of the socket. Returns `None` if TMPDIR is not set, or if the admin interface is disabled, as a replacement
/// can't be requested then.
pub(super) fn socket_path(config: &Config) -> Option<PathBuf> {
    config.admin?;
    shared_files::path(config, "sock")
}

/// Listens at the path, replacing an existing socket. The new socket is renamed into place, so that a successor can
/// connect to one of the two at any time.
pub(super) fn listen_at(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(format!("{}", std::process::id()));
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    listener.set_nonblocking(true)?;
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}

/// Sends bytes together with listeners, and returns the number of bytes sent.
///
/// # Errors
/// Sending failed, or there are too many listeners. Nothing was sent.
pub(super) fn send_with_listeners<'a>(
    stream: &UnixStream,
    bytes: &[u8],
    listeners: impl Iterator<Item = &'a TcpListener>,
) -> io::Result<usize> {
    let descriptors: Vec<_> = listeners.map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
        return Err(io::Error::other(format!("{} listeners are too many", descriptors.len())));
    }
    let sent = rustix::net::sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?;
    Ok(sent)
}

/// Reads bytes and the listeners sent with them, and returns the number of bytes read.
///
/// # Errors
/// Receiving failed. Nothing was read.
pub(super) fn receive_with_listeners(
    stream: &UnixStream,
    bytes: &mut [u8],
    listeners: &mut Vec<TcpListener>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let received =
        rustix::net::recvmsg(stream, &mut [IoSliceMut::new(bytes)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            listeners.extend(descriptors.filter_map(into_listener));
        }
    }
    Ok(received.bytes)
}

/// Converts a received descriptor to a non-blocking listener, if it is a listening socket.
fn into_listener(descriptor: OwnedFd) -> Option<TcpListener> {
    let socket = socket2::Socket::from(descriptor);
    let listens = socket.is_listener().unwrap_or(false) && socket.set_nonblocking(true).is_ok();
    listens.then(|| socket.into())
}
