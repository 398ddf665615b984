//! Connections as peers see them when things go wrong: gated, cut, or ended with garbage. HTTP is hyper's.
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

/// While a gate is shut, so much of what comes is taken in unseen.
const MOST_HELD: usize = 256 * 1024;

/// Shut, the connections behind it stay open and say nothing.
#[derive(Default)]
pub struct Gate {
    shut: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
}

impl Gate {
    pub fn set_closed(&self, shut: bool) {
        self.shut.set(shut);
        if !shut {
            self.waiting.take().into_iter().for_each(Waker::wake);
        }
    }

    pub fn is_closed(&self) -> bool {
        self.shut.get()
    }

    fn wait(&self, cx: &Context) {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|waker| waker.will_wake(cx.waker())) {
            waiting.push(cx.waker().clone());
        }
    }
}

/// How a connection is ended from this side.
#[derive(Clone, Debug)]
pub enum Abort {
    /// By RST.
    Reset,
    /// After these bytes, outside of HTTP.
    Write(&'static [u8]),
}

/// What is known of one connection, shared with whoever serves it.
#[derive(Default)]
pub struct ConnectionHandle {
    cut: RefCell<Option<Abort>>,
    cut_told: Notify,
    /// When the first byte since the last answer came.
    first_byte: Cell<Option<Instant>>,
    /// Called once the peer has ended its side.
    ended: Notify,
    has_ended: Cell<bool>,
}

impl ConnectionHandle {
    pub fn abort(&self, how: Abort) {
        *self.cut.borrow_mut() = Some(how);
        self.cut_told.notify_one();
    }

    /// The same by RST, after a while.
    pub fn reset_after(self: &Rc<Self>, wait: std::time::Duration) {
        let line = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(wait).await;
            line.abort(Abort::Reset);
        });
    }

    /// When the request that is being served began to come.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.first_byte.get()
    }

    /// Waits until the peer has ended its side.
    pub async fn peer_closed(&self) {
        if !self.has_ended.get() {
            self.ended.notified().await;
        }
    }
}

struct Gated {
    stream: TcpStream,
    gate: Rc<Gate>,
    line: Rc<ConnectionHandle>,
    held: VecDeque<u8>,
}

impl Gated {
    fn read_on(&mut self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(read) = &read {
            let n = buf.filled().len() - before;
            if n > 0 && self.line.first_byte.get().is_none() {
                self.line.first_byte.set(Some(Instant::now()));
            }
            if n == 0 || read.is_err() {
                self.line.has_ended.set(true);
                self.line.ended.notify_waiters();
            }
        }
        read
    }
}

impl AsyncRead for Gated {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.gate.is_closed() {
            // Seen by the kernel all the same, so that an end of the peer's side is noticed when it comes.
            this.gate.wait(cx);
            if this.held.len() >= MOST_HELD || this.line.has_ended.get() {
                return Poll::Pending;
            }
            let mut space = [0; 4096];
            let mut own = ReadBuf::new(&mut space);
            match this.read_on(cx, &mut own) {
                Poll::Ready(Ok(())) => this.held.extend(own.filled()),
                Poll::Ready(Err(_)) | Poll::Pending => return Poll::Pending,
            }
        }
        if this.held.is_empty() {
            return this.read_on(cx, buf);
        }
        let n = this.held.len().min(buf.remaining());
        let bytes: Vec<u8> = this.held.drain(..n).collect();
        buf.put_slice(&bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Gated {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.gate.is_closed() {
            self.gate.wait(cx);
            return Poll::Pending;
        }
        self.line.first_byte.set(None);
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A body that is written as it becomes known.
pub struct StreamedBody {
    lines: mpsc::UnboundedReceiver<Bytes>,
    /// Told when the body is dropped, whole or not.
    dropped: Option<Box<dyn FnOnce()>>,
}

pub type BodySender = mpsc::UnboundedSender<Bytes>;

impl StreamedBody {
    pub fn new(dropped: Option<Box<dyn FnOnce()>>) -> (BodySender, Self) {
        let (send, lines) = mpsc::unbounded_channel();
        (send, StreamedBody { lines, dropped })
    }

    /// A body that is known as a whole.
    pub fn full(body: impl Into<Bytes>) -> Self {
        let (send, lines) = StreamedBody::new(None);
        let body = body.into();
        if !body.is_empty() {
            let _ = send.send(body);
        }
        lines
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.lines.poll_recv(cx).map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if let Some(dropped) = self.dropped.take() {
            dropped();
        }
    }
}

/// Serves one connection until it ends or is cut.
pub async fn serve<F, R>(stream: TcpStream, gate: Rc<Gate>, line: Rc<ConnectionHandle>, answer: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<StreamedBody>>,
{
    let _ = stream.set_nodelay(true);
    let gated = Gated { stream, gate, line: line.clone(), held: VecDeque::new() };
    let service = service_fn(|request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    let mut connection = builder.serve_connection(TokioIo::new(gated), service);
    tokio::select! {
        // A cut comes before whatever ended in the same moment: guards against a broken answer that ends well.
        biased;
        () = line.cut_told.notified() => {}
        _ = &mut connection => return,
    }
    let mut stream = connection.into_parts().io.into_inner().stream;
    match line.cut.take() {
        Some(Abort::Write(bytes)) => _ = stream.write_all(bytes).await,
        _ => _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO)),
    }
}

/// Listens at an address, also one that was just in use.
///
/// # Errors
/// Where the address is not this machine's, or in use.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(1024)
}

/// Makes new connections to a listener never come up, until it is dropped: the queue of those that wait to be
/// accepted is cut to nothing and filled, so that the kernel passes over what asks to connect.
pub struct ListenerBlock {
    _fill: Vec<TcpStream>,
}

impl ListenerBlock {
    pub async fn install(listener: &TcpListener) -> io::Result<Self> {
        let addr = listener.local_addr()?;
        socket2::SockRef::from(listener).listen(0)?;
        let mut fill = Vec::new();
        // Each fill may itself wait in vain once the queue is full.
        for _ in 0..4 {
            let wait = std::time::Duration::from_millis(20);
            match tokio::time::timeout(wait, TcpStream::connect(addr)).await {
                Ok(Ok(stream)) => fill.push(stream),
                _ => break,
            }
        }
        Ok(ListenerBlock { _fill: fill })
    }

    /// Lets connections come up again.
    pub fn remove(self, listener: &TcpListener) -> io::Result<()> {
        socket2::SockRef::from(listener).listen(1024)
    }
}
