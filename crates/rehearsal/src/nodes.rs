//! Nodes as processes of their own, so that their signals and deaths are real.
use command_fds::{CommandFdExt, FdMapping};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How a node is asked for something.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ask {
    /// SIGTERM.
    End,
    /// SIGHUP.
    Reread,
    /// SIGKILL.
    Die,
}

/// What a node used from its start on.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct Used {
    pub cpu_ms: f64,
    pub most_memory_kb: u64,
}

/// A node that runs.
pub trait Running {
    /// # Errors
    /// Where it cannot be asked.
    fn ask(&mut self, what: Ask) -> io::Result<()>;
    /// Whether it has ended, and well.
    fn ended(&mut self) -> Option<bool>;
    fn used(&self) -> Used;
}

/// What a process of a node is started with.
pub struct Start<'a> {
    pub config: &'a Path,
    /// The operator's own file, perhaps.
    pub own: Option<&'a Path>,
    /// Where what it logs goes.
    pub log: File,
    /// Where operators call it.
    pub management: Option<SocketAddr>,
    /// The clients' socket, where it is passed on, and the folder that all processes of the node share.
    pub passed: Option<(TcpListener, PathBuf)>,
}

/// Starts nodes: the real ones, or in tests ones that are wrong on purpose.
pub trait Launch: Send + Sync {
    /// Starts a process of a node.
    ///
    /// # Errors
    /// Where it cannot be started.
    fn start(&self, start: Start) -> io::Result<Box<dyn Running>>;
}

/// The descriptor under which a process finds the clients' socket.
const PASSED: i32 = 5;

/// A program that runs a node when it is given these arguments, with `ROUTER_CONFIG` set.
pub struct Program {
    pub path: PathBuf,
    pub args: Vec<String>,
}

struct Process {
    child: Child,
    /// As last read while it lived.
    used: std::cell::Cell<Used>,
}

impl Launch for Program {
    fn start(&self, start: Start) -> io::Result<Box<dyn Running>> {
        let errors = start.log.try_clone()?;
        let mut command = Command::new(&self.path);
        command
            .args(&self.args)
            .env("ROUTER_CONFIG", start.config)
            .env("TROUTKNOT_FILE", start.own.unwrap_or(Path::new("")))
            .env("ROUTER_MANAGEMENT", start.management.map_or(String::new(), |at| at.to_string()))
            .env("ROUTER_PASSED_SOCKET", "")
            .stdin(Stdio::null())
            .stdout(start.log)
            .stderr(errors);
        if let Some((socket, folder)) = start.passed {
            command.env("ROUTER_PASSED_SOCKET", PASSED.to_string()).env("TMPDIR", folder);
            let mapping = FdMapping { parent_fd: socket.into(), child_fd: PASSED };
            command.fd_mappings(vec![mapping]).map_err(io::Error::other)?;
        }
        let child = command.spawn()?;
        Ok(Box::new(Process { child, used: Default::default() }))
    }
}

impl Running for Process {
    fn ask(&mut self, what: Ask) -> io::Result<()> {
        let _ = self.used();
        let signal = match what {
            Ask::End => Signal::TERM,
            Ask::Reread => Signal::HUP,
            Ask::Die => return self.child.kill().and_then(|()| self.child.wait().map(|_| ())),
        };
        let pid = Pid::from_child(&self.child);
        Ok(kill_process(pid, signal)?)
    }

    fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    fn used(&self) -> Used {
        let of = |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).ok();
        if let (Some(stat), Some(status)) = (of("stat"), of("status")) {
            // Fields 14 and 15, after the name in parentheses, in ticks of 10 ms.
            let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
            let ticks = |k: usize| fields.get(k).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
            let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or("0");
            let memory = line.split_whitespace().next().and_then(|w| w.parse().ok()).unwrap_or(0);
            // One that has died and waits to be collected shows no memory any more.
            if memory > 0 {
                self.used.set(Used { cpu_ms: (ticks(11) + ticks(12)) * 10.0, most_memory_kb: memory });
            }
        }
        self.used.get()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
