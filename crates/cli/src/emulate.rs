//! `troutknot emulate`: the fleet of a scenario alone, with discovery, for use by hand.
use crate::{Ended, check};
use clap::Args;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::LocalSet;
use troutknot_emulator::discovery::{self, Member};
use troutknot_emulator::executors::{Host, Shared, Work};
use troutknot_emulator::observed::{Listed, Record};
use troutknot_rehearsal::plan::Plan;
use troutknot_rehearsal::scenario::{Scenario, millis};
use troutknot_rehearsal::world::Addresses;
use troutknot_standins::consul::{Agent, Cluster, Instance, Status};

/// Run the executors and the discovery of a scenario alone, for use by hand
#[derive(Args)]
#[command(after_help = "Example: troutknot emulate scenarios/calm.toml --for 1m
then:    curl -d x -H 'Request-Id: a1' -H 'Work-Millis: 250' http://ADDRESS/render")]
pub struct Emulate {
    scenario: PathBuf,
    #[arg(long)]
    seed: Option<u64>,
    /// Serve so many of Consul's agents beside discovery
    #[arg(long, value_name = "AGENTS", num_args = 0..=1, default_missing_value = "1", default_value_t = 0)]
    consul: usize,
    /// End by itself after so long
    #[arg(long = "for", value_name = "TIME", default_value = "1h", value_parser = humantime::parse_duration)]
    lasts: Duration,
}

impl Emulate {
    pub fn run(self) -> Ended {
        let scenario = match check::scenario(&self.scenario) {
            Ok(scenario) => scenario,
            Err(why) => return Ended::Usage.because(why),
        };
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(why) => return Ended::Machine.because(why),
        };
        match LocalSet::new().block_on(&runtime, self.emulate(scenario)) {
            Ok(()) => Ended::Held,
            Err(why) => Ended::Machine.because(why),
        }
    }

    async fn emulate(&self, scenario: Scenario) -> Result<(), String> {
        let plan = Plan::draw(&scenario, self.seed.unwrap_or(scenario.seed));
        let types: Vec<_> = scenario.project_types.iter().map(|t| t.get_ref().clone()).collect();
        // Any id is known here; its work is the first project type's mean, unless a header says otherwise.
        let work_of = move |id: &str| {
            let request_id = id.bytes().fold(0u64, |hash, b| hash.wrapping_mul(31).wrapping_add(b.into()));
            let kind = types.first()?;
            let (slots, memory, work) = (kind.slots, kind.memory, millis(kind.work));
            Some(Work { request_id, project_type: 0, slots, memory, work, priority: kind.credit })
        };
        let record = Arc::new(Record::default());
        let shared = Shared::new(record.clone(), Arc::new(work_of), true);
        let addresses = Addresses::fresh();
        let (mut hosts, mut members): (Vec<Rc<Host>>, Vec<Member>) = (Vec::new(), Vec::new());
        for (k, planned) in plan.executors.iter().enumerate().filter(|(_, e)| e.at_start) {
            let at = addresses.executor(k);
            let machine = planned.machine.clone();
            let host = Host::start(&shared, k as u32, machine, planned.seed, at, !planned.cold);
            let host = host.map_err(|e| format!("no address for an executor on {at}: {e}"))?;
            members.push(Member {
                executor: k as u32,
                id: host.name.clone(),
                addr: host.addr,
                zone: "here".into(),
                kind: planned.kind.clone(),
                cell: planned.group as u32,
                listed: Listed::Ready,
                weight: 1.0,
                started_ms: 0.0,
            });
            println!("{} http://{}", host.name, host.addr);
            hosts.push(host);
        }
        let cluster = Cluster::new("dc1");
        cluster.register_all("box", members.iter().map(|m| Instance::new(&m.id, m.addr)).collect());
        let mut agents = Vec::new();
        for k in 0..self.consul.min(16) {
            let at = addresses.agent(k + 1);
            let agent = Agent::start(&cluster, at, None)
                .map_err(|e| format!("no address for Consul on {at}: {e}"))?;
            println!("consul http://{}/v1/health/service/box", agent.addr);
            agents.push(agent);
        }
        let at = addresses.agent(0);
        let agent = discovery::Agent::start(&record, 0, at, members);
        let agent = agent.map_err(|e| format!("no address for discovery on {at}: {e}"))?;
        println!("discovery http://{}/catalog/members", agent.addr());
        let began = tokio::time::Instant::now();
        let plays = async {
            for (at, step) in &plan.steps {
                tokio::time::sleep_until(began + Duration::from_secs_f64(at / 1000.0)).await;
                troubled(&hosts, &cluster, step);
            }
            std::future::pending::<()>().await
        };
        // What was seen is of no use here; guards against a record that grows for ever.
        let forgets = async {
            loop {
                tokio::time::sleep(Duration::from_secs(1)).await;
                record.take();
            }
        };
        tokio::select! {
            () = plays => {}
            () = forgets => {}
            () = tokio::time::sleep(self.lasts) => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        Ok(())
    }
}

/// The steps of a plan that concern executors and how they are listed.
fn troubled(hosts: &[Rc<Host>], cluster: &Cluster, step: &troutknot_rehearsal::plan::Step) {
    use troutknot_rehearsal::plan::Step::*;
    match step {
        TroubleBegins { number, executor, trouble } if *executor < hosts.len() => {
            hosts[*executor].trouble(*number as u64, trouble.clone());
            eprintln!("{} {trouble:?}", hosts[*executor].name);
        }
        TroubleEnds { number, executor } if *executor < hosts.len() => {
            hosts[*executor].trouble_over(*number as u64);
            eprintln!("{} is over it", hosts[*executor].name);
        }
        KillExecutor { executor } if *executor < hosts.len() => hosts[*executor].kill(),
        ListFailing { executor } if *executor < hosts.len() => {
            cluster.set("box", &[&hosts[*executor].name], Status::Critical);
            eprintln!("{} is listed as failing", hosts[*executor].name);
        }
        ListWell { executor } if *executor < hosts.len() => {
            cluster.set("box", &[&hosts[*executor].name], Status::Passing);
            eprintln!("{} is listed as well", hosts[*executor].name);
        }
        RestartExecutor { executor } if *executor < hosts.len() => hosts[*executor].restart(),
        _ => {}
    }
}
