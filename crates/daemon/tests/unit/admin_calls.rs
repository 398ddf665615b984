//! The calls of operators, by path and method.
use super::*;

#[test]
fn calls_are_known_by_path_and_method() {
    let out = |executor: &str, out| Ok(Call::Out { executor: executor.into(), out });
    for (method, target, expected) in [
        ("GET", "/v1/readyz", Ok(Call::IsReady)),
        ("GET", "/v1/readyz?verbose=1", Ok(Call::IsReady)),
        ("HEAD", "/v1/readyz", Err(UnknownCall::WrongMethod("GET"))),
        ("PUT", "/v1/executors/s-1/suspend", out("s-1", true)),
        ("PUT", "/v1/executors/s%2F1/resume", out("s/1", false)),
        ("GET", "/v1/executors", Ok(Call::Executors)),
        ("PUT", "/v1/executors", Err(UnknownCall::WrongMethod("GET"))),
        ("PUT", "/v1/executors//suspend", Err(UnknownCall::OddPath)),
        ("PUT", "/v1/executors/%ff/suspend", Err(UnknownCall::OddPath)),
        ("POST", "/v1/executors/s-1/suspend", Err(UnknownCall::WrongMethod("PUT"))),
        ("PUT", "/v1/executors/s-1", Err(UnknownCall::UnknownPath)),
        ("PUT", "/v1/executors/s-1/suspend/", Err(UnknownCall::UnknownPath)),
        ("PUT", "/v1/node/drain", Ok(Call::Drain(true))),
        ("PUT", "/v1/node/activate", Ok(Call::Drain(false))),
        ("GET", "/v1/node/activate", Err(UnknownCall::WrongMethod("PUT"))),
        ("GET", "/", Err(UnknownCall::UnknownPath)),
        ("GET", "*", Err(UnknownCall::UnknownPath)),
    ] {
        assert_eq!(call(method, target), expected, "{method} {target}");
    }
}
