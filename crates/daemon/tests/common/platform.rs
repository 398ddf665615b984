//! Helpers for tests of nodes with an admin address, and of a platform that runs two processes of one node.
use super::*;
use command_fds::{CommandFdExt, FdMapping};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::PathBuf;

/// A node with an admin address.
pub struct AdminNode {
    pub node: Node,
    pub admin_address: SocketAddr,
}

/// A configuration of a node with an admin address.
pub fn config(discovery: &Discovery, settings: Value) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "management": "127.0.0.1:0",
        "discovery": discovery.addr.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": settings})
}

impl AdminNode {
    /// Starts a node whose command is changed by `customize`.
    pub fn start_customized(
        discovery: &Discovery,
        customize: impl FnOnce(&mut std::process::Command),
    ) -> Self {
        Self::start_with_settings(discovery, settings(), customize)
    }

    /// As [`AdminNode::start_customized`], with these settings.
    pub fn start_with_settings(
        discovery: &Discovery,
        settings: Value,
        customize: impl FnOnce(&mut std::process::Command),
    ) -> Self {
        Self::start_with_config(config(discovery, settings), customize)
    }

    /// As [`AdminNode::start_customized`], with this configuration.
    pub fn start_with_config(config: Value, customize: impl FnOnce(&mut std::process::Command)) -> Self {
        let node = Node::start_from_config(config, |path| spawn_customized_node(path, "info", "", customize));
        let line = node.wait_for_log("admin listening");
        let admin_address = parse_address_field(&line);
        let admin_node = AdminNode { node, admin_address };
        wait_until("the node is ready", || admin_node.call("GET", "/v1/readyz") == 200);
        admin_node
    }

    /// Makes an admin call and returns its status.
    pub fn call(&self, method: &str, path: &str) -> u16 {
        self.send(&format!("{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n"))
    }

    /// Sends a request to the admin address and returns the status of its response.
    pub fn send(&self, request: &str) -> u16 {
        let stream = TcpStream::connect(self.admin_address).unwrap();
        // An admin call has to be answered within a second.
        stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        send_request(&mut BufReader::new(stream), request).0
    }

    /// The status of a health check.
    pub fn health(&self) -> u16 {
        self.node.send_request(HEALTH_CHECK).0
    }
}

/// Starts two scripted executors and a discovery that lists them as `s-1` and `s-2`.
pub fn start_executors_and_discovery() -> ([Executor; 2], Discovery) {
    let executors = [Executor::start(), Executor::start()];
    let entries = [entry("s-1", &executors[0], "Ready"), entry("s-2", &executors[1], "Ready")];
    (executors, Discovery::start(list(7, true, &entries)))
}

/// Connections that may wait on the platform's socket, as many as on one that a node opens.
const BACKLOG: i32 = 1024;

/// What a platform passes to the processes of one node: a listening socket and a directory for hot restarts.
pub struct Platform {
    pub socket: TcpListener,
    pub directory: PathBuf,
}

impl Platform {
    pub fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("troutknot-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(BACKLOG).unwrap();
        Platform { socket: socket.into(), directory }
    }

    /// Starts another process of the node.
    pub fn start(&self, discovery: &Discovery) -> AdminNode {
        self.start_with_operator_file(discovery, "")
    }

    /// As [`Platform::start`], with an operator's file unless its path is empty.
    pub fn start_with_operator_file(&self, discovery: &Discovery, operator_file: &str) -> AdminNode {
        self.start_with_settings(discovery, settings(), operator_file)
    }

    /// As [`Platform::start_with_operator_file`], with these settings.
    pub fn start_with_settings(
        &self,
        discovery: &Discovery,
        settings: Value,
        operator_file: &str,
    ) -> AdminNode {
        self.start_with_config(config(discovery, settings), operator_file)
    }

    /// As [`Platform::start_with_operator_file`], with this configuration.
    pub fn start_with_config(&self, config: Value, operator_file: &str) -> AdminNode {
        let fd = self.socket.try_clone().unwrap().into();
        AdminNode::start_with_config(config, |program| {
            program
                .env("ROUTER_PASSED_SOCKET", "5")
                .env("TMPDIR", &self.directory)
                .env("TROUTKNOT_FILE", operator_file);
            program.fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 5 }]).unwrap();
        })
    }

    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.socket.local_addr().unwrap()).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    /// Sends a request on a new connection and returns its status.
    pub fn submit(&self, id: &str) -> u16 {
        send_request(&mut self.connect(), build_request("render", id, 3.0, "")).0
    }

    /// The path of the socket that the processes use for a hot restart.
    pub fn hot_restart_socket_path(&self) -> Option<PathBuf> {
        std::fs::read_dir(&self.directory).unwrap().map(|entry| entry.unwrap().path()).next()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Sends 30 requests, each on a new connection, and returns the indices of the executors that received any.
pub fn find_used_via_platform(platform: &Platform, executors: &[Executor; 2]) -> BTreeSet<usize> {
    (0..30).for_each(|_| assert_eq!(platform.submit(&next_request_id()), 200));
    let has_received =
        |index: &usize| !std::mem::take(&mut *executors[*index].requests.lock().unwrap()).is_empty();
    (0..2).filter(has_received).collect()
}
