//! Numbers for the names of the settings that hold for a node's life, whatever files it reads: a project type with
//! its terms, a customer, a place, a kind of machine keeps its number, and no number serves another name.
use crate::naming::named_values;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, HashSet};
use troutknot::{Given, NamedValues};

/// So many project types, each with its terms, are kept in mind; also customers, places and kinds of machine.
pub const MOST: usize = 1024;

const TYPES: &str = "project_types";
const CUSTOMERS: &str = "customers";
const ATTEMPTS: &str = "limits.most_allocations";

#[derive(Clone)]
struct ProjectType {
    name: String,
    /// All that the settings say of it, by the name's last part.
    terms: BTreeMap<String, Given>,
}

/// What was ever in force.
#[derive(Clone, Default)]
pub struct Catalogue {
    types: Vec<ProjectType>,
    customers: Vec<String>,
    places: Vec<String>,
    kinds: Vec<String>,
    /// The settings in force, as they were written.
    in_force: Option<Value>,
}

/// Settings under numbers that hold.
#[derive(Clone, Debug)]
pub struct Adopted {
    pub values: NamedValues,
    /// Names by number, of all that were ever in force.
    pub project_types: Vec<String>,
    pub customers: Vec<String>,
    pub places: Vec<String>,
    pub kinds: Vec<String>,
    /// Numbers of those project types, and customers, that are in force.
    pub types_in_force: Vec<u32>,
    pub customers_in_force: Vec<u32>,
}

/// The names in a list of names, or of objects with names.
fn names(settings: &Map<String, Value>, key: &str) -> Result<Vec<String>, String> {
    let list = settings.get(key).and_then(Value::as_array).into_iter().flatten();
    let name = |v: &Value| v.as_str().or_else(|| v.get("name")?.as_str()).map(str::to_string);
    let names: Vec<String> = list
        .enumerate()
        .map(|(k, v)| name(v).ok_or(format!("setting `{key}`: entry {k} has no name")))
        .collect::<Result<_, _>>()?;
    let mut said = HashSet::new();
    match names.iter().find(|name| !said.insert(name.as_str())) {
        Some(twice) => Err(format!("setting `{key}`: `{twice}` stands there twice")),
        None => Ok(names),
    }
}

/// Adds the names that are new; the numbers of all of them.
fn numbers(known: &mut Vec<String>, names: &[String], key: &str) -> Result<Vec<u32>, String> {
    let mut numbers = Vec::with_capacity(names.len());
    for name in names {
        let at = known.iter().position(|k| k == name).unwrap_or_else(|| {
            known.push(name.clone());
            known.len() - 1
        });
        numbers.push(at as u32);
    }
    if known.len() > MOST {
        return Err(format!(
            "setting `{key}`: {} were named so far, at most {MOST} are kept in mind",
            known.len()
        ));
    }
    Ok(numbers)
}

/// The number and the rest of a name such as `customers.3.share_per_s`.
fn numbered<'a>(name: &'a str, list: &str) -> Option<(usize, &'a str)> {
    let (number, rest) = name.strip_prefix(list)?.strip_prefix('.')?.split_once('.')?;
    Some((number.parse().ok()?, rest))
}

/// A key that an object has here and not there, at any depth; lists may differ.
fn missing(here: &Value, there: &Value, path: &str) -> Option<String> {
    let at = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    here.as_object()?.iter().filter(|(_, value)| !value.is_null()).find_map(|(key, value)| {
        match there.get(key).filter(|other| !other.is_null()) {
            None => Some(at(key)),
            Some(other) => missing(value, other, &at(key)),
        }
    })
}

/// The keys that each entry of a list has.
fn common(list: Option<&Value>) -> Vec<&String> {
    let entries: Vec<&Map<String, Value>> =
        list.and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_object).collect();
    let Some(first) = entries.first() else { return Vec::new() };
    first.keys().filter(|key| entries.iter().all(|entry| entry.contains_key(*key))).collect()
}

fn positive(what: &str, given: Option<&Given>) -> Result<(), String> {
    match given {
        Some(Given::Number(n)) if n.is_finite() && *n > 0.0 => Ok(()),
        Some(_) => Err(format!("{what} is not a positive number")),
        None => Err(format!("{what} is missing")),
    }
}

impl Catalogue {
    /// Takes settings as one, or nothing of them.
    ///
    /// # Errors
    /// One plain line: which key, and what is allowed. Past the first time a key that the settings in force
    /// have must not be missing.
    pub fn adopt(&mut self, settings: &Map<String, Value>) -> Result<Adopted, String> {
        let mut next = self.clone();
        let adopted = next.take(settings)?;
        *self = next;
        Ok(adopted)
    }

