//! Consul's agents on loopback: the health endpoint with blocking queries, scripted to go wrong.
//!
//! One [`Cluster`] holds the catalogue; each [`Agent`] serves it at an address of its own.
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use troutknot_emulator::wire::{self, Cut, Gate, Line, Lines};

const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// How an instance does, as its checks say.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Status {
    Passing,
    Warning,
    Critical,
    /// By an operator's word.
    Maintenance,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub id: String,
    pub node: String,
    pub addr: SocketAddr,
    pub status: Status,
    pub meta: BTreeMap<String, String>,
    /// Passing and warning.
    pub weights: (u32, u32),
}

impl Instance {
    pub fn new(id: &str, addr: SocketAddr) -> Self {
        Instance {
            id: id.into(),
            node: format!("host-{id}"),
            addr,
            status: Status::Passing,
            meta: BTreeMap::new(),
            weights: (1, 1),
        }
    }

    fn as_json(&self, service: &str, datacenter: &str, created: u64, modified: u64) -> Value {
        let check = |id: &str, status: &str| {
            json!({"Node": self.node, "CheckID": id, "Name": id, "Status": status, "Notes": "",
                "Output": "", "ServiceID": self.id, "ServiceName": service, "ServiceTags": []})
        };
        let mut checks = vec![check("serfHealth", "passing")];
        checks.push(match self.status {
            Status::Passing => check(&format!("service:{}", self.id), "passing"),
            Status::Warning => check(&format!("service:{}", self.id), "warning"),
            Status::Critical => check(&format!("service:{}", self.id), "critical"),
            Status::Maintenance => check(&format!("_service_maintenance:{}", self.id), "critical"),
        });
        json!({
            "Node": {"ID": "", "Node": self.node, "Address": self.addr.ip().to_string(),
                "Datacenter": datacenter, "TaggedAddresses": null, "Meta": null,
                "CreateIndex": created, "ModifyIndex": created},
            "Service": {"ID": self.id, "Service": service, "Tags": [], "Address": self.addr.ip().to_string(),
                "Port": self.addr.port(), "Meta": self.meta, "EnableTagOverride": false,
                "Weights": {"Passing": self.weights.0, "Warning": self.weights.1},
                "CreateIndex": created, "ModifyIndex": modified},
            "Checks": checks,
        })
    }
}

#[derive(Clone)]
struct Registered {
    instance: Instance,
    created: u64,
    /// As the API writes it, made once for each change.
    json: String,
}

/// A service's instances by id, and the index of its last change.
#[derive(Clone, Default)]
struct Service {
    index: u64,
    instances: BTreeMap<String, Registered>,
}

type Catalogue = HashMap<(String, String), Service>;

/// The catalogue that agents serve.
pub struct Cluster {
    catalogue: RefCell<Catalogue>,
    index: watch::Sender<u64>,
    pub datacenter: String,
}

impl Cluster {
    pub fn new(datacenter: &str) -> Rc<Self> {
        Rc::new(Cluster {
            catalogue: RefCell::default(),
            index: watch::channel(10).0,
            datacenter: datacenter.into(),
        })
    }

    fn change(&self, service: &str, change: impl FnOnce(&mut Service, u64)) {
        let index = *self.index.borrow() + 1;
        let key = (self.datacenter.clone(), service.to_string());
        let mut catalogue = self.catalogue.borrow_mut();
        let service = catalogue.entry(key).or_default();
        change(service, index);
        service.index = index;
        drop(catalogue);
        self.index.send_replace(index);
    }

    /// Registers an instance, anew where it was not there, else as a change of it.
    pub fn register(&self, service: &str, instance: Instance) {
        self.register_all(service, vec![instance]);
    }

    /// The same for many in one change.
    pub fn register_all(&self, service: &str, instances: Vec<Instance>) {
        self.change(service, |s, index| {
            for instance in instances {
                let created = s.instances.get(&instance.id).map_or(index, |was| was.created);
                let json = instance.as_json(service, &self.datacenter, created, index).to_string();
                s.instances.insert(instance.id.clone(), Registered { instance, created, json });
            }
        });
    }

    pub fn deregister(&self, service: &str, id: &str) {
        self.change(service, |s, _| _ = s.instances.remove(id));
    }

    /// Sets how instances do; those that are not registered are passed over.
    pub fn set(&self, service: &str, ids: &[&str], status: Status) {
        let key = (self.datacenter.clone(), service.to_string());
        let catalogue = self.catalogue.borrow();
        let of = |id: &&str| {
            let mut instance = catalogue.get(&key)?.instances.get(*id)?.instance.clone();
            instance.status = status;
            Some(instance)
        };
        let instances: Vec<Instance> = ids.iter().filter_map(of).collect();
        drop(catalogue);
        self.register_all(service, instances);
    }

    /// Counts indices anew, as a cluster does that was restored.
    pub fn reset_index(&self) {
        for service in self.catalogue.borrow_mut().values_mut() {
            service.index = 1;
        }
        self.index.send_replace(1);
    }
}

