//! A hollow node that plays the rates of a real one: it decides nothing, and draws its executors evenly.
use super::connections::Pool;
use super::exchange::{self, Attempt};
use super::list::{self, Keep, List};
use super::{Shared, add};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// A watch that broke off is opened again after so long.
const WATCH_AGAIN: Duration = Duration::from_millis(200);
/// Tasks of one node that are under way at most.
const MOST_UNDER_WAY: usize = 1024;

pub struct RatesNode {
    shared: Rc<Shared>,
    number: usize,
    pool: Rc<Pool>,
    random: ChaCha8Rng,
    /// Ends with the node.
    tasks: JoinSet<()>,
    /// Counts its starts.
    start: u64,
    requests: u64,
}

impl RatesNode {
    pub async fn run(shared: Rc<Shared>, number: usize, start: u64) {
        let pool = Rc::new(exchange::pool(&shared.settings, number, shared.by_rates.clone()));
        let random = shared.settings.random(number, start);
        let follows = follow(shared.clone(), number);
        let node = RatesNode { shared, number, pool, random, tasks: JoinSet::new(), start, requests: 0 };
        tokio::join!(follows, node.play());
    }

    /// Requests come at random times; each stands for its share of probes and pushes.
    async fn play(mut self) {
        let mut rate = self.shared.request_rate.clone();
        let (mut probes, mut pushes) = (0.0, 0.0);
        loop {
            let now = *rate.borrow_and_update();
            let wait = exchange::next_arrival(&mut self.random, now);
            tokio::select! {
                changed = rate.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
                () = sleep(wait) => {}
            }
            self.requests += 1;
            add(&self.shared.by_rates.requests, 1);
            let rates = self.shared.settings.rates;
            probes += rates.probes_per_request;
            pushes += rates.dispatches_per_request;
            while probes >= 1.0 {
                probes -= 1.0;
                self.probe();
            }
            while pushes >= 1.0 {
                pushes -= 1.0;
                self.push();
            }
        }
    }

    /// An idle connection's executor, or one drawn from the list, as often as a real node opens connections.
    fn draw(&mut self) -> Option<std::net::SocketAddr> {
        let reuses = !self.random.random_bool(self.shared.settings.rates.new_connections.clamp(0.0, 1.0));
        if reuses && let Some(connection) = self.pool.take_idle(None) {
            let addr = connection.addr();
            self.pool.put_back(connection);
            return Some(addr);
        }
        self.shared.address_book.borrow().draw(&mut self.random)
    }

    /// Runs what was drawn beside all else, unless too much is under way.
    fn start(&mut self, doing: impl Future<Output = ()> + 'static) {
        while self.tasks.try_join_next().is_some() {}
        if self.tasks.len() >= MOST_UNDER_WAY {
            return add(&self.shared.by_rates.skipped, 1);
        }
        self.tasks.spawn_local(doing);
    }

    fn probe(&mut self) {
        let Some(addr) = self.draw() else { return };
        let (pool, counters) = (self.pool.clone(), self.shared.by_rates.clone());
        self.start(async move { _ = exchange::probe(&pool, addr, &counters).await });
    }

    fn push(&mut self) {
        let Some(addr) = self.draw() else { return };
        let settings = &self.shared.settings;
        let attempt = Attempt {
            id: settings.request_id(self.number, self.start, self.requests),
            class: exchange::first_class(&settings.node_settings),
            addr,
            work: exchange::draw_work(&mut self.random, settings.work),
            cut: Instant::now() + settings.deadline,
            send_by: Instant::now() + settings.deadline,
        };
        let (pool, counters) = (self.pool.clone(), self.shared.by_rates.clone());
        self.start(async move { _ = exchange::push(&pool, attempt, &counters, || ()).await });
    }
}

/// Follows the list for ever. The first rates node keeps the address book of them all; the others only take in the
/// bytes, as a real node would.
async fn follow(shared: Rc<Shared>, number: usize) {
    let (source, discovery) = (shared.settings.source(number), shared.settings.discovery_of(number));
    let keeps_book = number == shared.settings.by_dispatcher;
    let keep = if keeps_book { Keep::Whole } else { Keep::Tail };
    let mut version = None;
    loop {
        let after = version;
        let take = |line: &[u8]| {
            if !keeps_book {
                version = list::version_of(line).or(version);
                return;
            }
            if let Ok(list) = serde_json::from_slice::<List>(line) {
                version = Some(list.version);
                shared.address_book.borrow_mut().take(list);
            }
        };
        let _ = list::follow(source, discovery, after, keep, &shared.by_rates, take).await;
        sleep(WATCH_AGAIN).await;
    }
}
