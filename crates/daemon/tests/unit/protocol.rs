//! Parsing of executors' events and response heads; also constructors that tests of other modules use.
use super::*;
use crate::http1;
use bytes::BytesMut;
use serde_json::Value;
use std::rc::Rc;
use troutknot::{Outcome, Settings};

impl Codec {
    /// The settings and the codec of one class, `render`, with a deadline in microseconds.
    pub fn with_deadline_us(deadline_us: u64) -> (Settings, Rc<Current<Codec>>) {
        Self::with_class(serde_json::json!({"name": "render", "hard_limit": deadline_us}))
    }

    /// A codec of one class, `render`, with this effect.
    pub fn with_effect(effect: &str) -> Rc<Current<Codec>> {
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
    /// An entry with these fields and no others.
    pub fn new(id: &str, address: &str, state: &str) -> Self {
        EndpointEntry { address: address.into(), state: state.into(), ..EndpointEntry::gone(id) }
    }
}

#[test]
fn events_are_parsed_and_those_that_are_malformed_or_of_another_request_are_errors() {
    let parse = |text: &str| parse_attempt_event(text.as_bytes(), "a1");
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
        assert_eq!(parse(text).ok(), expected, "{text}");
    }
    let mut text = BytesMut::from("\n a\r\n\nb\nc");
    let mut next = |is_complete| next_line(&mut text, is_complete).map(|line| line.trim_ascii().to_vec());
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

/// A status that names another request must not be taken for that of the queried one; executors need not name any.
#[test]
fn the_status_of_an_attempt_is_refused_if_it_names_another_request() {
    let (head, _) =
        http1::parse_response_head(b"HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n").unwrap().unwrap();
    let parse = |body: &str| parse_attempt_status(&head, body.as_bytes(), "a1");
    for (body, expected) in [
        (r#"{"state":"never"}"#, Some(AttemptStatus::NeverRan)),
        (r#"{"id":"a1","state":"never"}"#, Some(AttemptStatus::NeverRan)),
        (r#"{"id":"a2","state":"never"}"#, None),
        (r#"{"state":"done","result":"r"}"#, Some(AttemptStatus::Completed("r".into()))),
        (r#"{"id":"a2","from":"s-1","state":"done","result":"r"}"#, None),
        (r#"{"id":2,"state":"done","result":"r"}"#, None),
        (r#"{"state":"done"}"#, None),
        (r#"{"state":"lost"}"#, Some(AttemptStatus::Unknown)),
        ("queue=0,x0=9", None),
    ] {
        assert_eq!(parse(body), expected, "{body}");
    }
}
