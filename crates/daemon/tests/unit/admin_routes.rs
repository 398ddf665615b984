//! Routing of admin calls by path and method.
use super::*;

#[test]
fn admin_calls_are_routed_by_path_and_method() {
    use AdminCall::{Drain, Readiness, Statistics};
    use RouteError::{InvalidExecutorName, UnknownPath};
    let excluded =
        |executor: &str, is_excluded| Ok(AdminCall::SetExcluded { executor: executor.into(), is_excluded });
    let method_not_allowed = |allowed| Err(RouteError::MethodNotAllowed { allowed });
    for (method, target, expected) in [
        ("GET", "/v1/readyz", Ok(Readiness)),
        ("GET", "/v1/readyz?verbose=1", Ok(Readiness)),
        ("HEAD", "/v1/readyz", method_not_allowed("GET")),
        ("PUT", "/v1/executors/s-1/suspend", excluded("s-1", true)),
        ("PUT", "/v1/executors/s%2F1/resume", excluded("s/1", false)),
        ("GET", "/v1/executors", Ok(Statistics)),
        ("PUT", "/v1/executors", method_not_allowed("GET")),
        ("PUT", "/v1/executors//suspend", Err(InvalidExecutorName)),
        ("PUT", "/v1/executors/%ff/suspend", Err(InvalidExecutorName)),
        ("POST", "/v1/executors/s-1/suspend", method_not_allowed("PUT")),
        ("PUT", "/v1/executors/s-1", Err(UnknownPath)),
        ("PUT", "/v1/executors/s-1/suspend/", Err(UnknownPath)),
        ("PUT", "/v1/node/drain", Ok(Drain(DrainRequest::Drain))),
        ("PUT", "/v1/node/activate", Ok(Drain(DrainRequest::Resume))),
        ("GET", "/v1/node/activate", method_not_allowed("PUT")),
        ("GET", "/", Err(UnknownPath)),
        ("GET", "*", Err(UnknownPath)),
    ] {
        assert_eq!(route(method, target), expected, "{method} {target}");
    }
}
