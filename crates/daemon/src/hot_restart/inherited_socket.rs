//! The listening socket that a process inherits from the platform, so that it stays open during a hot restart.
use socket2::{Domain, SockRef, Type};
use std::io;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};

/// Environment variable with the number of the inherited file descriptor.
pub const DESCRIPTOR_VARIABLE: &str = "ROUTER_PASSED_SOCKET";

/// The lowest descriptor that can be inherited; those below are the standard streams.
const FIRST_DESCRIPTOR: RawFd = 3;

/// Why the inherited descriptor cannot be used as the listening socket.
#[derive(Debug, thiserror::Error)]
#[error("{DESCRIPTOR_VARIABLE}: `{descriptor}` {reason}")]
pub struct InheritedSocketError {
    /// The value of the environment variable.
    descriptor: String,
    #[source]
    reason: DescriptorError,
}

/// Why a descriptor is not a usable listening socket.
#[derive(Debug, thiserror::Error)]
enum DescriptorError {
    #[error("is not a descriptor, expected a number of at least {FIRST_DESCRIPTOR}")]
    NotADescriptor,
    #[error("is not an open socket: {0}")]
    NotOpen(#[source] io::Error),
    #[error("is not a TCP socket")]
    NotTcp,
    #[error("is not a listening socket")]
    NotListening,
    #[error("cannot be made non-blocking: {0}")]
    NonBlocking(#[source] io::Error),
}

/// Takes ownership of the socket with the number in `descriptor`. Returns `None` if that is absent or empty. Must be
/// called before this process opens any file or socket.
///
/// # Errors
/// If the descriptor is not the number of a listening TCP socket.
pub fn take_listener(descriptor: Option<&str>) -> Result<Option<TcpListener>, InheritedSocketError> {
    let Some(descriptor) = descriptor.filter(|descriptor| !descriptor.is_empty()) else { return Ok(None) };
    let listener = take_ownership(descriptor);
    listener.map(Some).map_err(|reason| InheritedSocketError { descriptor: descriptor.to_string(), reason })
}

fn take_ownership(descriptor: &str) -> Result<TcpListener, DescriptorError> {
    let number = descriptor.parse::<RawFd>().ok().filter(|&number| number >= FIRST_DESCRIPTOR);
    let number = number.ok_or(DescriptorError::NotADescriptor)?;
    // SAFETY: nothing has been opened yet, so nothing else in this process owns the descriptor, and `check` fails
    // if it is not open.
    let borrowed = unsafe { BorrowedFd::borrow_raw(number) };
    check(borrowed)?;
    // SAFETY: as above; the listener is the only owner from here on.
    let owned = unsafe { OwnedFd::from_raw_fd(number) };
    let listener = TcpListener::from(owned);
    listener.set_nonblocking(true).map_err(DescriptorError::NonBlocking)?;
    Ok(listener)
}

fn check(descriptor: BorrowedFd) -> Result<(), DescriptorError> {
    let socket = SockRef::from(&descriptor);
    let socket_type = socket.r#type().map_err(DescriptorError::NotOpen)?;
    let domain = socket.domain().map_err(DescriptorError::NotOpen)?;
    if socket_type != Type::STREAM || !matches!(domain, Domain::IPV4 | Domain::IPV6) {
        return Err(DescriptorError::NotTcp);
    }
    match socket.is_listener() {
        Ok(true) => Ok(()),
        _ => Err(DescriptorError::NotListening),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/inherited_socket.rs"]
mod tests;
