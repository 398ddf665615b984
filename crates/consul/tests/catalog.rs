//! How the catalog reports failures, removals, flaps and restarts, response by response.
use std::rc::Rc;
use troutknot_consul::catalog::{
    Catalog, CatalogEvent, CatalogPolicy, Damping, InstanceState, RemovalLimit, WatchId,
};
use troutknot_consul::health::{Health, Incarnation, ServiceInstance};

/// Unix time at time 0, in milliseconds.
const UNIX_OFFSET: f64 = 1e12;
const FIRST_WATCH: WatchId = WatchId(0);

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

fn passing(id: &str) -> Rc<ServiceInstance> {
    instance(id, Health::Passing, Incarnation::StartedAt(5.0))
}

fn critical(id: &str) -> Rc<ServiceInstance> {
    instance(id, Health::Critical, Incarnation::StartedAt(5.0))
}

fn passing_fleet(count: usize) -> Vec<Rc<ServiceInstance>> {
    (0..count).map(|number| passing(&format!("s{number:04}"))).collect()
}

/// Takes the changes and formats them as text.
fn take_changes_text(catalog: &mut Catalog, now: f64) -> String {
    let (changes, _) = catalog.take_changes(now);
    let texts = changes.iter().map(|change| format!("{} {:?}", change.instance.id, change.state));
    texts.collect::<Vec<String>>().join(", ")
}

/// Takes the changes and counts those to a state.
fn take_change_count(catalog: &mut Catalog, now: f64, state: InstanceState) -> usize {
    catalog.take_changes(now).0.iter().filter(|change| change.state == state).count()
}

/// A failed executor that is not reported at once gets requests that fail.
#[test]
fn unhealthy_executors_are_reported_at_once() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX_OFFSET);
    catalog.apply_response(0.0, FIRST_WATCH, &[passing("a"), passing("b"), passing("c"), passing("d")]);
    assert_eq!(take_changes_text(&mut catalog, 0.0), "a Ready, b Ready, c Ready, d Ready");
    assert_eq!(take_changes_text(&mut catalog, 1.0), "", "no change is reported twice");
    let in_maintenance = instance("b", Health::Maintenance, Incarnation::StartedAt(5.0));
    catalog.apply_response(2.0, FIRST_WATCH, &[critical("a"), in_maintenance, passing("c")]);
    assert_eq!(take_changes_text(&mut catalog, 2.0), "a Draining, b Draining, d Gone");
    let zero_weight = Rc::new(ServiceInstance { weight: 0.0, ..(*passing("c")).clone() });
    catalog.apply_response(3.0, FIRST_WATCH, &[passing("a"), passing("b"), zero_weight]);
    assert_eq!(
        take_changes_text(&mut catalog, 3.0),
        "a Ready, b Ready, c Draining",
        "a first failure does not suppress"
    );
}

/// An agent that lists nothing by mistake must not remove all executors at once.
#[test]
fn executors_missing_from_an_empty_list_are_removed_in_parts_up_to_the_maximum_missing_time() {
    let removal_limit = RemovalLimit { max_share: 0.5, window: 1000.0, max_missing_time: 10_000.0 };
    let mut catalog = Catalog::new(CatalogPolicy { removal_limit, ..CatalogPolicy::default() }, UNIX_OFFSET);
    let all = passing_fleet(100);
    catalog.apply_response(0.0, FIRST_WATCH, &all);
    assert_eq!(take_change_count(&mut catalog, 0.0, InstanceState::Ready), 100);
    catalog.apply_response(10.0, FIRST_WATCH, &[]);
    let (changes, events) = catalog.take_changes(10.0);
    assert_eq!((changes.len(), catalog.retained_count()), (50, 50), "half may be removed");
    assert_eq!(events, [CatalogEvent::RetentionStarted { retained: 50, listed: 50 }]);
    assert_eq!(
        take_change_count(&mut catalog, 500.0, InstanceState::Gone),
        0,
        "no further removal within the window"
    );
    // When all are listed again, retained executors are unchanged and removed ones return with their start time.
    catalog.apply_response(600.0, FIRST_WATCH, &all);
    let (changes, events) = catalog.take_changes(600.0);
    assert!(
        changes.iter().all(|change| change.state == InstanceState::Ready && change.started_at == Some(5.0))
    );
    assert_eq!((changes.len(), events.last()), (50, Some(&CatalogEvent::RetentionEnded)));
    catalog.apply_response(2000.0, FIRST_WATCH, &[]);
    let mut removed = take_change_count(&mut catalog, 2000.0, InstanceState::Gone);
    let mut now = 2000.0;
    while let Some(at) = catalog.next_timer()
        && at <= 12_000.0
    {
        now = at;
        removed += take_change_count(&mut catalog, now, InstanceState::Gone);
    }
    assert_eq!(
        (removed, now),
        (100, 12_000.0),
        "removed in decreasing parts, the rest after the maximum missing time"
    );
}

