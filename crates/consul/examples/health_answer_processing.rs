//! Benchmark of response processing. Prints the time per response with one changed entry and with all entries decoded,
//! and the effect of flap damping.
use std::rc::Rc;
use std::time::Instant;
use troutknot_consul::catalog::{Catalog, CatalogPolicy, Damping, InstanceState, WatchId};
use troutknot_consul::health::{Health, HealthDecoder, Incarnation, ResponseBounds, ServiceInstance};

/// A response body with `entry_count` entries, of which the one numbered `failing` is critical.
fn response_body(entry_count: usize, failing: usize) -> Vec<u8> {
    let entry = |number: usize| {
        let status = if number == failing { "critical" } else { "passing" };
        let check = |id: &str, status: &str| {
            format!(
                r#"{{"Node":"host{number}","CheckID":"{id}","Name":"{id}","Status":"{status}","Notes":"","Output":"HTTP GET http://127.0.0.1:{number}/health: 200 OK Output: fine","ServiceID":"s{number}","ServiceName":"box","ServiceTags":[],"Type":"http","Definition":{{}},"CreateIndex":7,"ModifyIndex":9}}"#
            )
        };
        format!(
            r#"{{"Node":{{"ID":"","Node":"host{number}","Address":"127.0.0.1","Datacenter":"dc1","TaggedAddresses":{{"lan":"127.0.0.1","wan":"127.0.0.1"}},"Meta":{{"rack":"r{number}"}}}},"Service":{{"ID":"s{number}","Service":"box","Tags":["a","b"],"Address":"127.0.0.1","Port":{},"Meta":{{"kind":"m1","started":"1700000000000"}},"Weights":{{"Passing":1,"Warning":1}},"EnableTagOverride":false,"CreateIndex":7,"ModifyIndex":9}},"Checks":[{},{}]}}"#,
            1000 + number % 60000,
            check("serfHealth", "passing"),
            check(&format!("service:s{number}"), status)
        )
    };
    format!("[{}]", (0..entry_count).map(entry).collect::<Vec<_>>().join(",")).into_bytes()
}

/// Whether entries that are unchanged since the previous response are decoded again.
#[derive(Clone, Copy, PartialEq)]
enum Decoding {
    Incremental,
    Complete,
}

/// Processes the responses in turn. Returns the median time per response in milliseconds, and the number of changes in
/// the last one.
fn process(bodies: &[Vec<u8>], decoding: Decoding) -> (f64, usize) {
    let mut decoder = HealthDecoder::default();
    let mut catalog = Catalog::new(CatalogPolicy::default(), 0.0);
    let (mut times, mut change_count) = (Vec::new(), 0);
    for (number, body) in bodies.iter().enumerate() {
        if decoding == Decoding::Complete {
            decoder = HealthDecoder::default();
        }
        let now = number as f64 * 60_000.0;
        let started_at = Instant::now();
        let instances = decoder.decode(body, &ResponseBounds::default()).expect("a valid body");
        catalog.apply_response(now, WatchId(0), &instances);
        let (changes, _) = catalog.take_changes(now);
        // The first response is decoded completely in either case.
        if number > 0 {
            times.push(started_at.elapsed().as_secs_f64() * 1000.0);
            change_count = changes.len();
        }
    }
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], change_count)
}

fn print_response_times() {
    println!("| entries | bytes per response | one entry changed, ms | all decoded, ms | changes |");
    println!("| --- | --- | --- | --- | --- |");
    for entry_count in [10, 500, 5000] {
        let bodies: Vec<Vec<u8>> =
            (0..20).map(|number| response_body(entry_count, number % entry_count)).collect();
        let (incremental_ms, _) = process(&bodies, Decoding::Incremental);
        let (complete_ms, change_count) = process(&bodies, Decoding::Complete);
        let bytes = bodies[0].len();
        println!("| {entry_count} | {bytes} | {incremental_ms:.3} | {complete_ms:.3} | {change_count} |");
    }
}

const STARTED_AT: f64 = 5.0;
const EXECUTORS: usize = 2000;
const FLAPPING_EXECUTORS: usize = 200;

fn instance(number: usize, health: Health) -> Rc<ServiceInstance> {
    Rc::new(ServiceInstance {
        id: format!("s{number:04}"),
        address: "127.0.0.1:80".parse().expect("an address"),
        health,
        weight: if health == Health::Passing { 1.0 } else { 0.0 },
        zone: String::new(),
        machine_type: None,
        deduplication_group: None,
        incarnation: Incarnation::StartedAt(STARTED_AT),
    })
}

fn print_damping(name: &str, damping: Option<Damping>) {
    let mut catalog = Catalog::new(CatalogPolicy { damping, ..CatalogPolicy::default() }, 0.0);
    let healthy: Vec<_> = (0..EXECUTORS).map(|number| instance(number, Health::Passing)).collect();
    catalog.apply_response(0.0, WatchId(0), &healthy);
    catalog.take_changes(0.0);
    let (mut recoveries, mut restarts) = (0, 0);
    for half_second in 1..=120u32 {
        let now = f64::from(half_second) * 500.0;
        let mut instances = healthy.clone();
        if half_second % 2 == 1 {
            for (number, flapping) in instances.iter_mut().take(FLAPPING_EXECUTORS).enumerate() {
                *flapping = instance(number, Health::Critical);
            }
        }
        catalog.apply_response(now, WatchId(0), &instances);
        let (changes, _) = catalog.take_changes(now);
        recoveries += changes.iter().filter(|change| change.state == InstanceState::Ready).count();
        restarts += changes.iter().filter(|change| change.started_at != Some(STARTED_AT)).count();
    }
    println!("| {name} | {recoveries} | {restarts} |");
}

fn main() {
    print_response_times();
    println!("\n| damping | recoveries of 200 executors that flap each second for a minute | restarts |");
    println!("| --- | --- | --- |");
    print_damping("on", CatalogPolicy::default().damping);
    print_damping("off", None);
}