/// What goes wrong at one agent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Wrong {
    Nothing,
    /// Connections come up, nothing is said, and open ones hang.
    Silent,
    /// Every answer comes so much later.
    Late(Duration),
    Status500,
    /// 500, and it says that no leader is known.
    NoLeader,
    /// The right head, and an empty list.
    Empty,
    /// Ends in the middle of the body.
    HalfBody,
    /// The catalogue as it was when this was scripted.
    StaleView,
    Garbage,
}

/// Told of each answer that shows the catalogue as it is: which instances it lists, and how they do.
pub type OnAnswer = Box<dyn Fn(&[(String, Status)])>;

/// One agent.
pub struct Agent {
    pub addr: SocketAddr,
    cluster: Rc<Cluster>,
    wrong: watch::Sender<Wrong>,
    frozen: RefCell<Option<Catalogue>>,
    gate: Rc<Gate>,
    lines: RefCell<Vec<Weak<Line>>>,
    token: Option<String>,
    on_answer: RefCell<Option<OnAnswer>>,
    answered: RefCell<Vec<String>>,
}

impl Agent {
    /// Serves at a free port; where a token is given, a request without it is 403.
    ///
    /// # Errors
    /// Where the address cannot be listened at.
    pub fn start(cluster: &Rc<Cluster>, at: SocketAddr, token: Option<&str>) -> io::Result<Rc<Self>> {
        let listener = wire::listen(at)?;
        let agent = Rc::new(Agent {
            addr: listener.local_addr()?,
            cluster: cluster.clone(),
            wrong: watch::channel(Wrong::Nothing).0,
            frozen: RefCell::default(),
            gate: Rc::default(),
            lines: RefCell::default(),
            token: token.map(String::from),
            on_answer: RefCell::default(),
            answered: RefCell::default(),
        });
        spawn_local(agent.clone().accept(listener));
        Ok(agent)
    }

    /// What goes wrong from now on. What is held meanwhile is answered by it too.
    pub fn script(&self, wrong: Wrong) {
        let frozen = (wrong == Wrong::StaleView).then(|| self.cluster.catalogue.borrow().clone());
        *self.frozen.borrow_mut() = frozen;
        self.gate.set(wrong == Wrong::Silent);
        self.wrong.send_replace(wrong);
    }

    /// Ends all connections.
    pub fn reset(&self) {
        let lines = std::mem::take(&mut *self.lines.borrow_mut());
        lines.iter().filter_map(Weak::upgrade).for_each(|line| line.cut(Cut::Reset));
    }

    pub fn on_answer(&self, told: OnAnswer) {
        *self.on_answer.borrow_mut() = Some(told);
    }

