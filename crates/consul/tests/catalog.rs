//! The catalog step by step: how failures, removals, flaps and restarts are reported.
use std::rc::Rc;
use troutknot_consul::catalog::{
    Catalog, CatalogEvent, CatalogPolicy, Damping, InstanceState, RemovalLimit, WatchId,
};
use troutknot_consul::health::{Health, Incarnation, ServiceInstance};

const UNIX: f64 = 1e12;
const ONE: WatchId = WatchId(0);

fn instance(id: &str, health: Health, incarnation: Incarnation) -> Rc<ServiceInstance> {
    let weight = if health <= Health::Warning { 1.0 } else { 0.0 };
    let address = "127.0.0.1:80".parse().expect("an address");
    Rc::new(ServiceInstance {
        id: id.into(),
        address,
        health,
        weight,
        zone: "z".into(),
        machine_type: None,
        deduplication_group: None,
        incarnation,
    })
}

fn up(id: &str) -> Rc<ServiceInstance> {
    instance(id, Health::Passing, Incarnation::StartedAt(5.0))
}

fn down(id: &str) -> Rc<ServiceInstance> {
    instance(id, Health::Critical, Incarnation::StartedAt(5.0))
}

fn many(count: usize) -> Vec<Rc<ServiceInstance>> {
    (0..count).map(|k| up(&format!("s{k:04}"))).collect()
}

/// The changes as text.
fn changes_text(catalog: &mut Catalog, now: f64) -> String {
    let (changes, _) = catalog.take_changes(now);
    let lines: Vec<String> = changes.iter().map(|c| format!("{} {:?}", c.instance.id, c.state)).collect();
    lines.join(", ")
}

fn count(catalog: &mut Catalog, now: f64, state: InstanceState) -> usize {
    catalog.take_changes(now).0.iter().filter(|c| c.state == state).count()
}

#[test]
fn unhealthy_executors_are_reported_with_the_response_that_lists_them() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX);
    catalog.apply_response(0.0, ONE, &[up("a"), up("b"), up("c"), up("d")]);
    assert_eq!(changes_text(&mut catalog, 0.0), "a Ready, b Ready, c Ready, d Ready");
    assert_eq!(changes_text(&mut catalog, 1.0), "", "nothing twice");
    let maintained = instance("b", Health::Maintenance, Incarnation::StartedAt(5.0));
    catalog.apply_response(2.0, ONE, &[down("a"), maintained, up("c")]);
    assert_eq!(changes_text(&mut catalog, 2.0), "a Draining, b Draining, d Gone");
    let idle = Rc::new(ServiceInstance { weight: 0.0, ..(*up("c")).clone() });
    catalog.apply_response(3.0, ONE, &[up("a"), up("b"), idle]);
    assert_eq!(
        changes_text(&mut catalog, 3.0),
        "a Ready, b Ready, c Draining",
        "a first failure does not suppress"
    );
}

#[test]
fn an_emptied_list_is_removed_in_parts_and_completely_after_the_maximum_time() {
    let removal_limit = RemovalLimit { max_share: 0.5, window: 1000.0, max_missing_time: 10_000.0 };
    let mut catalog = Catalog::new(CatalogPolicy { removal_limit, ..CatalogPolicy::default() }, UNIX);
    let all = many(100);
    catalog.apply_response(0.0, ONE, &all);
    assert_eq!(count(&mut catalog, 0.0, InstanceState::Ready), 100);
    catalog.apply_response(10.0, ONE, &[]);
    let (changes, events) = catalog.take_changes(10.0);
    assert_eq!((changes.len(), catalog.retained_count()), (50, 50), "a half may go");
    assert_eq!(events, [CatalogEvent::RetentionStarted { retained: 50, listed: 50 }]);
    assert_eq!(count(&mut catalog, 500.0, InstanceState::Gone), 0, "no more within the window");
    // Listed again: retained executors are unchanged, removed ones return with their start time.
    catalog.apply_response(600.0, ONE, &all);
    let (changes, events) = catalog.take_changes(600.0);
    assert!(changes.iter().all(|c| c.state == InstanceState::Ready && c.started_at == Some(5.0)));
    assert_eq!((changes.len(), events.last()), (50, Some(&CatalogEvent::RetentionEnded)));
    catalog.apply_response(2000.0, ONE, &[]);
    let mut left = count(&mut catalog, 2000.0, InstanceState::Gone);
    let mut now = 2000.0;
    while let Some(at) = catalog.next_timer()
        && at <= 12_000.0
    {
        now = at;
        left += count(&mut catalog, now, InstanceState::Gone);
    }
    assert_eq!(
        (left, now),
        (100, 12_000.0),
        "in ever smaller parts, and the rest after the maximum missing time"
    );
}

#[test]
fn a_scale_down_within_the_removal_limit_retains_nothing() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX);
    catalog.apply_response(0.0, ONE, &many(100));
    catalog.take_changes(0.0);
    catalog.apply_response(1.0, ONE, &many(50));
    let (changes, events) = catalog.take_changes(1.0);
    assert_eq!((changes.len(), events.len(), catalog.retained_count()), (50, 0, 0));
    catalog.apply_response(2.0, ONE, &many(49));
    catalog.take_changes(2.0);
    assert_eq!(catalog.retained_count(), 1, "one more within the window is retained");
}

