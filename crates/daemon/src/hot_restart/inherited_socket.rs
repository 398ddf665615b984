//! The clients' socket that the platform holds and passes on, so that it stays open from one process to the next.
use socket2::{Domain, SockRef, Type};
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};

/// The socket whose descriptor is named, if one is; to be called before anything is opened.
///
/// # Errors
/// One plain line where the descriptor is none, or no TCP socket that listens.
pub fn listener(named: Option<&str>) -> Result<Option<TcpListener>, String> {
    let Some(named) = named.filter(|named| !named.is_empty()) else { return Ok(None) };
    let bad = |what: &str| format!("ROUTER_PASSED_SOCKET: `{named}` {what}");
    let none = || bad("is no descriptor; it is a number from 3 up");
    let fd = named.parse::<RawFd>().ok().filter(|&fd| fd > 2).ok_or_else(none)?;
    // SAFETY: whether it is open is looked at before it is used for anything; nothing else in this process
    // owns it, as nothing has been opened yet.
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    check(borrowed).map_err(bad)?;
    // SAFETY: as above; from here on it is the listener's.
    let owned = unsafe { OwnedFd::from_raw_fd(fd) };
    let listener = TcpListener::from(owned);
    listener.set_nonblocking(true).map_err(|e| bad(&e.to_string()))?;
    Ok(Some(listener))
}

fn check(fd: BorrowedFd) -> Result<(), &'static str> {
    let socket = SockRef::from(&fd);
    let kind = socket.r#type().map_err(|_| "is not an open socket")?;
    let domain = socket.domain().map_err(|_| "is not an open socket")?;
    if kind != Type::STREAM || !matches!(domain, Domain::IPV4 | Domain::IPV6) {
        return Err("is no TCP socket");
    }
    match socket.is_listener() {
        Ok(true) => Ok(()),
        _ => Err("does not listen"),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/inherited_socket.rs"]
mod tests;
