//! What the settings say, read into the terms that the decisions go by. Nothing is decided here.
use super::*;

impl Dispatcher {
    /// Takes settings. A work unit keeps the project type that it came with, so all terms of it: those that
    /// are known stay as they are, and only further ones are read.
    pub fn retune(&mut self, now: Millis, values: &NamedValues) {
        while values.holds(&format!("project_types.{}.hard_limit", self.types.len())) {
            let own = |name: &str| format!("project_types.{}.{name}", self.types.len());
            let number = |name: &str| values.number(&own(name), 0.0);
            let kind = values.number(&own("only_kind"), -1.0);
            let like = self.types.get(values.number(&own("like"), f64::INFINITY) as usize);
            let max_attempts = values.number("limits.most_allocations", 1.0);
            self.types.push(ProjectType {
                effect: Effect::named(values.text(&own("effect"))),
                scope: DeduplicationScope::named(values.text(&own("repeat_scope"))),
                window: number("window"),
                turnaround: number("promised_turnaround"),
                stretch: number("stretch"),
                limit: number("hard_limit"),
                credit: number("credit"),
                only_kind: (kind >= 0.0).then_some(MachineTypeId(kind as u32)),
                max_attempts: values.number(&own("most_allocations"), max_attempts) as usize,
                run: like.map_or(number("promised_turnaround"), |like| like.run),
                work: like.map_or(number("promised_turnaround"), |like| like.work),
                runs_seen: like.map_or(0.0, |like| like.runs_seen),
            });
        }
        self.nodes = values.number("nodes", 1.0).max(1.0);
        let part = (UNEVEN / self.nodes).min(1.0);
        let share = |k: usize| format!("customers.{k}.share_per_s");
        let named = (0..).take_while(|&k| values.holds(&share(k))).count();
        self.shares.resize_with(named, || Share { left: f64::INFINITY, at: now, per_ms: 0.0 });
        for (k, of) in self.shares.iter_mut().enumerate() {
            of.per_ms = values.number(&share(k), 0.0) * part / 1000.0;
        }
        self.credit_over = values.number("credit_over_share", 1.0);
        self.cold = ColdRule {
            share: values.number("rules.cold_share", 1.0),
            ramp: values.number("rules.ramp_time", 0.0),
            fall: values.number("rules.fall", 0.0),
            multiple: values.number("rules.fall_multiple", 1.0),
            node: values.holds("node").then_some(values.number("node", 0.0) as u64),
            dealt: 1.0,
        };
        let longest = self.types.iter().map(|kind| kind.turnaround).fold(1.0, f64::max);
        let times = self.cold.multiple * self.cold.share * self.cold.fall / longest;
        self.cold.dealt = (DEALT_A_TIME * times).round().clamp(1.0, MOST_DEALT).min(self.nodes);
        self.come_back_told = values.flag("limits.come_back_told");
        self.home = (values.number("prices.cross_place", 0.0) > 0.0)
            .then_some(ZoneId(values.number("place", 0.0) as u32));
        self.monitoring.price = values.number("prices.probe", 0.0);
        self.fleet.falling = values.text("list_sizes") == "falling";
        self.idle_stated = values.number("limits.idle_connection", 0.0);
        self.talks = values.flag("limits.peers");
        // Only a site that says so forbids them.
        self.monitoring.forbidden = values.get("limits.probes") == Some(&Given::Flag(false));
        if self.monitoring.forbidden {
            // No answer ever shows a queue, and what is worked out now and then goes by that.
            self.monitoring.waiting_share = Some(0.0);
        }
        self.starts_told = values.flag("executors.tell_start");
        let looks = values.flag("limits.second_copies") && self.starts_told && !self.monitoring.forbidden;
        self.looks_after = if looks { READING_LIFE } else { f64::INFINITY };
        self.following.ask_every = values.number("rules.ask_every", 10_000.0);
        let told = values.text("list_mode") == "told";
        self.following.grace = told.then(|| values.number("rules.drain_grace", 0.0));
    }
}
