//! Ids remain stable when settings change, and invalid settings have no effect.
use serde_json::{Map, Value, json};
use troutknot::{Effect, RequestClassId};
use troutknot_configuration::{IdCatalog, MAX_NAMES};

fn settings(classes: &[(&str, &str, i64)], max_attempts: Value) -> Value {
    let class = |(name, effect, limit): &(&str, &str, i64)| json!({"name": name, "effect": effect, "hard_limit": limit});
    json!({"project_types": classes.iter().map(class).collect::<Vec<_>>(), "kinds": ["k", "l"],
        "customers": [{"name": "c", "quota_per_s": 2}], "failure_domains": ["y", "z"], "zone": 1,
        "limits": {"max_allocations": max_attempts}, "contract": {"drain_grace": 1000}})
}

fn map(value: &Value) -> &Map<String, Value> {
    value.as_object().expect("an object")
}

/// An id that changes or is assigned twice would make open requests use the terms of another class.
#[test]
fn a_class_keeps_its_id_while_its_terms_are_the_same() {
    let mut catalog = IdCatalog::default();
    for (classes, max_attempts, current, names) in [
        (vec![("a", "safe", 5), ("b", "safe", 5)], 3, vec![0, 1], "a b"),
        // One class is removed and one is added.
        (vec![("b", "safe", 5), ("c", "safe", 5)], 3, vec![1, 2], "a b c"),
        // A stricter effect, then the earlier one again.
        (vec![("b", "unsafe", 5)], 3, vec![3], "a b c b"),
        (vec![("b", "safe", 5)], 3, vec![1], "a b c b"),
        // Fewer attempts for all classes.
        (vec![("b", "safe", 5), ("a", "safe", 5)], 2, vec![4, 5], "a b c b b a"),
        (vec![("a", "safe", 5000), ("b", "safe", 5)], 2, vec![6, 4], "a b c b b a a"),
    ] {
        let classes: Vec<_> =
            classes.into_iter().map(|(name, effect, limit)| (name, effect, limit * 1000)).collect();
        let resolved = catalog.resolve(map(&settings(&classes, max_attempts.into()))).unwrap();
        assert_eq!((&resolved.current_classes, resolved.classes.join(" ").as_str()), (&current, names));
    }
    let resolved = catalog.resolve(map(&settings(&[("b", "safe", 5000)], 2.into()))).unwrap();
    assert_eq!(resolved.settings.classes[0].max_attempts, Some(3.0), "an earlier class keeps its terms");
    assert_eq!(resolved.settings.classes[6].inherits_from, Some(RequestClassId(5)));
    assert_eq!(resolved.settings.classes[3].effect, Effect::AtMostOnce);
}

/// Settings that list names in another order must not exchange ids, or quotas would apply to the wrong tenant.
#[test]
fn zones_machine_types_and_tenants_keep_their_ids_when_the_order_changes() {
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

/// Invalid settings must not be applied in part, and the error must contain the key.
#[test]
fn invalid_settings_are_rejected_and_the_current_ones_stay_in_effect() {
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
    for (case, file, expected) in [
        ("empty", json!({}), "`project_types` names none"),
        (
            "unknown machine type",
            {
                let mut file = good.clone();
                file["family_info"] = json!({"class_kind": [-1, 9]});
                file
            },
            "`b`: `kinds` has no entry 9",
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
        ("twice", with("/project_types/1/name", json!("a")), "`a` occurs twice"),
        ("no customers", without("", "customers"), "`customers` is missing"),
        ("not finite", with(limit, json!(1e300)), "from 1 ms to"),
    ] {
        let mut catalog = IdCatalog::default();
        catalog.resolve(map(&good)).unwrap();
        let error = catalog.resolve(map(&file)).map(|_| ()).expect_err(case).to_string();
        assert!(error.contains(expected), "{case}: {error}");
        let resolved = catalog.resolve(map(&good)).unwrap();
        assert_eq!(resolved.current_classes, [0, 1], "{case}: the earlier settings stay in effect");
        assert_eq!(resolved.tenants, ["c"]);
    }
    let mut more = good.clone();
    more["family_info"] = json!({"class_kind": [-1, -1, 9]});
    assert!(
        IdCatalog::default().resolve(map(&more)).is_ok(),
        "a machine type for a third class, which does not exist"
    );
    let mut catalog = IdCatalog::default();
    let with_terms = |number: usize| settings(&[("a", "safe", 5000 + number as i64)], 3.into());
    (0..MAX_NAMES).for_each(|number| _ = catalog.resolve(map(&with_terms(number))).unwrap());
    assert!(catalog.resolve(map(&with_terms(MAX_NAMES))).is_err(), "the catalog is full");
    assert!(catalog.resolve(map(&with_terms(7))).is_ok(), "terms that have an id");
}

/// An operator should not have to correct settings one error at a time.
#[test]
fn all_errors_in_settings_are_listed_in_one_line() {
    let mut file = settings(&[("a", "safe", 5000), ("b", "unsafe", 0)], json!(0));
    file["weight_source"] = json!("loud");
    let errors = IdCatalog::default().resolve(map(&file)).expect_err("three errors");
    assert_eq!(
        errors.to_string(),
        "setting `limits.max_allocations` is not a positive number; \
         setting `weight_source`: `loud`; silent, none, nominal, rough and live are allowed; \
         project type `b`: `hard_limit` is not a positive number"
    );
}

/// A key with the value `null` counts as missing, and a tenant may be a plain name.
#[test]
fn nulls_have_the_default_value_and_plain_names_are_accepted() {
    let mut file = settings(&[("a", "safe", 5000)], json!(3));
    file["customers"] = json!(["c", {"name": "d", "quota_per_s": 7}]);
    file["contract"]["fall_multiple"] = json!(null);
    file["limits"]["conn_idle"] = json!(null);
    let resolved = IdCatalog::default().resolve(map(&file)).expect("the settings are valid");
    assert_eq!(resolved.settings.quotas().collect::<Vec<_>>(), [0.0, 7.0]);
    assert_eq!(resolved.settings.rules.budget_multiple, 1.0);
    assert_eq!(resolved.settings.limits.idle_timeout, None);
    file["contract"] = json!(5);
    let error = IdCatalog::default().resolve(map(&file)).expect_err("not an object").to_string();
    assert_eq!(error, "setting `contract`: 5 is of the wrong type");
}
