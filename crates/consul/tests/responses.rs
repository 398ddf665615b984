//! Valid and invalid responses of agents, and the queries that follow them.
use serde_json::{Value, json};
use std::rc::Rc;
use troutknot_consul::health::{Health, HealthDecoder, Incarnation, ResponseBounds, ServiceInstance};
use troutknot_consul::query::{
    BlockingQuery, Consistency, QueryTiming, ResponseError, ResponseHeaders, WatchedService,
};

fn entry(id: &str, checks: Value) -> Value {
    json!({"Node": {"ID": "n", "Node": "host1", "Address": "127.0.0.9", "Datacenter": "dc1", "Meta": null},
        "Service": {"ID": id, "Service": "box", "Tags": ["a"], "Address": "127.0.0.5", "Port": 8080,
            "Weights": {"Passing": 10, "Warning": 1}, "Meta": {"kind": "m1", "cell": "3"}, "CreateIndex": 12},
        "Checks": checks})
}

fn check(id: &str, status: &str) -> Value {
    json!({"Node": "host1", "CheckID": id, "Name": "x", "Status": status, "Output": "fine", "Definition": {}})
}

fn decode(body: &Value) -> Result<Vec<Rc<ServiceInstance>>, String> {
    HealthDecoder::default()
        .decode(body.to_string().as_bytes(), &ResponseBounds::default())
        .map_err(|e| e.to_string())
}

#[test]
fn instances_are_decoded_with_their_checks_weights_and_addresses() {
    for (checks, health, weight) in [
        (json!([]), Health::Passing, 10.0),
        (json!(null), Health::Passing, 10.0),
        (json!([check("serfHealth", "passing"), check("c", "warning")]), Health::Warning, 1.0),
        (json!([check("serfHealth", "critical"), check("c", "warning")]), Health::Critical, 0.0),
        (json!([check("_node_maintenance", "critical")]), Health::Maintenance, 0.0),
        (
            json!([check("_service_maintenance:a", "critical"), check("c", "critical")]),
            Health::Maintenance,
            0.0,
        ),
        (json!([check("_node_maintenance", "passing")]), Health::Passing, 10.0),
    ] {
        let instance = decode(&json!([entry("a", checks.clone())])).unwrap().remove(0);
        assert_eq!((instance.health, instance.weight), (health, weight), "{checks}");
        assert_eq!(
            (instance.id.as_str(), instance.address.to_string().as_str()),
            ("a@host1.dc1", "127.0.0.5:8080")
        );
        assert_eq!(
            (instance.machine_type.as_deref(), instance.deduplication_group, instance.incarnation),
            (Some("m1"), Some(3), Incarnation::RegisteredAt(12))
        );
    }
    let mut on_node = entry("a", json!([]));
    on_node["Service"]["Address"] = json!("");
    on_node["Service"]["Weights"] = json!(null);
    on_node["Service"]["Meta"] = json!({"executor": "s-1", "started": "1700000000000", "zone": "z2"});
    let instance = decode(&json!([on_node])).unwrap().remove(0);
    assert_eq!(instance.address.to_string(), "127.0.0.9:8080", "its node's address");
    assert_eq!((instance.id.as_str(), instance.zone.as_str(), instance.weight), ("s-1", "z2", 1.0));
    assert_eq!(instance.incarnation, Incarnation::StartedAt(1.7e12));
}

#[test]
fn invalid_bodies_are_refused() {
    let good = entry("a", json!([]));
    let with = |path: &str, value: Value| {
        let mut entry = good.clone();
        *entry.pointer_mut(path).unwrap() = value;
        json!([entry]).to_string()
    };
    let whole = json!([good]).to_string();
    let deep = "[".repeat(100_000);
    for (body, part) in [
        (String::new(), "EOF"),
        (whole[..whole.len() / 2].to_string(), "EOF"),
        ("{\"a\": 1}".into(), "expected a sequence"),
        (deep, "no JSON of the health API"),
        ("null".into(), "expected a sequence"),
        (with("/Checks", json!([check("c", "wobbly")])), "unknown status `wobbly`"),
        (with("/Checks", json!([{"CheckID": "c"}])), "missing field `Status`"),
        (with("/Service/Address", json!("box.example")), "no valid address: `box.example:8080`"),
        (with("/Service/Address", json!("0.0.0.0")), "no valid address"),
        (with("/Service/Port", json!(0)), "no valid address"),
        (with("/Service/Port", json!(99999)), "no JSON of the health API"),
        (with("/Service/Port", json!("80")), "no JSON of the health API"),
        (with("/Service/Meta", json!({"executor": "x".repeat(500)})), "an id is empty or too long"),
        (with("/Service/Meta", json!({"executor": ""})), "an id is empty or too long"),
        (json!([good, good]).to_string(), "`a@host1.dc1` is listed twice"),
        (json!(vec![json!(1); 20_000]).to_string(), "20000 entries, at most 10000 are read"),
        (" ".repeat(13 * 1024 * 1024), "a body of 13631488 bytes, at most 12582912 are read"),
    ] {
        let decoded = HealthDecoder::default().decode(body.as_bytes(), &ResponseBounds::default());
        let error = decoded.map(|_| String::new()).unwrap_or_else(|e| e.to_string());
        assert!(error.contains(part) && !part.is_empty(), "{part}: {error}");
    }
}