#[test]
fn flapping_executors_are_suppressed_longer_each_time_up_to_a_bound() {
    let damping = Damping {
        half_life: 1000.0,
        suppress_threshold: 1.5,
        reuse_threshold: 0.75,
        max_suppress_time: 2500.0,
    };
    let policy = CatalogPolicy { damping: Some(damping), ..CatalogPolicy::default() };
    let mut catalog = Catalog::new(policy, UNIX);
    catalog.apply_response(0.0, ONE, &[up("a"), up("b")]);
    catalog.take_changes(0.0);
    let (mut now, mut suppress_times) = (0.0, Vec::new());
    for _ in 0..6 {
        now += 50.0;
        catalog.apply_response(now, ONE, &[down("a"), up("b")]);
        let _ = changes_text(&mut catalog, now);
        now += 50.0;
        catalog.apply_response(now, ONE, &[up("a"), up("b")]);
        let (changes, events) = catalog.take_changes(now);
        assert!(changes.iter().all(|c| c.started_at == Some(5.0)), "no new start");
        suppress_times.push(events.iter().find_map(|n| match n {
            CatalogEvent::Suppressed { until, .. } => Some(until - now),
            _ => None,
        }));
    }
    assert_eq!(suppress_times[0], None, "a first failure does not suppress");
    let suppress_times: Vec<f64> = suppress_times.into_iter().flatten().collect();
    assert!(
        suppress_times.len() == 5
            && suppress_times.windows(2).all(|w| w[1] >= w[0])
            && suppress_times[0] > 500.0,
        "{suppress_times:?}"
    );
    assert_eq!(suppress_times[4], 2500.0, "bounded");
    let until = catalog.next_timer().unwrap();
    assert_eq!(changes_text(&mut catalog, until - 1.0), "");
    assert_eq!(changes_text(&mut catalog, until), "a Ready");
    // After quiet a failure counts as a first one again.
    now = until + 20_000.0;
    catalog.apply_response(now, ONE, &[down("a"), up("b")]);
    assert_eq!(changes_text(&mut catalog, now), "a Draining");
    catalog.apply_response(now + 50.0, ONE, &[up("a"), up("b")]);
    assert_eq!(changes_text(&mut catalog, now + 50.0), "a Ready");
}

#[test]
fn a_restart_changes_the_start_time_and_a_flap_does_not() {
    for (first, then, started_at) in [
        (Incarnation::StartedAt(5.0), Incarnation::StartedAt(5.0), Some(5.0)),
        (Incarnation::StartedAt(5.0), Incarnation::StartedAt(77.0), Some(77.0)),
        (Incarnation::RegisteredAt(5), Incarnation::RegisteredAt(5), None),
        (Incarnation::RegisteredAt(5), Incarnation::RegisteredAt(9), Some(UNIX + 200.0)),
    ] {
        let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX);
        let of = |health, start| [instance("a", health, start), up("b"), up("c")];
        catalog.apply_response(0.0, ONE, &of(Health::Passing, first));
        catalog.take_changes(0.0);
        catalog.apply_response(100.0, ONE, &of(Health::Critical, first));
        catalog.take_changes(100.0);
        catalog.apply_response(200.0, ONE, &of(Health::Passing, then));
        let (changes, _) = catalog.take_changes(200.0);
        assert_eq!(
            (changes[0].state, changes[0].started_at),
            (InstanceState::Ready, started_at),
            "{first:?} {then:?}"
        );
    }
    // The same where it was away in between.
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX);
    catalog.apply_response(0.0, ONE, &[up("a"), up("b"), up("c")]);
    catalog.take_changes(0.0);
    catalog.apply_response(100.0, ONE, &[up("b"), up("c")]);
    assert_eq!(changes_text(&mut catalog, 100.0), "a Gone");
    catalog.apply_response(200.0, ONE, &[up("a"), up("b"), up("c")]);
    assert_eq!(catalog.take_changes(200.0).0[0].started_at, Some(5.0));
}

#[test]
fn the_first_of_two_watches_that_list_an_executor_takes_precedence() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX);
    let two = WatchId(1);
    catalog.apply_response(0.0, two, &[down("a"), up("b"), up("c")]);
    assert_eq!(changes_text(&mut catalog, 0.0), "a Draining, b Ready, c Ready");
    catalog.apply_response(1.0, ONE, &[up("a")]);
    assert_eq!(changes_text(&mut catalog, 1.0), "a Ready", "the first one decides");
    catalog.apply_response(2.0, ONE, &[]);
    assert_eq!(changes_text(&mut catalog, 2.0), "a Draining", "then the other one");
    catalog.apply_response(3.0, two, &[up("b"), up("c")]);
    assert_eq!(changes_text(&mut catalog, 3.0), "a Gone");
}

