//! Worker processes that hold a part of the hollow executors. A worker reads commands as JSON lines from standard
//! input and writes replies as JSON lines, in the same order, to standard output. It exits at the end of its standard
//! input, so it never outlives its parent process.
use crate::executor_commands::{Command, PendingCommand, Reply};
use crate::executor_shard::serve_commands;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::PathBuf;
use std::process::{self, Child, ChildStdin, ChildStdout, Stdio};
use std::sync::mpsc as std_mpsc;
use std::thread::{self, JoinHandle};
use tokio::sync::{mpsc, oneshot};

/// A program that calls [`run`] when started with these arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerProgram {
    pub path: PathBuf,
    pub arguments: Vec<String>,
}

/// Handle of a worker process; dropping it ends the process.
pub struct Worker {
    child: Child,
    writer: Option<JoinHandle<()>>,
    reader: Option<JoinHandle<()>>,
}

impl Worker {
    /// Starts a worker process that carries out the commands of the channel.
    ///
    /// # Errors
    /// If the process or one of its threads cannot be started.
    pub fn start(
        program: &WorkerProgram,
        commands: mpsc::UnboundedReceiver<PendingCommand>,
    ) -> io::Result<Self> {
        let mut child = process::Command::new(&program.path)
            .args(&program.arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let mut worker = Worker { child, writer: None, reader: None };
        let (Some(input), Some(output)) = (input, output) else {
            return Err(io::Error::other("the worker process has no standard input or output pipe"));
        };
        let (pending_sender, pending_receiver) = std_mpsc::channel();
        let named_thread = |role: &str| thread::Builder::new().name(format!("worker-{role}"));
        worker.writer =
            Some(named_thread("orders").spawn(move || write_commands(input, commands, &pending_sender))?);
        worker.reader = Some(named_thread("answers").spawn(move || read_replies(output, &pending_receiver))?);
        Ok(worker)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        // The process holds no state to save. All command senders are dropped by now, so both threads end.
        let _ = self.child.kill();
        for thread in [self.writer.take(), self.reader.take()].into_iter().flatten() {
            let _ = thread.join();
        }
        let _ = self.child.wait();
    }
}

/// Writes commands until their channel is closed or the worker ends.
fn write_commands(
    input: ChildStdin,
    mut commands: mpsc::UnboundedReceiver<PendingCommand>,
    pending_replies: &std_mpsc::Sender<oneshot::Sender<Reply>>,
) {
    let mut input = BufWriter::new(input);
    while let Some(PendingCommand { command, reply }) = commands.blocking_recv() {
        if pending_replies.send(reply).is_err() || write_line(&mut input, &command).is_err() {
            return;
        }
    }
}

/// Passes each reply to the sender of its command until the worker closes its standard output.
fn read_replies(output: ChildStdout, pending_replies: &std_mpsc::Receiver<oneshot::Sender<Reply>>) {
    for line in BufReader::new(output).lines() {
        let (Ok(line), Ok(reply_sender)) = (line, pending_replies.recv()) else { return };
        let reply = serde_json::from_str(&line)
            .unwrap_or_else(|error| Reply::Failed(format!("invalid reply from a worker: {error}")));
        let _ = reply_sender.send(reply);
    }
}

fn write_line(writer: &mut impl Write, message: &impl serde::Serialize) -> io::Result<()> {
    serde_json::to_writer(&mut *writer, message)?;
    writer.write_all(b"\n")?;
    writer.flush()
}

/// Serves the commands on standard input until its end; the main function of a worker process.
///
/// # Errors
/// If the runtime cannot be built or replies cannot be written.
pub fn run() -> io::Result<()> {
    serve(io::stdin(), io::stdout())
}

/// Serves commands from any input and writes the replies to any output, until the input ends.
///
/// # Errors
/// If the runtime cannot be built or replies cannot be written.
pub fn serve(input: impl io::Read + Send + 'static, mut output: impl Write) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let (replies, mut reply_receivers) = mpsc::unbounded_channel();
    thread::Builder::new().name("orders".into()).spawn(move || read_commands(input, &commands, &replies))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let shard = tokio::task::spawn_local(serve_commands(command_receiver));
        while let Some(reply_receiver) = reply_receivers.recv().await {
            let reply_receiver: oneshot::Receiver<Reply> = reply_receiver;
            let Ok(reply) = reply_receiver.await else { break };
            write_line(&mut output, &reply)?;
        }
        shard.abort();
        Ok(())
    })
}

fn read_commands(
    input: impl io::Read,
    commands: &mpsc::UnboundedSender<PendingCommand>,
    replies: &mpsc::UnboundedSender<oneshot::Receiver<Reply>>,
) {
    for line in BufReader::new(input).lines() {
        let Ok(command) = line.and_then(|line| Ok(serde_json::from_str::<Command>(&line)?)) else { return };
        let (reply, reply_receiver) = oneshot::channel();
        if replies.send(reply_receiver).is_err() || commands.send(PendingCommand { command, reply }).is_err()
        {
            return;
        }
    }
}