#[test]
fn unchanged_entries_are_decoded_once_even_across_an_invalid_response() {
    let mut decoder = HealthDecoder::default();
    let mut decode = |body: &Value| decoder.decode(body.to_string().as_bytes(), &ResponseBounds::default());
    let [a, b] = ["a", "b"].map(|id| entry(id, json!([])));
    let first = decode(&json!([a, b])).unwrap();
    assert!(decode(&json!([a, 5])).is_err());
    let failing = entry("b", json!([check("c", "critical")]));
    let second = decode(&json!([failing, a])).unwrap();
    assert!(Rc::ptr_eq(&first[0], &second[1]) && second[0].health == Health::Critical);
}

#[test]
fn the_target_names_the_watched_service_and_the_index() {
    let watched = WatchedService {
        service: "a b/c".into(),
        datacenter: Some("dc2".into()),
        namespace: Some("team".into()),
        filter: Some("Service.Meta.v == \"2\"".into()),
        consistency: Consistency::Stale,
    };
    let mut query = BlockingQuery::new(watched, QueryTiming::default(), 1);
    let headers = ResponseHeaders { status: 200, index: Some("42"), ..ResponseHeaders::default() };
    let rest = "&dc=dc2&ns=team&filter=Service.Meta.v%20%3D%3D%20%222%22&stale";
    assert_eq!(query.target(), format!("/v1/health/service/a%20b%2Fc?index=0{rest}"));
    assert!(query.timeout() < 10_000.0, "the first query does not block");
    query.record_response(&headers);
    assert_eq!(query.target(), format!("/v1/health/service/a%20b%2Fc?index=42&wait=10000ms{rest}"));
    assert!(query.timeout() > 10_000.0 * 17.0 / 16.0, "longer than an agent may block");
    query.reset_index();
    assert!(query.target().contains("index=0"));
}

#[test]
fn an_index_that_decreases_or_is_zero_neither_spins_nor_blocks_forever() {
    let mut query = BlockingQuery::new(
        WatchedService { service: "x".into(), ..WatchedService::default() },
        QueryTiming::default(),
        1,
    );
    for (index, then) in [("7", 7), ("9", 9), ("3", 0), ("3", 3), ("0", 0), ("0", 1), ("12", 12)] {
        let headers = ResponseHeaders { status: 200, index: Some(index), ..ResponseHeaders::default() };
        if query.check_response(&headers).is_err() {
            // With one agent, a second lower index in a row is accepted.
            assert_eq!(query.check_response(&headers), Ok(()));
        }
        assert!(query.record_response(&headers) > 0.0, "a pause between queries");
        assert_eq!(query.index(), then, "{index}");
    }
}

#[test]
fn refused_responses_leave_the_index_and_back_off() {
    let mut query = BlockingQuery::new(
        WatchedService { service: "x".into(), ..WatchedService::default() },
        QueryTiming::default(),
        1,
    );
    let good = ResponseHeaders {
        status: 200,
        index: Some("7"),
        known_leader: Some("true"),
        last_contact: Some("20"),
    };
    query.record_response(&good);
    for (headers, refused) in [
        (ResponseHeaders { status: 500, ..good }, ResponseError::Status(500)),
        (ResponseHeaders { status: 500, known_leader: Some("false"), ..good }, ResponseError::NoLeader),
        (ResponseHeaders { known_leader: Some("false"), ..good }, ResponseError::NoLeader),
        (ResponseHeaders { last_contact: Some("60000"), ..good }, ResponseError::Stale(60_000.0)),
        (ResponseHeaders { index: None, ..good }, ResponseError::InvalidIndex),
        (ResponseHeaders { index: Some("-4"), ..good }, ResponseError::InvalidIndex),
    ] {
        assert_eq!(query.check_response(&headers), Err(refused));
    }
    let waits: Vec<f64> = (0..20).map(|_| query.record_failure(1.0)).collect();
    assert!(
        waits.windows(2).all(|w| w[1] >= w[0]) && waits[0] == 250.0 && waits[19] == 10_000.0,
        "{waits:?}"
    );
    assert_eq!(query.record_failure(0.0), 5000.0, "jitter");
    assert_eq!(query.index(), 7);
    query.record_response(&good);
    assert_eq!(query.consecutive_failures(), 0);
}

#[test]
fn a_response_with_a_lower_index_is_refused_until_all_agents_have_one() {
    let mut query = BlockingQuery::new(
        WatchedService { service: "x".into(), ..WatchedService::default() },
        QueryTiming::default(),
        3,
    );
    let headers = |index| ResponseHeaders { status: 200, index: Some(index), ..ResponseHeaders::default() };
    query.record_response(&headers("50"));
    query.reset_index();
    assert_eq!(
        query.check_response(&headers("45")),
        Err(ResponseError::IndexBehind { index: 45, highest: 50 })
    );
    assert_eq!(query.check_response(&headers("51")), Ok(()));
    query.record_response(&headers("51"));
    // After the restore of a snapshot all three agents have lower indices.
    for _ in 0..3 {
        assert_eq!(
            query.check_response(&headers("7")),
            Err(ResponseError::IndexBehind { index: 7, highest: 51 })
        );
    }
    assert_eq!(query.check_response(&headers("7")), Ok(()));
}