    fn take(&mut self, settings: &Map<String, Value>) -> Result<Adopted, String> {
        let (said, whole) = (named_values(settings)?, Value::Object(settings.clone()));
        let type_names = names(settings, TYPES)?;
        if type_names.is_empty() {
            return Err(format!("setting `{TYPES}` names none; it is a list of at least one"));
        }
        if type_names.len() > MOST {
            return Err(format!(
                "setting `{TYPES}` names {}, at most {MOST} are kept in mind",
                type_names.len()
            ));
        }
        let customers_in_force = numbers(&mut self.customers, &names(settings, CUSTOMERS)?, CUSTOMERS)?;
        numbers(&mut self.places, &names(settings, "failure_domains")?, "failure_domains")?;
        let kinds = numbers(&mut self.kinds, &names(settings, "kinds")?, "kinds")?;
        let places = names(settings, "failure_domains")?;

        let (mut general, mut customers) = (NamedValues::default(), NamedValues::default());
        let mut terms: Vec<BTreeMap<String, Given>> = vec![BTreeMap::new(); type_names.len()];
        for (name, given) in said.iter() {
            if let Some((k, term)) = numbered(name, TYPES) {
                // What stands beside the list of project types may name more of them.
                let Some(terms) = terms.get_mut(k) else { continue };
                let given = match (term, given) {
                    ("only_kind", Given::Number(kind)) if *kind >= 0.0 => {
                        let kind = kinds.get(*kind as usize).ok_or_else(|| {
                            format!("project type `{}`: there is no kind {kind}", type_names[k])
                        })?;
                        Given::Number(*kind as f64)
                    }
                    _ => given.clone(),
                };
                terms.insert(term.to_string(), given);
            } else if let Some((k, rest)) = numbered(name, CUSTOMERS) {
                if let Some(number) = customers_in_force.get(k) {
                    customers.insert(format!("{CUSTOMERS}.{number}.{rest}"), given.clone());
                }
            } else {
                general.insert(name, given.clone());
            }
        }
        let attempts = general.get(ATTEMPTS);
        if attempts.is_some() {
            positive("setting `limits.max_allocations`", attempts)?;
            attempts.iter().for_each(|n| {
                terms.iter_mut().for_each(|t| _ = t.insert("most_allocations".into(), (*n).clone()))
            });
        }
        if general.flag("limits.second_copies")
            && !matches!(attempts, Some(Given::Number(most)) if *most >= 2.0)
        {
            return Err(
                "setting `limits.second_copies`: true needs `limits.max_allocations` of 2 or more".into()
            );
        }
        let sizes = general.text("list_sizes");
        if !["", "silent", "none", "nominal", "rough", "falling"].contains(&sizes) {
            return Err(format!(
                "setting `weight_source`: `{sizes}`; silent, none, nominal, rough and live are allowed"
            ));
        }
        if let (Some(Given::Number(me)), Some(Given::Number(nodes))) =
            (general.get("node"), general.get("nodes"))
            && general.flag("limits.peers")
            && me >= nodes
        {
            return Err(format!("setting `me`: {me} is not under `balancers`, which is {nodes}"));
        }
        for (terms, name) in terms.iter().zip(&type_names) {
            for positive_one in ["hard_limit", "promised_turnaround"] {
                let given = terms.get(positive_one);
                if positive_one == "hard_limit" || given.is_some() {
                    positive(&format!("project type `{name}`: `{positive_one}`"), given)?;
                }
            }
            if let Some(Given::Number(limit)) = terms.get("hard_limit")
                && !(1.0..1e9).contains(limit)
            {
                return Err(format!("project type `{name}`: `hard_limit` is from 1 ms to 1e9 ms"));
            }
        }
        if let Some(before) = &self.in_force {
            if let Some(key) = missing(before, &whole, "") {
                return Err(format!("setting `{key}` is missing"));
            }
            let entries = settings.get(TYPES).and_then(Value::as_array).into_iter().flatten();
            for (entry, name) in entries.zip(&type_names) {
                let keys = common(before.get(TYPES));
                let lacks = |key: &&String| entry.get(key.as_str()).is_none_or(Value::is_null);
                if let Some(key) = keys.into_iter().find(lacks) {
                    return Err(format!("project type `{name}`: `{key}` is missing"));
                }
            }
        }
        self.in_force = Some(whole);

        let mut types_in_force = Vec::with_capacity(terms.len());
        for (name, terms) in type_names.into_iter().zip(terms) {
            let same = |t: &ProjectType| t.name == name && t.terms == terms;
            let number = self.types.iter().position(same).unwrap_or_else(|| {
                self.types.push(ProjectType { name, terms });
                self.types.len() - 1
            });
            types_in_force.push(number as u32);
        }
        if self.types.len() > MOST {
            return Err(format!(
                "with its terms this is project type {}, {MOST} are kept in mind",
                self.types.len()
            ));
        }

        // The node's own place, as its number now; what else there is goes by names.
        if let Some(Given::Number(place)) = general.get("place").cloned() {
            let place =
                places.get(place as usize).and_then(|name| self.places.iter().position(|p| p == name));
            place.iter().for_each(|place| general.insert("place", Given::Number(*place as f64)));
        }
        let mut values = general;
        for (name, given) in customers.iter() {
            values.insert(name, given.clone());
        }
        let share = |k: usize| format!("{CUSTOMERS}.{k}.share_per_s");
        if customers.iter().next().is_some() {
            // Who is no longer named has no share; the shares are read in a row.
            for k in (0..self.customers.len()).filter(|k| !customers.holds(&share(*k))) {
                values.insert(share(k), Given::Number(0.0));
            }
        }
        for (number, kind) in self.types.iter().enumerate() {
            for (term, given) in &kind.terms {
                values.insert(format!("{TYPES}.{number}.{term}"), given.clone());
            }
            // The last one of the same name, whose running times stand in for its own.
            let like = self.types[..number].iter().rposition(|other| other.name == kind.name);
            if let Some(like) = like {
                values.insert(format!("{TYPES}.{number}.like"), Given::Number(like as f64));
            }
        }
        Ok(Adopted {
            values,
            project_types: self.types.iter().map(|kind| kind.name.clone()).collect(),
            customers: self.customers.clone(),
            places: self.places.clone(),
            kinds: self.kinds.clone(),
            types_in_force,
            customers_in_force,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

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
        let mut catalogue = Catalogue::default();
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
            let adopted = catalogue.adopt(map(&settings(&types, attempts.into()))).unwrap();
            assert_eq!(
                (&adopted.types_in_force, adopted.project_types.join(" ").as_str()),
                (&in_force, names)
            );
        }
        let adopted = catalogue.adopt(map(&settings(&[("b", "safe", 5000)], 2.into()))).unwrap();
        assert_eq!(adopted.values.number("project_types.0.most_allocations", 0.0), 3.0, "old terms stay");
        assert_eq!(adopted.values.number("project_types.6.like", -1.0), 5.0);
        assert_eq!(adopted.values.text("project_types.3.effect"), "exclusive");
    }

    #[test]
    fn places_kinds_and_customers_keep_their_numbers_when_a_file_lists_them_otherwise() {
        let mut catalogue = Catalogue::default();
        let mut file = settings(&[("a", "safe", 5000)], 3.into());
        file["family_info"] = json!({"class_kind": [1]});
        assert_eq!(catalogue.adopt(map(&file)).unwrap().values.number("place", 9.0), 1.0);
        file["failure_domains"] = json!(["z", "x"]);
        file["zone"] = json!(0);
        file["kinds"] = json!(["l"]);
        file["family_info"] = json!({"class_kind": [0]});
        file["customers"] = json!([{"name": "d", "quota_per_s": 7}]);
        let adopted = catalogue.adopt(map(&file)).unwrap();
        assert_eq!(adopted.values.number("place", 9.0), 1.0, "{:?}", adopted.places);
        assert_eq!((adopted.places.join(""), adopted.kinds.join("")), ("yzx".into(), "kl".into()));
        assert_eq!(
            (adopted.types_in_force, adopted.customers_in_force),
            (vec![0], vec![1]),
            "the same terms"
        );
        let share = |k: usize| adopted.values.number(&format!("customers.{k}.share_per_s"), 9.0);
        assert_eq!((share(0), share(1), share(2)), (0.0, 7.0, 9.0));
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
            let mut catalogue = Catalogue::default();
            catalogue.adopt(map(&good)).unwrap();
            let why = catalogue.adopt(map(&file)).map(|_| ()).expect_err(what);
            assert!(why.contains(part), "{what}: {why}");
            let adopted = catalogue.adopt(map(&good)).unwrap();
            assert_eq!(adopted.types_in_force, [0, 1], "{what}: what was in force stays");
            assert_eq!(adopted.customers, ["c"]);
        }
        let mut more = good.clone();
        more["family_info"] = json!({"class_kind": [-1, -1, 9]});
        assert!(Catalogue::default().adopt(map(&more)).is_ok(), "of a third that is not there");
        let mut catalogue = Catalogue::default();
        let many = |n: usize| settings(&[("a", "safe", 5000 + n as i64)], 3.into());
        (0..MOST).for_each(|n| _ = catalogue.adopt(map(&many(n))).unwrap());
        assert!(catalogue.adopt(map(&many(MOST))).is_err(), "no more are kept in mind");
        assert!(catalogue.adopt(map(&many(7))).is_ok());
    }
}