/// Removed executors must not stay listed after an ordinary scale-down.
#[test]
fn a_scale_down_within_the_removal_limit_retains_nothing() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX_OFFSET);
    catalog.apply_response(0.0, FIRST_WATCH, &passing_fleet(100));
    catalog.take_changes(0.0);
    catalog.apply_response(1.0, FIRST_WATCH, &passing_fleet(50));
    let (changes, events) = catalog.take_changes(1.0);
    assert_eq!((changes.len(), events.len(), catalog.retained_count()), (50, 0, 0));
    catalog.apply_response(2.0, FIRST_WATCH, &passing_fleet(49));
    catalog.take_changes(2.0);
    assert_eq!(catalog.retained_count(), 1, "one more within the window is retained");
}

/// An executor that fails and recovers repeatedly would get requests at each recovery, and lose them.
#[test]
fn flapping_executors_are_suppressed_longer_each_time_up_to_a_bound() {
    let damping = Damping {
        half_life: 1000.0,
        suppress_threshold: 1.5,
        reuse_threshold: 0.75,
        max_suppress_time: 2500.0,
    };
    let policy = CatalogPolicy { damping: Some(damping), ..CatalogPolicy::default() };
    let mut catalog = Catalog::new(policy, UNIX_OFFSET);
    catalog.apply_response(0.0, FIRST_WATCH, &[passing("a"), passing("b")]);
    catalog.take_changes(0.0);
    let (mut now, mut suppress_times) = (0.0, Vec::new());
    for _ in 0..6 {
        now += 50.0;
        catalog.apply_response(now, FIRST_WATCH, &[critical("a"), passing("b")]);
        let _ = take_changes_text(&mut catalog, now);
        now += 50.0;
        catalog.apply_response(now, FIRST_WATCH, &[passing("a"), passing("b")]);
        let (changes, events) = catalog.take_changes(now);
        assert!(changes.iter().all(|change| change.started_at == Some(5.0)), "a flap is no restart");
        suppress_times.push(events.iter().find_map(|event| match event {
            CatalogEvent::Suppressed { until, .. } => Some(until - now),
            _ => None,
        }));
    }
    assert_eq!(suppress_times[0], None, "a first failure does not suppress");
    let suppress_times: Vec<f64> = suppress_times.into_iter().flatten().collect();
    assert!(
        suppress_times.len() == 5
            && suppress_times.windows(2).all(|pair| pair[1] >= pair[0])
            && suppress_times[0] > 500.0,
        "{suppress_times:?}"
    );
    assert_eq!(suppress_times[4], 2500.0, "bounded");
    let until = catalog.next_timer().unwrap();
    assert_eq!(take_changes_text(&mut catalog, until - 1.0), "");
    assert_eq!(take_changes_text(&mut catalog, until), "a Ready");
    // After a long time without failures, a failure counts as a first one again.
    now = until + 20_000.0;
    catalog.apply_response(now, FIRST_WATCH, &[critical("a"), passing("b")]);
    assert_eq!(take_changes_text(&mut catalog, now), "a Draining");
    catalog.apply_response(now + 50.0, FIRST_WATCH, &[passing("a"), passing("b")]);
    assert_eq!(take_changes_text(&mut catalog, now + 50.0), "a Ready");
}