    /// Path and query of every request since the last call.
    pub fn asked(&self) -> Vec<String> {
        std::mem::take(&mut *self.answered.borrow_mut())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let line = Rc::new(Line::default());
            {
                let mut lines = self.lines.borrow_mut();
                lines.retain(|line| line.strong_count() > 0);
                lines.push(Rc::downgrade(&line));
            }
            let (agent, own) = (self.clone(), line.clone());
            spawn_local(wire::serve(stream, self.gate.clone(), line, move |request| {
                let (agent, line) = (agent.clone(), own.clone());
                async move { agent.answer(request, line).await }
            }));
        }
    }

    fn index_of(&self, key: &(String, String)) -> u64 {
        let frozen = self.frozen.borrow();
        let live = self.cluster.catalogue.borrow();
        let catalogue = frozen.as_ref().unwrap_or(&live);
        // A service that never was has the index of the whole.
        catalogue.get(key).map_or(1, |s| s.index)
    }

    async fn answer(&self, request: Request<Incoming>, line: Rc<Line>) -> Response<Lines> {
        let plain = |status: StatusCode, body: String| {
            let mut answer = Response::new(Lines::whole(body));
            *answer.status_mut() = status;
            answer
        };
        let said = request.uri().path_and_query().map(|p| p.to_string()).unwrap_or_default();
        {
            let mut answered = self.answered.borrow_mut();
            // Guards against a test that never looks.
            if answered.len() < 100_000 {
                answered.push(said);
            }
        }
        let given = request.headers().get("x-consul-token").and_then(|t| t.to_str().ok());
        if self.token.is_some() && given != self.token.as_deref() {
            return plain(StatusCode::FORBIDDEN, "Permission denied".into());
        }
        let Some(service) = request.uri().path().strip_prefix("/v1/health/service/").map(unescaped) else {
            return plain(StatusCode::NOT_FOUND, String::new());
        };
        let query: HashMap<String, String> = (request.uri().query().unwrap_or("").split('&'))
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
            .map(|(name, value)| (name.to_string(), unescaped(value)))
            .collect();
        let datacenter = query.get("dc").cloned().unwrap_or(self.cluster.datacenter.clone());
        if datacenter != self.cluster.datacenter {
            return plain(StatusCode::INTERNAL_SERVER_ERROR, "No path to datacenter".into());
        }
        let key = (datacenter, service);
        let index: u64 = query.get("index").and_then(|i| i.parse().ok()).unwrap_or(0);
        let wait = query.get("wait").and_then(|w| duration(w)).unwrap_or(DEFAULT_WAIT);
        self.hold(&key, index, wait + wait / 16).await;
        let wrong = *self.wrong.borrow();
        match wrong {
            Wrong::Late(by) => sleep(by).await,
            Wrong::Status500 => return plain(StatusCode::INTERNAL_SERVER_ERROR, "rpc error".into()),
            Wrong::NoLeader => {
                let mut answer = plain(StatusCode::INTERNAL_SERVER_ERROR, "No cluster leader".into());
                answer.headers_mut().insert("x-consul-knownleader", HeaderValue::from_static("false"));
                return answer;
            }
            Wrong::Garbage => {
                line.cut(Cut::Say(
                    b"HTTP/1.1 200 OK\r\nX-Consul-Index: 99999\r\nContent-Length: 9\r\n\r\n[{\"Node\":",
                ));
                return std::future::pending().await;
            }
            _ => {}
        }
        let (mut body, listed, index) = {
            let frozen = self.frozen.borrow();
            let live = self.cluster.catalogue.borrow();
            let found = frozen.as_ref().unwrap_or(&live).get(&key).cloned();
            let index = found.as_ref().map_or(1, |s| s.index);
            let instances = found.map(|s| s.instances).unwrap_or_default();
            let instances = if wrong == Wrong::Empty { BTreeMap::new() } else { instances };
            let listed: Vec<(String, Status)> =
                instances.values().map(|r| (r.instance.id.clone(), r.instance.status)).collect();
            let parts: Vec<&str> = instances.values().map(|r| r.json.as_str()).collect();
            (format!("[{}]", parts.join(",")), listed, index)
        };
        if wrong == Wrong::HalfBody {
            let whole = body.len();
            body.truncate(whole / 2);
            line.cut_after(Duration::from_millis(20));
            let (send, lines) = Lines::new(None);
            let _ = send.send(body.into());
            // The sender is kept, so that the body does not end before the connection does.
            spawn_local(async move {
                sleep(Duration::from_secs(1)).await;
                drop(send);
            });
            return with_heads(Response::new(lines), index);
        }
        if let Some(told) = &*self.on_answer.borrow()
            && !matches!(wrong, Wrong::Empty | Wrong::StaleView)
        {
            told(&listed);
        }
        with_heads(Response::new(Lines::whole(body)), index)
    }

    /// Holds a blocking query until something has changed after its index, or its time is up.
    async fn hold(&self, key: &(String, String), index: u64, wait: Duration) {
        if index == 0 {
            return;
        }
        let end = Instant::now() + wait;
        let (mut changes, mut scripts) = (self.cluster.index.subscribe(), self.wrong.subscribe());
        let _ = scripts.borrow_and_update();
        // An index ahead of ours is of another count; it is answered at once.
        while self.index_of(key) == index {
            tokio::select! {
                _ = changes.changed() => {}
                _ = scripts.changed() => {
                    // What is scripted strikes those that are held, too.
                    if !matches!(*scripts.borrow(), Wrong::Nothing | Wrong::Late(_) | Wrong::StaleView) {
                        return;
                    }
                }
                () = sleep_until(end) => return,
            }
        }
    }
}

fn with_heads(mut answer: Response<Lines>, index: u64) -> Response<Lines> {
    let heads = answer.headers_mut();
    heads.insert("content-type", HeaderValue::from_static("application/json"));
    heads.insert("x-consul-index", HeaderValue::from(index));
    heads.insert("x-consul-knownleader", HeaderValue::from_static("true"));
    heads.insert("x-consul-lastcontact", HeaderValue::from_static("0"));
    answer
}

/// `10s`, `250ms`, `2m`: a number and a unit.
fn duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(digits);
    let times = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => return None,
    };
    number.parse::<f64>().ok().map(|n| Duration::from_secs_f64(n * times))
}

fn unescaped(text: &str) -> String {
    let (mut out, mut bytes) = (Vec::new(), text.bytes());
    while let Some(byte) = bytes.next() {
        let hex = |b: Option<u8>| b.and_then(|b| (b as char).to_digit(16));
        match byte {
            b'%' => match (hex(bytes.next()), hex(bytes.next())) {
                (Some(high), Some(low)) => out.push((high * 16 + low) as u8),
                _ => out.push(b'%'),
            },
            other => out.push(other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Waits until an agent was asked something that a test looks for.
///
/// # Panics
/// Where it was not asked in ten seconds.
pub async fn until_asked(agent: &Agent, part: &str) {
    let looks = async {
        while !agent.asked().iter().any(|asked| asked.contains(part)) {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(Duration::from_secs(10), looks).await.unwrap_or_else(|_| panic!("asked for {part} in time"));
}
