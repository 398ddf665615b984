//! Routes events to instances and gathers their actions. Instances share nothing but the sheets of the wire.
use crate::decode::{self, EntryPhase, PeersKind, StateCode};
use crate::encode;
use std::collections::BTreeMap;
use troutknot::*;
use troutknot_configuration::{LoadFields, class_names, millis, parse_settings};
use troutknot_membership::{ExecutorRegistry, token};

#[derive(Default)]
pub struct Host {
    /// The clock of the open batch, in microseconds.
    batch: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    sheets: BTreeMap<u8, Vec<decode::Entry>>,
    /// Instances with an event in this batch, in the order of their first.
    called: Vec<u64>,
    actions: Vec<Action>,
}

struct Instance {
    node: Dispatcher,
    registry: ExecutorRegistry,
    load_fields: LoadFields,
    /// The names of the project types by their numbers.
    types: Vec<String>,
    called: bool,
    /// Messages that were not understood, and whether that is to be said.
    passed_over: u64,
    says_so: bool,
}

fn outcome(code: StateCode) -> Outcome {
    match code {
        StateCode::Good => Outcome::Completed,
        StateCode::Bad => Outcome::Error,
        StateCode::Full => Outcome::Rejected,
        StateCode::Late => Outcome::TimedOut,
        StateCode::Noconn => Outcome::NoConnection,
        StateCode::Rst => Outcome::Reset,
        StateCode::Cxl => Outcome::Cancelled,
        StateCode::Nop => Outcome::NotSent,
    }
}

impl Host {
    /// Takes one line; true when it closed a batch and the reply is complete.
    pub fn take(&mut self, line: &[u8], reply: &mut Vec<u8>) -> Result<bool, String> {
        let op = decode::op(line)?;
        let Some(time) = self.batch else {
            if op != "begin_batch" {
                return Err(format!("`{op}` outside a batch"));
            }
            self.batch = Some(decode::parse::<decode::Begin>(line)?.time);
            return Ok(false);
        };
        let now = millis(time);
        match &*op {
            "begin_batch" => return Err("a batch opened inside another".into()),
            "eof_batch" => {
                decode::parse::<serde::de::IgnoredAny>(line)?;
                self.reply(now, reply);
                return Ok(true);
            }
            "create" => {
                let create: decode::Create = decode::parse(line)?;
                self.create(now, create)?;
            }
            "halt" => {
                let i = decode::parse::<decode::Instance>(line)?.i;
                self.instances.remove(&i);
                self.called.retain(|&called| called != i);
            }
            "sheet" => {
                let sheet: decode::Sheet = decode::parse(line)?;
                self.sheets.insert(sheet.sheet, sheet.entries);
            }
            "peers_known" => {
                let told: decode::PeersKnown = decode::parse(line)?;
                self.list(now, told)?;
            }
            "new_request" => {
                let r: decode::NewRequest = decode::parse(line)?;
                let event = Event::RequestArrived {
                    request_id: r.call,
                    class: RequestClassId(r.priority),
                    tenant: TenantId(r.account.unwrap_or(0)),
                    slots: r.cores_needed.unwrap_or(1.0),
                    memory: r.mem_needed.unwrap_or(0.0),
                    time_left: millis(r.time_left),
                    is_retry: r.retry.unwrap_or(false),
                };
                self.tell(r.i, now, |_| event);
            }
            "ping_result" => {
                let p: decode::PingResult = decode::parse(line)?;
                self.tell(p.i, now, |instance| Event::ProbeCompleted {
                    // One that is not registered has no handle: what it says is dropped, and counted there.
                    executor: instance.registry.get(&p.executor).unwrap_or_default(),
                    reply: (p.state_code == StateCode::Good).then(|| ProbeReply {
                        latency: millis(p.lag),
                        report: instance.load_fields.report(&p.metrics.unwrap_or_default()),
                    }),
                });
            }
            "returned" => {
                let r: decode::Returned = decode::parse(line)?;
                self.tell(r.i, now, |_| Event::AttemptEnded {
                    request_id: r.call,
                    attempt_id: AttemptId(r.n),
                    outcome: outcome(r.state_code),
                    is_request_closed: r.complete,
                });
            }
            "begun" => {
                let b: decode::Begun = decode::parse(line)?;
                self.tell(b.i, now, |_| Event::AttemptStarted {
                    request_id: b.call,
                    attempt_id: AttemptId(b.n),
                });
            }
            "heartbeat" => {
                let h: decode::Heartbeat = decode::parse(line)?;
                let attempt_id = AttemptId(h.n);
                match h.what {
                    1 => self.tell(h.i, now, |_| Event::AttemptStarted { request_id: h.call, attempt_id }),
                    2 => {
                        let share = h.value.unwrap_or(0.0);
                        self.tell(h.i, now, |_| Event::AttemptProgressed {
                            request_id: h.call,
                            attempt_id,
                            share,
                        });
                    }
                    _ => {}
                }
            }
            "timer" => {
                let i = decode::parse::<decode::Instance>(line)?.i;
                self.tell(i, now, |_| Event::TimerFired);
            }
            "withdrawn" => {
                let w: decode::Withdrawn = decode::parse(line)?;
                self.tell(w.i, now, |_| Event::RequestWithdrawn { request_id: w.call });
            }
            "inbox" => {
                let inbox: decode::Inbox = decode::parse(line)?;
                // What a node sends is not in our hands: what is not understood is passed over, and counted.
                let types = self.instances.get(&inbox.i).map(|instance| instance.types.as_slice());
                match inbox.said(types.unwrap_or_default()) {
                    Some(said) => self.tell(inbox.i, now, |_| Event::GossipReceived(said)),
                    None => self.passed_over(inbox.i),
                }
            }
            // Other ops are not for us; they must be JSON all the same.
            _ => {
                decode::parse::<serde::de::IgnoredAny>(line)?;
            }
        }
        Ok(false)
    }