#[test]
fn executors_are_bounded_and_removed_ones_are_forgotten() {
    let policy = CatalogPolicy { max_executors: 10, removed_retention: 1000.0, ..CatalogPolicy::default() };
    let mut catalog = Catalog::new(policy, UNIX);
    catalog.apply_response(0.0, ONE, &many(12));
    let (changes, events) = catalog.take_changes(0.0);
    assert_eq!((changes.len(), events), (10, vec![CatalogEvent::Dropped { count: 2 }]));
    catalog.apply_response(1.0, ONE, &many(12)[..6]);
    assert_eq!(count(&mut catalog, 1.0, InstanceState::Gone), 4);
    catalog.take_changes(1001.0);
    assert_eq!(catalog.next_timer(), None);
    catalog.apply_response(1002.0, ONE, &many(12));
    assert_eq!(count(&mut catalog, 1002.0, InstanceState::Ready), 4, "forgotten executors make room");
}

/// Removed executors give way to new ones before their retention time is over.
#[test]
fn a_fleet_that_is_replaced_repeatedly_is_never_dropped() {
    let (max_executors, fleet, spans) = (100, 50, 30_000.0);
    let removal_limit = RemovalLimit { max_share: 1.0, ..CatalogPolicy::default().removal_limit };
    let mut catalog =
        Catalog::new(CatalogPolicy { max_executors, removal_limit, ..CatalogPolicy::default() }, UNIX);
    let named = |replaced: usize| {
        let names = (0..fleet).map(move |k| format!("r{replaced}-{k}"));
        names.map(|name| up(&name)).collect::<Vec<_>>()
    };
    for replaced in 0..30 {
        let now = replaced as f64 * spans;
        catalog.apply_response(now, ONE, &named(replaced));
        let (changes, events) = catalog.take_changes(now);
        let of = |state| changes.iter().filter(|change| change.state == state).count();
        let gone = if replaced == 0 { 0 } else { fleet };
        assert_eq!(
            (of(InstanceState::Ready), of(InstanceState::Gone), catalog.listed_count()),
            (fleet, gone, fleet),
            "{replaced}"
        );
        assert!(!events.iter().any(|event| matches!(event, CatalogEvent::Dropped { .. })), "{events:?}");
    }
    // Forgotten executors have no timers.
    let mut due = 0;
    while let Some(at) = catalog.next_timer() {
        due += 1;
        assert!(
            due <= max_executors && catalog.take_changes(at).0.is_empty(),
            "forgotten without a change, and once"
        );
    }
    assert!(due >= 1);
}

#[test]
fn a_tenth_of_two_thousand_that_flaps_each_second_is_suppressed() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX);
    let all = many(2000);
    catalog.apply_response(0.0, ONE, &all);
    assert_eq!(catalog.take_changes(0.0).0.len(), 2000);
    let (mut ready, mut sent) = (0, 0);
    for second in 1..=60u32 {
        let now = f64::from(second) * 1000.0;
        let failing = second % 2 == 1;
        let of = |k: usize| if failing && k < 200 { down(&all[k].id) } else { all[k].clone() };
        let instances: Vec<_> = (0..2000).map(of).collect();
        catalog.apply_response(now, ONE, &instances);
        let (changes, _) = catalog.take_changes(now);
        sent += changes.len();
        ready += changes.iter().filter(|c| c.state == InstanceState::Ready).count();
        assert!(changes.iter().all(|c| c.instance.id.as_str() < "s0200"));
    }
    // Undamped each of the two hundred would come back thirty times.
    assert!(ready < 200 * 4, "{ready} of {sent}");
}

#[test]
fn a_cached_list_stays_until_all_watches_have_answered() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX);
    let cached = WatchId(9);
    let of = |id: &str| instance(id, Health::Passing, Incarnation::Unknown);
    catalog.apply_response(0.0, cached, &[of("a"), of("b"), of("c")]);
    assert_eq!(changes_text(&mut catalog, 0.0), "a Ready, b Ready, c Ready");
    let registered = |id: &str| instance(id, Health::Passing, Incarnation::RegisteredAt(7));
    catalog.apply_response(1.0, ONE, &[registered("a"), registered("b")]);
    catalog.apply_response(1.0, cached, &[]);
    let (changes, _) = catalog.take_changes(1.0);
    assert!(changes.iter().all(|c| c.started_at.is_none()), "{changes:?}");
    assert_eq!(catalog.retained_count(), 0);
    assert!(changes.iter().any(|c| c.instance.id == "c" && c.state == InstanceState::Gone));
}

#[test]
fn a_removed_watch_is_not_bound_by_the_removal_limit() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX);
    catalog.apply_response(0.0, ONE, &many(10));
    catalog.take_changes(0.0);
    catalog.remove_watch(ONE);
    assert_eq!(count(&mut catalog, 1.0, InstanceState::Gone), 10);
    catalog.take_changes(2.0);
    catalog.apply_response(3.0, ONE, &many(10));
    assert_eq!(count(&mut catalog, 3.0, InstanceState::Ready), 10);
}
