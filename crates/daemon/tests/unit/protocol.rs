//! What lines and heads say, and words for the other tests.
use super::*;

impl Codec {
    /// With one project type, `render`, and its settings.
    pub fn of_one_type(hard_limit_us: u64) -> (Settings, Rc<Current<Codec>>) {
        Self::told(serde_json::json!({"name": "render", "hard_limit": hard_limit_us}))
    }

    /// With one that has this effect.
    pub fn of_effect(effect: &str) -> Rc<Current<Codec>> {
        Self::told(serde_json::json!({"name": "render", "hard_limit": 5_000_000, "effect": effect})).1
    }

    fn told(project_type: Value) -> (Settings, Rc<Current<Codec>>) {
        let settings = serde_json::json!({"project_types": [project_type]});
        let settings = settings.as_object().unwrap();
        let resolved = troutknot_configuration::IdCatalog::default().resolve(settings).unwrap();
        (resolved.settings.clone(), Current::new(Codec::of(settings, resolved)))
    }
}

impl EndpointEntry {
    pub fn of(id: &str, addr: &str, state: &str) -> Self {
        let (id, addr, state) = (id.into(), addr.into(), state.into());
        EndpointEntry { id, addr, zone: None, kind: None, cell: None, state, weight: None, started_ms: None }
    }
}

#[test]
fn lines_of_executors_and_what_they_prove() {
    let of = |text: &str| line(text.as_bytes(), "a1");
    for (text, expected) in [
        (r#"{"id":"a1","from":"s","state":"started"}"#, Some(AttemptEvent::Started)),
        (r#"{"id":"a1","state":"running","share":0.4}"#, Some(AttemptEvent::Progress(0.4))),
        (r#"{"id":"a1","state":"done","result":"x\n"}"#, Some(AttemptEvent::Result("x\n".into()))),
        (r#"{"state":"done","result":"x"}"#, None),
        (r#"{"state":"started"}"#, None),
        (r#"{"id":"a1","state":"done","result":{"n": 1}}"#, Some(AttemptEvent::Result("{\"n\": 1}".into()))),
        (r#"{"id":"a1","state":"done"}"#, None),
        (r#"{"id":"b2","state":"done","result":"x"}"#, None),
        (r#"{"id":"a1","state":"failed","load":{"queue":1}}"#, Some(AttemptEvent::Ended(Outcome::Error))),
        (r#"{"id":"a1","state":"returned"}"#, Some(AttemptEvent::Ended(Outcome::Rejected))),
        (r#"{"id":"a1","state":"lost"}"#, Some(AttemptEvent::Ended(Outcome::Reset))),
        (r#"{"id":"a1","state":"paused"}"#, None),
        ("done", None),
    ] {
        assert_eq!(of(text).ok(), expected, "{text}");
    }
    let mut text = BytesMut::from("\n a\r\n\nb\nc");
    let mut next = |ended| next_line(&mut text, ended).map(|l| l.trim_ascii().to_vec());
    assert_eq!([next(false), next(false), next(false)], [Some(b"a".into()), Some(b"b".into()), None]);
    assert_eq!([next(true), next(true)], [Some(b"c".into()), None]);
}

#[test]
fn heads_of_executors_and_what_they_prove() {
    for (status, fields, expected) in [
        (200, "", None),
        (503, "Not-Started: 1\r\n", Some(Outcome::Rejected)),
        (504, "not-started: 1\r\n", Some(Outcome::Rejected)),
        (503, "", Some(Outcome::Error)),
        (503, "Not-Started: 0\r\n", Some(Outcome::Error)),
        (500, "Not-Started: 1\r\n", Some(Outcome::Error)),
        (302, "", Some(Outcome::Error)),
    ] {
        let text = format!("HTTP/1.1 {status} x\r\n{fields}Content-Length: 0\r\n\r\n");
        let (head, _) = http1::answer_head(text.as_bytes()).unwrap().unwrap();
        assert_eq!(taken(&head), expected, "{text}");
    }
}