    fn create(&mut self, now: Millis, create: decode::Create) -> Result<(), String> {
        let settings = parse_settings(&create.profile_data).map_err(|error| error.to_string())?;
        let instance = Instance {
            load_fields: LoadFields::from_document(&create.profile_data),
            types: class_names(&create.profile_data),
            node: Dispatcher::new(&settings, create.nonce64, now),
            registry: ExecutorRegistry::default(),
            called: true,
            passed_over: 0,
            says_so: false,
        };
        self.instances.insert(create.i, instance);
        self.called.retain(|&called| called != create.i);
        self.called.push(create.i);
        Ok(())
    }

    fn list(&mut self, now: Millis, told: decode::PeersKnown) -> Result<(), String> {
        let kind = match told.kind {
            PeersKind::Lost => {
                self.tell(told.i, now, |_| Event::EndpointWatchLost { is_rejected: true });
                return Ok(());
            }
            PeersKind::Incr => ListUpdate::Delta,
            PeersKind::Total => ListUpdate::Snapshot,
            PeersKind::WarmCopy => ListUpdate::Cached,
        };
        let number = told.sheet.ok_or("missing field `sheet`")?;
        let sheet = self.sheets.get(&number).ok_or_else(|| format!("sheet {number} was never declared"))?;
        let Some(instance) = self.instances.get_mut(&told.i) else { return Ok(()) };
        let listing = |entry: &decode::Entry| Endpoint {
            executor: instance.registry.register(&entry.executor),
            token: token(&entry.executor),
            zone: ZoneId(entry.dc.unwrap_or(0)),
            machine_type: MachineTypeId(entry.hw.unwrap_or(0)),
            deduplication_group: DeduplicationGroupId(entry.stripe.unwrap_or(0)),
            state: match entry.phase {
                EntryPhase::Healthy => EndpointState::Ready,
                EntryPhase::Cordoned => EndpointState::Draining,
                EntryPhase::Deregistered => EndpointState::Gone,
            },
            weight: entry.scale.unwrap_or(1.0),
            started_at: entry.start_time.filter(|&at| at > 0).map(millis),
        };
        let entries = sheet.iter().map(listing).collect();
        self.tell(told.i, now, |_| Event::EndpointsUpdated { update: kind, endpoints: entries });
        Ok(())
    }

    /// Hands an event to its instance; one for an instance that is not there changes nothing.
    fn tell(&mut self, i: u64, now: Millis, event: impl FnOnce(&mut Instance) -> Event) {
        let Some(instance) = self.instances.get_mut(&i) else { return };
        if !instance.called {
            instance.called = true;
            self.called.push(i);
        }
        let event = event(instance);
        instance.node.handle_event(now, event);
    }

    fn passed_over(&mut self, i: u64) {
        let Some(instance) = self.instances.get_mut(&i) else { return };
        instance.passed_over += 1;
        // Each power of two is said, so that a crowd of them does not fill the log.
        if instance.passed_over.is_power_of_two() {
            instance.says_so = true;
            if !std::mem::replace(&mut instance.called, true) {
                self.called.push(i);
            }
        }
    }

    fn reply(&mut self, now: Millis, reply: &mut Vec<u8>) {
        for i in self.called.drain(..) {
            let Some(instance) = self.instances.get_mut(&i) else { continue };
            instance.called = false;
            instance.node.poll_actions(now, &mut self.actions);
            let rejected_messages = std::mem::take(&mut instance.says_so).then_some(instance.passed_over);
            for action in self.actions.drain(..) {
                encode::action(reply, i, &instance.registry, &instance.types, &action);
                if let Action::ReleaseExecutor { executor } = action {
                    instance.registry.release(executor);
                }
            }
            if let Some(count) = rejected_messages {
                encode::log_line(reply, i, &format!("{count} messages passed over: not understood"));
            }
        }
        reply.extend_from_slice(b"{\"op\":\"done\"}\n");
        self.batch = None;
    }
}
