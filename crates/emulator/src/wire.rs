//! HTTP connections (by hyper) with faults: they can stop all traffic, be reset, or end with bytes outside of HTTP.
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// A connection whose gate is closed is not read any further once this many bytes are buffered.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Controls the traffic of a group of connections. While it is closed, the connections stay open without any traffic.
#[derive(Default)]
pub struct Gate {
    closed: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl Gate {
    /// Closes or opens the gate.
    pub fn set_closed(&self, closed: bool) {
        self.closed.set(closed);
        if !closed {
            self.wakers.take().into_iter().for_each(Waker::wake);
        }
    }

    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Wakes the task once the gate opens.
    fn register_waker(&self, cx: &Context) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
    }
}

/// How this side ends a connection.
#[derive(Clone, Debug)]
pub enum Abort {
    /// With a TCP reset.
    Reset,
    /// By closing it after these bytes, which are written outside of HTTP.
    Write(&'static [u8]),
}

/// The state of one connection, shared between its task and its request handlers.
#[derive(Default)]
pub struct ConnectionHandle {
    abort: RefCell<Option<Abort>>,
    aborted: Notify,
    /// When the first byte after the last answer arrived.
    first_byte_at: Cell<Option<Instant>>,
    /// Notified once the peer has closed its side.
    peer_closed: Notify,
    is_peer_closed: Cell<bool>,
}

impl ConnectionHandle {
    /// Ends the connection.
    pub fn abort(&self, abort: Abort) {
        *self.abort.borrow_mut() = Some(abort);
        self.aborted.notify_one();
    }

    /// Resets the connection after a delay.
    pub fn reset_after(self: &Rc<Self>, delay: std::time::Duration) {
        let connection = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            connection.abort(Abort::Reset);
        });
    }

    /// When the first byte of the current request arrived.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.first_byte_at.get()
    }

    /// Waits until the peer has closed its side.
    pub async fn peer_closed(&self) {
        if !self.is_peer_closed.get() {
            self.peer_closed.notified().await;
        }
    }
}

/// A TCP stream whose traffic a gate controls.
struct GatedStream {
    stream: TcpStream,
    gate: Rc<Gate>,
    connection: Rc<ConnectionHandle>,
    /// Bytes received while the gate was closed.
    buffered: VecDeque<u8>,
}

impl GatedStream {
    /// Reads from the socket, and records when the first byte of a request arrived and that the peer closed its side.
    fn poll_socket(&mut self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(read) = &read {
            let count = buf.filled().len() - before;
            if count > 0 && self.connection.first_byte_at.get().is_none() {
                self.connection.first_byte_at.set(Some(Instant::now()));
            }
            if count == 0 || read.is_err() {
                self.connection.is_peer_closed.set(true);
                self.connection.peer_closed.notify_waiters();
            }
        }
        read
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let gated = &mut *self;
        while gated.gate.is_closed() {
            // Reads even while the gate is closed, in order to notice when the peer closes its side.
            gated.gate.register_waker(cx);
            if gated.buffered.len() >= MAX_BUFFERED_BYTES || gated.connection.is_peer_closed.get() {
                return Poll::Pending;
            }
            let mut space = [0; 4096];
            let mut chunk = ReadBuf::new(&mut space);
            match gated.poll_socket(cx, &mut chunk) {
                Poll::Ready(Ok(())) => gated.buffered.extend(chunk.filled()),
                Poll::Ready(Err(_)) | Poll::Pending => return Poll::Pending,
            }
        }
        if gated.buffered.is_empty() {
            return gated.poll_socket(cx, buf);
        }
        let count = gated.buffered.len().min(buf.remaining());
        let bytes: Vec<u8> = gated.buffered.drain(..count).collect();
        buf.put_slice(&bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.gate.is_closed() {
            self.gate.register_waker(cx);
            return Poll::Pending;
        }
        self.connection.first_byte_at.set(None);
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A response body whose chunks are sent while it is being written.
pub struct StreamedBody {
    chunks: mpsc::UnboundedReceiver<Bytes>,
    /// Called when the body is dropped, complete or not.
    on_drop: Option<Box<dyn FnOnce()>>,
}

/// Sends the chunks of a [`StreamedBody`]; the body is complete when it is dropped.
pub type BodySender = mpsc::UnboundedSender<Bytes>;

impl StreamedBody {
    /// Creates a body and its sender; `on_drop` is called when the body is dropped.
    pub fn new(on_drop: Option<Box<dyn FnOnce()>>) -> (BodySender, Self) {
        let (sender, chunks) = mpsc::unbounded_channel();
        (sender, StreamedBody { chunks, on_drop })
    }

    /// Creates a complete body.
    pub fn full(body: impl Into<Bytes>) -> Self {
        let (sender, streamed) = StreamedBody::new(None);
        let body = body.into();
        if !body.is_empty() {
            let _ = sender.send(body);
        }
        streamed
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| Ok(Frame::data(chunk))))
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if let Some(on_drop) = self.on_drop.take() {
            on_drop();
        }
    }
}

/// Serves one connection until it ends or is aborted.
pub async fn serve<F, R>(stream: TcpStream, gate: Rc<Gate>, handle: Rc<ConnectionHandle>, answer: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<StreamedBody>>,
{
    let _ = stream.set_nodelay(true);
    let gated = GatedStream { stream, gate, connection: handle.clone(), buffered: VecDeque::new() };
    let service = service_fn(|request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    let mut connection = builder.serve_connection(TokioIo::new(gated), service);
    tokio::select! {
        // An abort takes precedence over the end of the connection at the same time; otherwise an answer that should
        // break off could end properly.
        biased;
        () = handle.aborted.notified() => {}
        _ = &mut connection => return,
    }
    let mut stream = connection.into_parts().io.into_inner().stream;
    match handle.abort.take() {
        Some(Abort::Write(bytes)) => _ = stream.write_all(bytes).await,
        _ => _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO)),
    }
}

/// Listens at an address, even if it was in use shortly before.
///
/// # Errors
/// If the address is not local or in use.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(1024)
}

/// Prevents a listener from establishing new connections: its backlog is reduced to the minimum and filled, so that the
/// kernel ignores connection requests.
pub struct ListenerBlock {
    _connections: Vec<TcpStream>,
}

impl ListenerBlock {
    /// Blocks a listener.
    ///
    /// # Errors
    /// If the address of the listener or its backlog cannot be accessed.
    pub async fn install(listener: &TcpListener) -> io::Result<Self> {
        let addr = listener.local_addr()?;
        socket2::SockRef::from(listener).listen(0)?;
        let mut connections = Vec::new();
        // Once the backlog is full, a further connection attempt gets no answer.
        for _ in 0..4 {
            let connect_timeout = std::time::Duration::from_millis(20);
            match tokio::time::timeout(connect_timeout, TcpStream::connect(addr)).await {
                Ok(Ok(stream)) => connections.push(stream),
                _ => break,
            }
        }
        Ok(ListenerBlock { _connections: connections })
    }

    /// Lets the listener establish connections again.
    ///
    /// # Errors
    /// If its backlog cannot be set.
    pub fn remove(self, listener: &TcpListener) -> io::Result<()> {
        socket2::SockRef::from(listener).listen(1024)
    }
}
