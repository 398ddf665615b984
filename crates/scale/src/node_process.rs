//! Processes of real nodes, started as the platform starts `troutknotd`, and the kernel's accounting of their
//! resources.
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::wire::Connection;

/// Interval of health checks and of checks for the end of the process.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Unit of `utime` and `stime` in `/proc/PID/stat`, the fallback where the kernel has no finer accounting.
const TICK: Duration = Duration::from_millis(10);
/// Written to `/proc/PID/clear_refs`, this resets the peak resident memory to the current resident memory.
const RESET_PEAK: &str = "5";

/// Path of a node's program, and the arguments that select the node among its functions.
#[derive(Clone, Debug)]
pub struct NodeProgram {
    pub path: PathBuf,
    pub arguments: Vec<String>,
}

impl NodeProgram {
    /// Returns the program at a path: `troutknotd` needs no arguments; `troutknot` runs a node as `troutknot node`.
    pub fn at(path: &Path) -> Self {
        let is_node_daemon = path.file_stem().is_some_and(|name| name == "troutknotd");
        let arguments = if is_node_daemon { Vec::new() } else { vec!["node".into()] };
        NodeProgram { path: path.to_owned(), arguments }
    }
}

/// Process of a node; it is killed on drop.
pub struct NodeProcess {
    child: Child,
    listen_address: SocketAddr,
    started_at: Instant,
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub cpu: Duration,
    pub resident_bytes: u64,
    pub peak_resident_bytes: u64,
}

impl NodeProcess {
    /// Starts a process with `config` as its `ROUTER_CONFIG` file; its output is appended to `log`.
    ///
    /// # Errors
    /// If the log cannot be opened or the process cannot be started.
    pub fn start(
        program: &NodeProgram,
        config: &Path,
        log: &Path,
        listen_address: SocketAddr,
    ) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let errors = output.try_clone()?;
        let child = Command::new(&program.path)
            .args(&program.arguments)
            .env("ROUTER_CONFIG", config)
            .env("TROUTKNOT_FILE", "")
            .env("ROUTER_MANAGEMENT", "")
            .env("ROUTER_PASSED_SOCKET", "")
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()?;
        Ok(NodeProcess { child, listen_address, started_at: Instant::now() })
    }

    pub fn address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Time since the start of the process.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Waits for the first 200 on `/_health`. Returns the time since the start, or `None` after the timeout or if the
    /// process has ended.
    pub async fn wait_ready(&mut self, timeout: Duration) -> Option<Duration> {
        while self.age() < timeout {
            if is_healthy(self.listen_address).await {
                return Some(self.age());
            }
            if self.has_ended() {
                return None;
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGHUP, on which the node rereads its configuration.
    ///
    /// # Errors
    /// If the signal cannot be sent.
    pub fn reload(&self) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), Signal::HUP)?)
    }

    /// Sends SIGTERM, on which the node answers its accepted requests and exits.
    ///
    /// # Errors
    /// If the signal cannot be sent.
    pub fn terminate(&self) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), Signal::TERM)?)
    }

    /// Waits until the process has ended; returns false after the timeout.
    pub async fn wait_ended(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while !self.has_ended() {
            if Instant::now() > deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }

    fn proc_file(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.child.id()))
    }

    /// # Errors
    /// If the process has ended.
    pub fn usage(&self) -> io::Result<Usage> {
        let status = fs::read_to_string(self.proc_file("status"))?;
        let bytes = |field: &str| status_kilobytes(&status, field).unwrap_or(0) * 1024;
        let cpu = match scheduler_cpu_time(&self.proc_file("task")) {
            Some(cpu) => cpu,
            None => tick_cpu_time(&fs::read_to_string(self.proc_file("stat"))?).unwrap_or_default(),
        };
        Ok(Usage { cpu, resident_bytes: bytes("VmRSS:"), peak_resident_bytes: bytes("VmHWM:") })
    }

    /// Resets the peak resident memory to the current one. If the kernel does not permit it, the peak remains that
    /// since the start.
    pub fn reset_peak(&self) {
        let _ = fs::write(self.proc_file("clear_refs"), RESET_PEAK);
    }

    /// Returns the number of open sockets.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn open_sockets(&self) -> io::Result<usize> {
        let is_socket = |entry: io::Result<fs::DirEntry>| {
            entry
                .and_then(|entry| fs::read_link(entry.path()))
                .is_ok_and(|target| target.to_string_lossy().starts_with("socket:"))
        };
        Ok(fs::read_dir(self.proc_file("fd"))?.map(is_socket).filter(|is_socket| *is_socket).count())
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Killing fails if the process has already ended; waiting reaps it in any case.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn is_healthy(address: SocketAddr) -> bool {
    let exchange = async {
        let mut connection = Connection::new(TcpStream::connect(address).await?);
        connection.write(b"GET /_health HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").await?;
        connection.read_response().await
    };
    matches!(exchange.await, Ok(Some(response)) if response.status == 200)
}

fn status_kilobytes(status: &str, field: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(field))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Sum of the CPU time of all threads from `schedstat`, which counts nanoseconds; `None` if the kernel does not
/// report it.
fn scheduler_cpu_time(task_directory: &Path) -> Option<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir(task_directory).ok()? {
        let text = fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        total += Duration::from_nanos(text.split_whitespace().next()?.parse().ok()?);
    }
    (total > Duration::ZERO).then_some(total)
}

/// CPU time from fields 14 and 15 of `/proc/PID/stat`; the fields are counted after the process name in parentheses,
/// which may contain spaces.
fn tick_cpu_time(stat: &str) -> Option<Duration> {
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let count = |index: usize| fields.get(index)?.parse::<u32>().ok();
    Some(TICK * (count(11)? + count(12)?))
}