/// The start time decides on slow start: a restart must begin one, and a flap must not.
#[test]
fn a_restart_changes_the_start_time_and_a_flap_does_not() {
    for (first, second, started_at) in [
        (Incarnation::StartedAt(5.0), Incarnation::StartedAt(5.0), Some(5.0)),
        (Incarnation::StartedAt(5.0), Incarnation::StartedAt(77.0), Some(77.0)),
        (Incarnation::RegisteredAt(5), Incarnation::RegisteredAt(5), None),
        (Incarnation::RegisteredAt(5), Incarnation::RegisteredAt(9), Some(UNIX_OFFSET + 200.0)),
    ] {
        let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX_OFFSET);
        let list = |health, incarnation| [instance("a", health, incarnation), passing("b"), passing("c")];
        catalog.apply_response(0.0, FIRST_WATCH, &list(Health::Passing, first));
        catalog.take_changes(0.0);
        catalog.apply_response(100.0, FIRST_WATCH, &list(Health::Critical, first));
        catalog.take_changes(100.0);
        catalog.apply_response(200.0, FIRST_WATCH, &list(Health::Passing, second));
        let (changes, _) = catalog.take_changes(200.0);
        assert_eq!(
            (changes[0].state, changes[0].started_at),
            (InstanceState::Ready, started_at),
            "{first:?} {second:?}"
        );
    }
    // The same if the executor is not listed in between.
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX_OFFSET);
    catalog.apply_response(0.0, FIRST_WATCH, &[passing("a"), passing("b"), passing("c")]);
    catalog.take_changes(0.0);
    catalog.apply_response(100.0, FIRST_WATCH, &[passing("b"), passing("c")]);
    assert_eq!(take_changes_text(&mut catalog, 100.0), "a Gone");
    catalog.apply_response(200.0, FIRST_WATCH, &[passing("a"), passing("b"), passing("c")]);
    assert_eq!(catalog.take_changes(200.0).0[0].started_at, Some(5.0));
}

/// Two services may list one executor; their states must not alternate.
#[test]
fn the_first_of_two_watches_that_list_an_executor_takes_precedence() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX_OFFSET);
    let second_watch = WatchId(1);
    catalog.apply_response(0.0, second_watch, &[critical("a"), passing("b"), passing("c")]);
    assert_eq!(take_changes_text(&mut catalog, 0.0), "a Draining, b Ready, c Ready");
    catalog.apply_response(1.0, FIRST_WATCH, &[passing("a")]);
    assert_eq!(take_changes_text(&mut catalog, 1.0), "a Ready", "the first watch decides");
    catalog.apply_response(2.0, FIRST_WATCH, &[]);
    assert_eq!(take_changes_text(&mut catalog, 2.0), "a Draining", "then the second watch decides");
    catalog.apply_response(3.0, second_watch, &[passing("b"), passing("c")]);
    assert_eq!(take_changes_text(&mut catalog, 3.0), "a Gone");
}

/// Memory is bounded, and removed executors must not occupy it for ever.
#[test]
fn executors_are_bounded_and_removed_ones_are_forgotten() {
    let policy = CatalogPolicy { max_executors: 10, removed_retention: 1000.0, ..CatalogPolicy::default() };
    let mut catalog = Catalog::new(policy, UNIX_OFFSET);
    catalog.apply_response(0.0, FIRST_WATCH, &passing_fleet(12));
    let (changes, events) = catalog.take_changes(0.0);
    assert_eq!((changes.len(), events), (10, vec![CatalogEvent::Dropped { count: 2 }]));
    catalog.apply_response(1.0, FIRST_WATCH, &passing_fleet(12)[..6]);
    assert_eq!(take_change_count(&mut catalog, 1.0, InstanceState::Gone), 4);
    catalog.take_changes(1001.0);
    assert_eq!(catalog.next_timer(), None);
    catalog.apply_response(1002.0, FIRST_WATCH, &passing_fleet(12));
    assert_eq!(
        take_change_count(&mut catalog, 1002.0, InstanceState::Ready),
        4,
        "the space of forgotten executors is free"
    );
}

