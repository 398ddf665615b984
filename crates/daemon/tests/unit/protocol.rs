//! Events and response heads of executors, and codecs for the tests of other modules.
use super::*;
use crate::http1;
use bytes::BytesMut;
use serde_json::Value;
use std::rc::Rc;
use troutknot::{Outcome, Settings};

impl Codec {
    /// A codec of one class, `render`, and its settings.
    pub fn of_one_type(hard_limit_us: u64) -> (Settings, Rc<Current<Codec>>) {
        Self::with_class(serde_json::json!({"name": "render", "hard_limit": hard_limit_us}))
    }

    /// A codec of one class, `render`, with this effect.
    pub fn of_effect(effect: &str) -> Rc<Current<Codec>> {
        Self::with_class(serde_json::json!({"name": "render", "hard_limit": 5_000_000, "effect": effect})).1
    }

    fn with_class(class: Value) -> (Settings, Rc<Current<Codec>>) {
        let settings = serde_json::json!({"project_types": [class]});
        let settings = settings.as_object().unwrap();
        let resolved = troutknot_configuration::IdCatalog::default().resolve(settings).unwrap();
        (resolved.settings.clone(), Current::new(Codec::new(settings, resolved)))
    }
}

impl EndpointEntry {
    pub fn of(id: &str, address: &str, state: &str) -> Self {
        EndpointEntry { address: address.into(), state: state.into(), ..EndpointEntry::gone(id) }
    }
}

#[test]
fn lines_of_executors_are_parsed_as_events() {
    let of = |text: &str| parse_attempt_event(text.as_bytes(), "a1");
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
fn response_heads_of_executors_decide_outcomes() {
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
        let (head, _) = http1::parse_response_head(text.as_bytes()).unwrap().unwrap();
        assert_eq!(outcome_of_head(&head), expected, "{text}");
    }
}
