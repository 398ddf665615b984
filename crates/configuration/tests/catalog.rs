//! Ids that hold over new settings, and files of which nothing is taken.
use serde_json::{Map, Value, json};
use troutknot::{Effect, RequestClassId};
use troutknot_configuration::{IdCatalog, MAX_NAMES};

fn settings(types: &[(&str, &str, i64)], attempts: Value) -> Value {
    let of = |(name, effect, limit): &(&str, &str, i64)| json!({"name": name, "effect": effect, "hard_limit": limit});
    json!({"project_types": types.iter().map(of).collect::<Vec<_>>(), "kinds": ["k", "l"],
        "customers": [{"name": "c", "quota_per_s": 2}], "failure_domains": ["y", "z"], "zone": 1,
        "limits": {"max_allocations": attempts}, "contract": {"drain_grace": 1000}})
}

fn map(value: &Value) -> &Map<String, Value> {
    value.as_object().expect("an object")
}

#[test]
fn numbers_hold_for_a_name_with_its_terms_and_serve_no_other() {
    let mut catalog = IdCatalog::default();
    for (types, attempts, in_force, names) in [
        (vec![("a", "safe", 5), ("b", "safe", 5)], 3, vec![0, 1], "a b"),
        // One vanishes and one appears.
        (vec![("b", "safe", 5), ("c", "safe", 5)], 3, vec![1, 2], "a b c"),
        // A stricter effect, and back.
        (vec![("b", "unsafe", 5)], 3, vec![3], "a b c b"),
        (vec![("b", "safe", 5)], 3, vec![1], "a b c b"),
        // Fewer attempts, for all.
        (vec![("b", "safe", 5), ("a", "safe", 5)], 2, vec![4, 5], "a b c b b a"),
        (vec![("a", "safe", 5000), ("b", "safe", 5)], 2, vec![6, 4], "a b c b b a a"),
    ] {
        let types: Vec<_> = types.into_iter().map(|(n, e, l)| (n, e, l * 1000)).collect();
        let resolved = catalog.resolve(map(&settings(&types, attempts.into()))).unwrap();
        assert_eq!((&resolved.current_classes, resolved.classes.join(" ").as_str()), (&in_force, names));
    }
    let resolved = catalog.resolve(map(&settings(&[("b", "safe", 5000)], 2.into()))).unwrap();
    assert_eq!(resolved.settings.classes[0].max_attempts, Some(3.0), "old terms stay");
    assert_eq!(resolved.settings.classes[6].inherits_from, Some(RequestClassId(5)));
    assert_eq!(resolved.settings.classes[3].effect, Effect::AtMostOnce);
}

#[test]
fn places_kinds_and_customers_keep_their_numbers_when_a_file_lists_them_otherwise() {
    let mut catalog = IdCatalog::default();
    let mut file = settings(&[("a", "safe", 5000)], 3.into());
    file["family_info"] = json!({"class_kind": [1]});
    assert_eq!(catalog.resolve(map(&file)).unwrap().settings.zone, Some(1.0));
    file["failure_domains"] = json!(["z", "x"]);
    file["zone"] = json!(0);
    file["kinds"] = json!(["l"]);
    file["family_info"] = json!({"class_kind": [0]});
    file["customers"] = json!([{"name": "d", "quota_per_s": 7}]);
    let resolved = catalog.resolve(map(&file)).unwrap();
    assert_eq!(resolved.settings.zone, Some(1.0), "{:?}", resolved.zones);
    assert_eq!((resolved.zones.join(""), resolved.machine_types.join("")), ("yzx".into(), "kl".into()));
    assert_eq!((resolved.current_classes, resolved.current_tenants), (vec![0], vec![1]), "the same terms");
    let quotas: Vec<f64> = resolved.settings.quotas().collect();
    assert_eq!(quotas, [0.0, 7.0]);
}

