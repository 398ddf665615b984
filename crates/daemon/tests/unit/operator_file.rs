//! Validation of an operator's file: all faults are listed, each with its key and the allowed values.
use super::*;

#[test]
fn all_faults_are_listed_with_key_and_allowed_values() {
    let text = r#"
        [lists]
        sources = ["consul", "consul"]
        [lists.consul]
        agents = []
        services = [{ name = "" }]
        wait = "1ms"
        longest_retry = "11m"
        oldest_view = "2days"
        panic = { share = 1.5, span = "1ms" }
        damping = { half_life = "1ms", cutoff = 1.0, reuse = 2.0 }
        [durable]
        path = ""
        key_header = "a b"
        kept = "8days"
        slow_after = "1ms"
        most = 0
        lease = "2h"
        [peers]
        listen = "127.0.0.1:0"
        nodes = []
    "#;
    let file: OperatorFile = toml::from_str(text).unwrap();
    let errors: Vec<String> = file.validation_errors().iter().map(ValidationError::to_string).collect();
    let expected = [
        "`lists.sources` names one source twice",
        "`lists.consul.agents` must name 1 to 16 addresses",
        "`lists.consul.services` has a service with an empty name",
        "`lists.consul.wait` must be 100ms to 10m",
        "`lists.consul.longest_retry` must be 250ms to 10m",
        "`lists.consul.oldest_view` must be 100ms to 1day",
        "`lists.consul.panic.share` must be 0 to 1",
        "`lists.consul.panic.span` must be 100ms to 1day",
        "`lists.consul.damping.half_life` must be 100ms to 1day",
        "`lists.consul.damping` needs 0 < `reuse` <= `cutoff` <= 100",
        "`peers.nodes` must name 1 to 1000 addresses",
        "`peers.listen` must name a port, as the others send there",
        "`durable.path` is empty",
        "`durable.key_header` must be a header's name of 1 to 64 bytes",
        "`durable.kept` must be 100ms to 7days",
        "`durable.slow_after` must be 10ms to 1m",
        "`durable.most` must be 1 to 1000000",
        "`durable.lease` must be 100ms to 1h",
    ];
    assert_eq!(errors, expected);
}

#[test]
fn sources_without_their_sections_are_faults() {
    for (text, expected) in [
        ("sources = []", "`lists.sources` is empty; \"platform\" and \"consul\" are allowed"),
        ("sources = [\"consul\"]", "`lists.sources` names consul, and there is no [lists.consul]"),
    ] {
        let file: OperatorFile = toml::from_str(&format!("[lists]\n{text}\n")).unwrap();
        let errors: Vec<String> = file.validation_errors().iter().map(ValidationError::to_string).collect();
        assert_eq!(errors, [expected], "{text}");
    }
}

#[test]
fn an_empty_file_has_the_defaults_and_no_faults() {
    let file: OperatorFile = toml::from_str("").unwrap();
    assert_eq!(file, OperatorFile::default());
    assert_eq!(file.discovery.sources, [DiscoverySource::Platform]);
    assert_eq!(file.validation_errors(), []);
}
