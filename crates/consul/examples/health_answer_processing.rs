//! Prints what an answer costs with one changed entry, beside reading it whole, and what damping does to flaps.
use std::rc::Rc;
use std::time::Instant;
use troutknot_consul::health::{Bounds, Health, Member, Reader, Start};
use troutknot_consul::roster::{Roster, State, Terms, WatchNumber};

fn body(entries: usize, failing: usize) -> Vec<u8> {
    let entry = |k: usize| {
        let status = if k == failing { "critical" } else { "passing" };
        let check = |id: &str, status: &str| {
            format!(
                r#"{{"Node":"host{k}","CheckID":"{id}","Name":"{id}","Status":"{status}","Notes":"","Output":"HTTP GET http://127.0.0.1:{k}/health: 200 OK Output: fine","ServiceID":"s{k}","ServiceName":"box","ServiceTags":[],"Type":"http","Definition":{{}},"CreateIndex":7,"ModifyIndex":9}}"#
            )
        };
        format!(
            r#"{{"Node":{{"ID":"","Node":"host{k}","Address":"127.0.0.1","Datacenter":"dc1","TaggedAddresses":{{"lan":"127.0.0.1","wan":"127.0.0.1"}},"Meta":{{"rack":"r{k}"}}}},"Service":{{"ID":"s{k}","Service":"box","Tags":["a","b"],"Address":"127.0.0.1","Port":{},"Meta":{{"kind":"m1","started":"1700000000000"}},"Weights":{{"Passing":1,"Warning":1}},"EnableTagOverride":false,"CreateIndex":7,"ModifyIndex":9}},"Checks":[{},{}]}}"#,
            1000 + k % 60000,
            check("serfHealth", "passing"),
            check(&format!("service:s{k}"), status)
        )
    };
    format!("[{}]", (0..entries).map(entry).collect::<Vec<_>>().join(",")).into_bytes()
}

fn main() {
    println!("| entries | bytes an answer | one change, ms | read whole, ms | changes told |");
    println!("| --- | --- | --- | --- | --- |");
    for entries in [10, 500, 5000] {
        let bodies: Vec<Vec<u8>> = (0..20).map(|k| body(entries, k % entries)).collect();
        let (bounds, watch) = (Bounds::default(), WatchNumber(0));
        let mut costs = [Vec::new(), Vec::new()];
        let mut told = 0;
        for (whole, costs) in costs.iter_mut().enumerate() {
            let (mut reader, mut roster) = (Reader::default(), Roster::new(Terms::default(), 0.0));
            for (k, body) in bodies.iter().enumerate() {
                if whole == 1 {
                    reader = Reader::default();
                }
                let start = Instant::now();
                let members = reader.read(body, &bounds).expect("a good body");
                roster.answer(k as f64 * 60_000.0, watch, &members);
                let (changes, _) = roster.changes(k as f64 * 60_000.0);
                if k > 0 {
                    costs.push(start.elapsed().as_secs_f64() * 1000.0);
                    told = changes.len();
                }
            }
            costs.sort_by(f64::total_cmp);
        }
        let median = |costs: &[f64]| costs[costs.len() / 2];
        let bytes = bodies[0].len();
        println!("| {entries} | {bytes} | {:.3} | {:.3} | {told} |", median(&costs[0]), median(&costs[1]));
    }
    println!(
        "\n| damping | returns told of 200 executors that flap each second for a minute | of these cold |"
    );
    println!("| --- | --- | --- |");
    let member = |k: usize, health| {
        let weight = if health == Health::Passing { 1.0 } else { 0.0 };
        let (addr, start) = ("127.0.0.1:80".parse().expect("an address"), Start::Told(5.0));
        let id = format!("s{k:04}");
        Rc::new(Member { id, addr, health, weight, zone: String::new(), kind: None, cell: None, start })
    };
    for damping in [true, false] {
        let terms = Terms { damping: Terms::default().damping.filter(|_| damping), ..Terms::default() };
        let mut roster = Roster::new(terms, 0.0);
        let all: Vec<Rc<Member>> = (0..2000).map(|k| member(k, Health::Passing)).collect();
        roster.answer(0.0, WatchNumber(0), &all);
        roster.changes(0.0);
        let (mut returns, mut cold) = (0, 0);
        for half in 1..=120u32 {
            let now = f64::from(half) * 500.0;
            let failing = half % 2 == 1;
            let of = |k: usize| if failing && k < 200 { member(k, Health::Critical) } else { all[k].clone() };
            roster.answer(now, WatchNumber(0), &(0..2000).map(of).collect::<Vec<_>>());
            let (changes, _) = roster.changes(now);
            returns += changes.iter().filter(|c| c.state == State::Ready).count();
            cold += changes.iter().filter(|c| c.started != Some(5.0)).count();
        }
        println!("| {} | {returns} | {cold} |", if damping { "on" } else { "off" });
    }
}