/// Removed executors are forgotten before their retention time is over if new ones need their space.
#[test]
fn a_fleet_that_is_replaced_repeatedly_is_never_dropped() {
    let (max_executors, fleet_size, replacement_interval) = (100, 50, 30_000.0);
    let removal_limit = RemovalLimit { max_share: 1.0, ..CatalogPolicy::default().removal_limit };
    let mut catalog =
        Catalog::new(CatalogPolicy { max_executors, removal_limit, ..CatalogPolicy::default() }, UNIX_OFFSET);
    let fleet = |generation: usize| {
        let ids = (0..fleet_size).map(move |number| format!("r{generation}-{number}"));
        ids.map(|id| passing(&id)).collect::<Vec<_>>()
    };
    for generation in 0..30 {
        let now = generation as f64 * replacement_interval;
        catalog.apply_response(now, FIRST_WATCH, &fleet(generation));
        let (changes, events) = catalog.take_changes(now);
        let count_changes = |state| changes.iter().filter(|change| change.state == state).count();
        let gone = if generation == 0 { 0 } else { fleet_size };
        assert_eq!(
            (count_changes(InstanceState::Ready), count_changes(InstanceState::Gone), catalog.listed_count()),
            (fleet_size, gone, fleet_size),
            "generation {generation}"
        );
        assert!(!events.iter().any(|event| matches!(event, CatalogEvent::Dropped { .. })), "{events:?}");
    }
    // Forgotten executors have no timers.
    let mut expired_timers = 0;
    while let Some(at) = catalog.next_timer() {
        expired_timers += 1;
        assert!(
            expired_timers <= max_executors && catalog.take_changes(at).0.is_empty(),
            "each is forgotten once and without a change"
        );
    }
    assert!(expired_timers >= 1);
}

/// Without damping, each flap of each executor would be a change of the endpoint list.
#[test]
fn two_hundred_of_two_thousand_executors_that_flap_each_second_are_suppressed() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX_OFFSET);
    let all = passing_fleet(2000);
    catalog.apply_response(0.0, FIRST_WATCH, &all);
    assert_eq!(catalog.take_changes(0.0).0.len(), 2000);
    let (mut ready_count, mut change_count) = (0, 0);
    for second in 1..=60u32 {
        let now = f64::from(second) * 1000.0;
        let is_failing = second % 2 == 1;
        let current = |number: usize| {
            if is_failing && number < 200 { critical(&all[number].id) } else { all[number].clone() }
        };
        let instances: Vec<_> = (0..2000).map(current).collect();
        catalog.apply_response(now, FIRST_WATCH, &instances);
        let (changes, _) = catalog.take_changes(now);
        change_count += changes.len();
        ready_count += changes.iter().filter(|change| change.state == InstanceState::Ready).count();
        assert!(changes.iter().all(|change| change.instance.id.as_str() < "s0200"));
    }
    // Without damping, each of the 200 would become ready 30 times.
    assert!(ready_count < 200 * 4, "{ready_count} of {change_count}");
}

/// The cached list has no registration index: the first responses must not look like restarts of all executors.
#[test]
fn a_cached_list_is_replaced_by_the_first_responses_without_restarts() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX_OFFSET);
    let cached_list = WatchId(9);
    let cached = |id: &str| instance(id, Health::Passing, Incarnation::Unknown);
    catalog.apply_response(0.0, cached_list, &[cached("a"), cached("b"), cached("c")]);
    assert_eq!(take_changes_text(&mut catalog, 0.0), "a Ready, b Ready, c Ready");
    let registered = |id: &str| instance(id, Health::Passing, Incarnation::RegisteredAt(7));
    catalog.apply_response(1.0, FIRST_WATCH, &[registered("a"), registered("b")]);
    catalog.apply_response(1.0, cached_list, &[]);
    let (changes, _) = catalog.take_changes(1.0);
    assert!(changes.iter().all(|change| change.started_at.is_none()), "{changes:?}");
    assert_eq!(catalog.retained_count(), 0);
    assert!(changes.iter().any(|change| change.instance.id == "c" && change.state == InstanceState::Gone));
}

/// The removal limit guards against faulty responses, not against an operator's change.
#[test]
fn a_removed_watch_is_not_bound_by_the_removal_limit() {
    let mut catalog = Catalog::new(CatalogPolicy::default(), UNIX_OFFSET);
    catalog.apply_response(0.0, FIRST_WATCH, &passing_fleet(10));
    catalog.take_changes(0.0);
    catalog.remove_watch(FIRST_WATCH);
    assert_eq!(take_change_count(&mut catalog, 1.0, InstanceState::Gone), 10);
    catalog.take_changes(2.0);
    catalog.apply_response(3.0, FIRST_WATCH, &passing_fleet(10));
    assert_eq!(take_change_count(&mut catalog, 3.0, InstanceState::Ready), 10);
}
