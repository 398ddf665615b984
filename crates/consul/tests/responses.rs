//! Valid and invalid responses of agents, and their effect on the next query.
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
        .map_err(|error| error.to_string())
}

/// A wrong health, weight or address sends requests to an executor that cannot serve them.
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
    for cell in [json!("left"), json!(""), json!("-1"), json!("4294967296")] {
        let mut other = entry("a", json!([]));
        other["Service"]["Meta"]["cell"] = cell;
        let instance = decode(&json!([other])).unwrap().remove(0);
        assert_eq!(instance.deduplication_group, None, "a group that is no number is unknown");
    }
    let mut node_address_only = entry("a", json!([]));
    node_address_only["Service"]["Address"] = json!("");
    node_address_only["Service"]["Weights"] = json!(null);
    node_address_only["Service"]["Meta"] =
        json!({"executor": "s-1", "started": "1700000000000", "zone": "z2"});
    let instance = decode(&json!([node_address_only])).unwrap().remove(0);
    assert_eq!(instance.address.to_string(), "127.0.0.9:8080", "the address of the node");
    assert_eq!((instance.id.as_str(), instance.zone.as_str(), instance.weight), ("s-1", "z2", 1.0));
    assert_eq!(instance.incarnation, Incarnation::StartedAt(1.7e12));
}

/// A body that is only partly valid would remove the executors that cannot be decoded.
#[test]
fn invalid_bodies_are_refused() {
    let valid = entry("a", json!([]));
    let with = |path: &str, value: Value| {
        let mut entry = valid.clone();
        *entry.pointer_mut(path).unwrap() = value;
        json!([entry]).to_string()
    };
    let body = json!([valid]).to_string();
    let deeply_nested = "[".repeat(100_000);
    for (body, expected) in [
        (String::new(), "EOF"),
        (body[..body.len() / 2].to_string(), "EOF"),
        ("{\"a\": 1}".into(), "expected a sequence"),
        (deeply_nested, "invalid JSON of the health API"),
        ("null".into(), "expected a sequence"),
        (with("/Checks", json!([check("c", "wobbly")])), "unknown status `wobbly`"),
        (with("/Checks", json!([{"CheckID": "c"}])), "missing field `Status`"),
        (with("/Service/Address", json!("box.example")), "no valid address: `box.example:8080`"),
        (with("/Service/Address", json!("0.0.0.0")), "no valid address"),
        (with("/Service/Port", json!(0)), "no valid address"),
        (with("/Service/Port", json!(99999)), "invalid JSON of the health API"),
        (with("/Service/Port", json!("80")), "invalid JSON of the health API"),
        (with("/Service/Meta", json!({"executor": "x".repeat(500)})), "an instance id is empty or too long"),
        (with("/Service/Meta", json!({"executor": ""})), "an instance id is empty or too long"),
        (json!([valid, valid]).to_string(), "`a@host1.dc1` is listed twice"),
        (json!(vec![json!(1); 20_000]).to_string(), "20000 entries exceed the limit of 10000"),
        (" ".repeat(13 * 1024 * 1024), "body of 13631488 bytes exceeds the limit of 12582912"),
    ] {
        let decoded = HealthDecoder::default().decode(body.as_bytes(), &ResponseBounds::default());
        let error = decoded.map(|_| String::new()).unwrap_or_else(|error| error.to_string());
        assert!(error.contains(expected) && !expected.is_empty(), "{expected}: {error}");
    }
}

/// Decoding a large list again for each change would cost CPU, and an invalid response must not clear the cache.
#[test]
fn unchanged_entries_are_decoded_once_even_across_an_invalid_response() {
    let mut decoder = HealthDecoder::default();
    let mut decode = |body: &Value| decoder.decode(body.to_string().as_bytes(), &ResponseBounds::default());
    let [entry_a, entry_b] = ["a", "b"].map(|id| entry(id, json!([])));
    let first = decode(&json!([entry_a, entry_b])).unwrap();
    assert!(decode(&json!([entry_a, 5])).is_err());
    let failing = entry("b", json!([check("c", "critical")]));
    let second = decode(&json!([failing, entry_a])).unwrap();
    assert!(Rc::ptr_eq(&first[0], &second[1]) && second[0].health == Health::Critical);
}

/// Special characters must be escaped, and only a query with an index may block.
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
    let parameters = "&dc=dc2&ns=team&filter=Service.Meta.v%20%3D%3D%20%222%22&stale";
    assert_eq!(query.target(), format!("/v1/health/service/a%20b%2Fc?index=0{parameters}"));
    assert!(query.timeout() < 10_000.0, "the first query does not block");
    query.record_response(&headers);
    assert_eq!(query.target(), format!("/v1/health/service/a%20b%2Fc?index=42&wait=10000ms{parameters}"));
    assert!(query.timeout() > 10_000.0 * 17.0 / 16.0, "longer than the agent may block");
    query.reset_index();
    assert!(query.target().contains("index=0"));
}

/// After a reset of the index, queries must neither loop without a pause nor wait for an index that is never reached.
#[test]
fn an_index_that_decreases_or_is_zero_neither_loops_nor_blocks_forever() {
    let mut query = BlockingQuery::new(
        WatchedService { service: "x".into(), ..WatchedService::default() },
        QueryTiming::default(),
        1,
    );
    for (index, next_index) in [("7", 7), ("9", 9), ("3", 0), ("3", 3), ("0", 0), ("0", 1), ("12", 12)] {
        let headers = ResponseHeaders { status: 200, index: Some(index), ..ResponseHeaders::default() };
        if query.check_response(&headers).is_err() {
            // With one agent, a second lower index in a row is accepted.
            assert_eq!(query.check_response(&headers), Ok(()));
        }
        assert!(query.record_response(&headers) > 0.0, "a pause between queries");
        assert_eq!(query.index(), next_index, "{index}");
    }
}

/// A response without a leader, too old or without an index must not change the list, nor be asked for without a pause.
#[test]
fn refused_responses_keep_the_index_and_back_off() {
    let mut query = BlockingQuery::new(
        WatchedService { service: "x".into(), ..WatchedService::default() },
        QueryTiming::default(),
        1,
    );
    let valid = ResponseHeaders {
        status: 200,
        index: Some("7"),
        known_leader: Some("true"),
        last_contact: Some("20"),
    };
    query.record_response(&valid);
    for (headers, refused) in [
        (ResponseHeaders { status: 500, ..valid }, ResponseError::Status(500)),
        (ResponseHeaders { status: 500, known_leader: Some("false"), ..valid }, ResponseError::NoLeader),
        (ResponseHeaders { known_leader: Some("false"), ..valid }, ResponseError::NoLeader),
        (ResponseHeaders { last_contact: Some("60000"), ..valid }, ResponseError::Stale(60_000.0)),
        (ResponseHeaders { index: None, ..valid }, ResponseError::InvalidIndex),
        (ResponseHeaders { index: Some("-4"), ..valid }, ResponseError::InvalidIndex),
    ] {
        assert_eq!(query.check_response(&headers), Err(refused));
    }
    let backoffs: Vec<f64> = (0..20).map(|_| query.record_failure(1.0)).collect();
    assert!(
        backoffs.windows(2).all(|pair| pair[1] >= pair[0])
            && backoffs[0] == 250.0
            && backoffs[19] == 10_000.0,
        "{backoffs:?}"
    );
    assert_eq!(query.record_failure(0.0), 5000.0, "jitter halves the backoff");
    assert_eq!(query.index(), 7);
    query.record_response(&valid);
    assert_eq!(query.consecutive_failures(), 0);
}

/// An agent that is behind could list a draining executor as healthy.
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
