//! A hollow node that reproduces the rates of a real node: it makes no decisions and selects executors at random.
use super::connections::Pool;
use super::endpoint_list::{self, EndpointList, LineRetention};
use super::exchange::{self, Attempt};
use super::{Shared, add};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Delay before a lost watch is opened again.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of running tasks per node.
const MAX_RUNNING_TASKS: usize = 1024;

pub struct RateNode {
    shared: Rc<Shared>,
    number: usize,
    pool: Rc<Pool>,
    random: ChaCha8Rng,
    /// Tasks of the node, which are aborted when it is dropped.
    tasks: JoinSet<()>,
    /// Identifies this start of the node; 0 for the first one.
    generation: u64,
    requests: u64,
}

impl RateNode {
    pub async fn run(shared: Rc<Shared>, number: usize, generation: u64) {
        let pool = Rc::new(exchange::create_pool(&shared.settings, number, shared.rate_counters.clone()));
        let random = shared.settings.new_random(number, generation);
        let watch = follow(shared.clone(), number);
        let node = RateNode { shared, number, pool, random, tasks: JoinSet::new(), generation, requests: 0 };
        tokio::join!(watch, node.run_loop());
    }

    /// Starts requests at random times; each adds its share of probes and attempts.
    async fn run_loop(mut self) {
        let mut rate = self.shared.request_rate.clone();
        let (mut due_probes, mut due_attempts) = (0.0, 0.0);
        loop {
            let current_rate = *rate.borrow_and_update();
            let wait = exchange::draw_interarrival_time(&mut self.random, current_rate);
            tokio::select! {
                changed = rate.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
                () = sleep(wait) => {}
            }
            self.requests += 1;
            add(&self.shared.rate_counters.requests, 1);
            let rates = self.shared.settings.rates;
            due_probes += rates.probes_per_request;
            due_attempts += rates.dispatches_per_request;
            while due_probes >= 1.0 {
                due_probes -= 1.0;
                self.probe();
            }
            while due_attempts >= 1.0 {
                due_attempts -= 1.0;
                self.dispatch();
            }
        }
    }

    /// Returns the executor of an idle connection. As often as a real node opens a new connection, or if none is idle,
    /// it returns a random ready one instead.
    fn pick_executor(&mut self) -> Option<std::net::SocketAddr> {
        let is_reuse = !self.random.random_bool(self.shared.settings.rates.new_connections.clamp(0.0, 1.0));
        if is_reuse && let Some(connection) = self.pool.take_idle(None) {
            let address = connection.address();
            self.pool.release(connection);
            return Some(address);
        }
        self.shared.ready_executors.borrow().pick_random(&mut self.random)
    }

    /// Runs a task concurrently, unless too many are running.
    fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        while self.tasks.try_join_next().is_some() {}
        if self.tasks.len() >= MAX_RUNNING_TASKS {
            return add(&self.shared.rate_counters.skipped, 1);
        }
        self.tasks.spawn_local(task);
    }

    fn probe(&mut self) {
        let Some(address) = self.pick_executor() else { return };
        let (pool, counters) = (self.pool.clone(), self.shared.rate_counters.clone());
        self.spawn(async move { _ = exchange::probe(&pool, address, &counters).await });
    }

    fn dispatch(&mut self) {
        let Some(address) = self.pick_executor() else { return };
        let settings = &self.shared.settings;
        let attempt = Attempt {
            id: settings.request_id(self.number, self.generation, self.requests),
            class: exchange::first_class_name(&settings.node_settings),
            address,
            work: exchange::draw_work(&mut self.random, settings.mean_work),
            deadline: Instant::now() + settings.deadline,
            send_deadline: Instant::now() + settings.deadline,
        };
        let (pool, counters) = (self.pool.clone(), self.shared.rate_counters.clone());
        self.spawn(async move { _ = exchange::dispatch(&pool, attempt, &counters, || ()).await });
    }
}

/// Follows the list indefinitely. The first rate node updates the ready executors of all rate nodes; the others only
/// receive the bytes, as a real node would.
async fn follow(shared: Rc<Shared>, number: usize) {
    let (source, discovery_address) =
        (shared.settings.source_address(number), shared.settings.discovery_address(number));
    let updates_executors = number == shared.settings.dispatcher_nodes;
    let retention = if updates_executors { LineRetention::Full } else { LineRetention::Tail };
    let mut version = None;
    loop {
        let after = version;
        let handle_line = |line: &[u8]| {
            if !updates_executors {
                version = endpoint_list::version_of(line).or(version);
                return;
            }
            if let Ok(list) = serde_json::from_slice::<EndpointList>(line) {
                version = Some(list.version);
                shared.ready_executors.borrow_mut().apply(list);
            }
        };
        let _ = endpoint_list::follow(
            source,
            discovery_address,
            after,
            retention,
            &shared.rate_counters,
            handle_line,
        )
        .await;
        sleep(WATCH_RETRY_DELAY).await;
    }
}