#[test]
fn of_a_broken_file_nothing_is_taken() {
    let good = settings(&[("a", "safe", 5000), ("b", "unsafe", 5000)], 3.into());
    let with = |at: &str, value: Value| {
        let mut file = good.clone();
        *file.pointer_mut(at).unwrap() = value;
        file
    };
    let without = |at: &str, key: &str| {
        let mut file = good.clone();
        file.pointer_mut(at).and_then(Value::as_object_mut).unwrap().remove(key);
        file
    };
    let limit = "/project_types/1/hard_limit";
    for (what, file, part) in [
        ("empty", json!({}), "`project_types` names none"),
        (
            "no such kind",
            {
                let mut f = good.clone();
                f["family_info"] = json!({"class_kind": [-1, 9]});
                f
            },
            "`b`: there is no kind 9",
        ),
        ("no project types", with("/project_types", json!([])), "names none"),
        ("no limit", without("/project_types/1", "hard_limit"), "`b`: `hard_limit` is missing"),
        ("no effect", without("/project_types/1", "effect"), "`b`: `effect` is missing"),
        ("no name", without("/project_types/1", "name"), "entry 1 has no name"),
        ("limit 0", with(limit, json!(0)), "`b`: `hard_limit` is not a positive number"),
        ("limit below 0", with(limit, json!(-5)), "`b`: `hard_limit` is not a positive number"),
        ("limit of the wrong type", with(limit, json!("5")), "`project_types.*.hard_limit`"),
        ("limit too long", with(limit, json!(1e15)), "from 1 ms to"),
        ("null", with(limit, json!(null)), "`hard_limit` is missing"),
        (
            "attempts 0",
            with("/limits/max_allocations", json!(0)),
            "`limits.max_allocations` is not a positive",
        ),
        ("attempts of the wrong type", with("/limits/max_allocations", json!([])), "max_allocations"),
        ("no attempts", without("/limits", "max_allocations"), "`limits.max_allocations` is missing"),
        ("no limits", without("", "limits"), "`limits` is missing"),
        ("no grace", without("/contract", "drain_grace"), "`contract.drain_grace` is missing"),
        ("twice", with("/project_types/1/name", json!("a")), "`a` stands there twice"),
        ("no customers", without("", "customers"), "`customers` is missing"),
        ("not finite", with(limit, json!(1e300)), "from 1 ms to"),
    ] {
        let mut catalog = IdCatalog::default();
        catalog.resolve(map(&good)).unwrap();
        let why = catalog.resolve(map(&file)).map(|_| ()).expect_err(what).to_string();
        assert!(why.contains(part), "{what}: {why}");
        let resolved = catalog.resolve(map(&good)).unwrap();
        assert_eq!(resolved.current_classes, [0, 1], "{what}: what was in force stays");
        assert_eq!(resolved.tenants, ["c"]);
    }
    let mut more = good.clone();
    more["family_info"] = json!({"class_kind": [-1, -1, 9]});
    assert!(IdCatalog::default().resolve(map(&more)).is_ok(), "of a third that is not there");
    let mut catalog = IdCatalog::default();
    let many = |n: usize| settings(&[("a", "safe", 5000 + n as i64)], 3.into());
    (0..MAX_NAMES).for_each(|n| _ = catalog.resolve(map(&many(n))).unwrap());
    assert!(catalog.resolve(map(&many(MAX_NAMES))).is_err(), "no more are kept in mind");
    assert!(catalog.resolve(map(&many(7))).is_ok());
}

#[test]
fn all_faults_of_a_file_are_listed_in_one_line() {
    let mut file = settings(&[("a", "safe", 5000), ("b", "unsafe", 0)], json!(0));
    file["weight_source"] = json!("loud");
    let errors = IdCatalog::default().resolve(map(&file)).expect_err("three faults");
    assert_eq!(
        errors.to_string(),
        "setting `limits.max_allocations` is not a positive number; \
         setting `weight_source`: `loud`; silent, none, nominal, rough and live are allowed; \
         project type `b`: `hard_limit` is not a positive number"
    );
}

/// Keys that a file gives as `null` stand for nothing, and a tenant may be a name alone.
#[test]
fn nulls_and_names_alone_are_read() {
    let mut file = settings(&[("a", "safe", 5000)], json!(3));
    file["customers"] = json!(["c", {"name": "d", "quota_per_s": 7}]);
    file["contract"]["fall_multiple"] = json!(null);
    file["limits"]["conn_idle"] = json!(null);
    let resolved = IdCatalog::default().resolve(map(&file)).expect("it can be used");
    assert_eq!(resolved.settings.quotas().collect::<Vec<_>>(), [0.0, 7.0]);
    assert_eq!(resolved.settings.rules.budget_multiple, 1.0);
    assert_eq!(resolved.settings.limits.idle_timeout, None);
    file["contract"] = json!(5);
    let error = IdCatalog::default().resolve(map(&file)).expect_err("no object").to_string();
    assert_eq!(error, "setting `contract`: 5 is of the wrong type");
}
