//! Nodes as processes of their own, so that their signals and crashes are real.
use command_fds::{CommandFdExt, FdMapping};
use rustix::process::{Pid, Signal, kill_process};
use std::cell::Cell;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A signal to a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NodeSignal {
    /// SIGTERM: drain, then exit.
    Terminate,
    /// SIGHUP: reload the configuration.
    Reload,
    /// SIGKILL.
    Kill,
}

/// The resources that one or more processes of a node have used.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct ResourceUsage {
    /// CPU time in user and kernel mode, in milliseconds.
    pub cpu_ms: f64,
    /// Peak resident memory, in kilobytes.
    pub peak_memory_kb: u64,
}

/// A process of a node.
pub trait NodeProcess {
    /// Sends a signal.
    ///
    /// # Errors
    /// The signal cannot be sent.
    fn signal(&mut self, signal: NodeSignal) -> io::Result<()>;
    /// Whether the process exited successfully; `None` while it runs.
    fn exited_cleanly(&mut self) -> Option<bool>;
    /// The resources that the process has used so far.
    fn resource_usage(&self) -> ResourceUsage;
}

/// The parameters of a node's process.
pub struct LaunchOptions<'a> {
    /// The configuration file.
    pub config: &'a Path,
    /// The operator's configuration file, if the node needs one.
    pub operator_config: Option<&'a Path>,
    /// The file that receives standard output and standard error.
    pub log: File,
    /// The address of the admin interface, if it is enabled.
    pub admin_address: Option<SocketAddr>,
    /// The listening socket that hot restarts pass on, and the folder that all processes of the node share.
    pub inherited_socket: Option<(TcpListener, PathBuf)>,
}

/// Starts processes of nodes. Tests implement it with nodes that break a rule on purpose.
pub trait NodeLauncher: Send + Sync {
    /// Starts a process of a node.
    ///
    /// # Errors
    /// The process cannot be started.
    fn launch(&self, options: LaunchOptions) -> io::Result<Box<dyn NodeProcess>>;
}

/// The file descriptor of the inherited listening socket in the child process.
const INHERITED_SOCKET_FD: i32 = 5;

/// The program of a node, which reads its configuration from the file in `ROUTER_CONFIG`.
pub struct NodeProgram {
    /// The executable file.
    pub path: PathBuf,
    /// The arguments with which it runs a node.
    pub args: Vec<String>,
}

struct ChildProcess {
    child: Child,
    /// The last reading while the process was alive.
    last_usage: Cell<ResourceUsage>,
}

impl NodeLauncher for NodeProgram {
    fn launch(&self, options: LaunchOptions) -> io::Result<Box<dyn NodeProcess>> {
        let stderr = options.log.try_clone()?;
        let admin_address = options.admin_address.map_or(String::new(), |address| address.to_string());
        let mut command = Command::new(&self.path);
        command
            .args(&self.args)
            .env("ROUTER_CONFIG", options.config)
            .env("TROUTKNOT_FILE", options.operator_config.unwrap_or(Path::new("")))
            .env("ROUTER_MANAGEMENT", admin_address)
            .env("ROUTER_PASSED_SOCKET", "")
            .stdin(Stdio::null())
            .stdout(options.log)
            .stderr(stderr);
        if let Some((socket, folder)) = options.inherited_socket {
            command.env("ROUTER_PASSED_SOCKET", INHERITED_SOCKET_FD.to_string()).env("TMPDIR", folder);
            let mapping = FdMapping { parent_fd: socket.into(), child_fd: INHERITED_SOCKET_FD };
            command.fd_mappings(vec![mapping]).map_err(io::Error::other)?;
        }
        let child = command.spawn()?;
        Ok(Box::new(ChildProcess { child, last_usage: Cell::default() }))
    }
}

impl NodeProcess for ChildProcess {
    fn signal(&mut self, signal: NodeSignal) -> io::Result<()> {
        // Stores a reading in case the process exits.
        let _ = self.resource_usage();
        let signal = match signal {
            NodeSignal::Terminate => Signal::TERM,
            NodeSignal::Reload => Signal::HUP,
            NodeSignal::Kill => return self.child.kill().and_then(|()| self.child.wait().map(|_| ())),
        };
        let pid = Pid::from_child(&self.child);
        Ok(kill_process(pid, signal)?)
    }

    fn exited_cleanly(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    fn resource_usage(&self) -> ResourceUsage {
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).ok();
        if let (Some(stat), Some(status)) = (read("stat"), read("status")) {
            // utime and stime, fields 14 and 15, counted after the name in parentheses, in ticks of 10 ms.
            let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
            let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
            let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("0");
            let peak_memory_kb =
                peak.split_whitespace().next().and_then(|number| number.parse().ok()).unwrap_or(0);
            // A process that has exited and is not reaped yet shows no memory.
            if peak_memory_kb > 0 {
                let cpu_ms = (ticks(11) + ticks(12)) * 10.0;
                self.last_usage.set(ResourceUsage { cpu_ms, peak_memory_kb });
            }
        }
        self.last_usage.get()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
