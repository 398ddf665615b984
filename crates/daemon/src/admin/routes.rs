//! The routes of the admin API.
use crate::lifecycle::DrainRequest;
use percent_encoding::percent_decode_str;

/// Maximum length of an executor's name in bytes; the error text of an invalid name contains it.
const MAX_EXECUTOR_NAME_BYTES: usize = 255;

/// The segment of a route's path that matches the name of an executor.
const EXECUTOR_SEGMENT: &str = "{executor}";

/// A call of the admin API.
#[derive(Debug, PartialEq)]
pub enum AdminCall {
    /// Returns whether the node is ready.
    Readiness,
    /// Returns the numbers of listed and retained executors.
    Statistics,
    /// Excludes an executor, or includes it again.
    SetExcluded {
        /// The executor's name.
        executor: String,
        /// Whether the executor is excluded from now on.
        is_excluded: bool,
    },
    /// Drains the node or activates it again.
    Drain(DrainRequest),
}

/// Why a request matches no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No route has the path.
    #[error("there is no such call")]
    UnknownPath,
    /// The path has a route, but with another method.
    #[error("the call is made by another method")]
    MethodNotAllowed {
        /// The method that is allowed.
        allowed: &'static str,
    },
    /// The name of the executor in the path is empty, too long or not UTF-8.
    #[error("an executor has a name of 1 to 255 bytes")]
    InvalidExecutorName,
}

impl RouteError {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            RouteError::InvalidExecutorName => 400,
            RouteError::UnknownPath => 404,
            RouteError::MethodNotAllowed { .. } => 405,
        }
    }
}

struct Route {
    method: &'static str,
    path: &'static str,
    /// Creates the call from the executor's name, which is empty if the path has none.
    call: fn(String) -> AdminCall,
}

const ROUTES: [Route; 6] = [
    Route { method: "GET", path: "/v1/readyz", call: |_| AdminCall::Readiness },
    Route { method: "GET", path: "/v1/executors", call: |_| AdminCall::Statistics },
    Route {
        method: "PUT",
        path: "/v1/executors/{executor}/suspend",
        call: |executor| AdminCall::SetExcluded { executor, is_excluded: true },
    },
    Route {
        method: "PUT",
        path: "/v1/executors/{executor}/resume",
        call: |executor| AdminCall::SetExcluded { executor, is_excluded: false },
    },
    Route { method: "PUT", path: "/v1/node/drain", call: |_| AdminCall::Drain(DrainRequest::Drain) },
    Route { method: "PUT", path: "/v1/node/activate", call: |_| AdminCall::Drain(DrainRequest::Resume) },
];

/// Finds the call for a method and target. A query in the target is ignored.
///
/// # Errors
/// If no route matches. An invalid name of an executor is reported before a wrong method.
pub fn route(method: &str, target: &str) -> Result<AdminCall, RouteError> {
    let path = target.split('?').next().unwrap_or_default();
    let route = ROUTES.iter().find(|route| has_path(route, path)).ok_or(RouteError::UnknownPath)?;
    let call = (route.call)(executor_name(route, path)?);
    if method == route.method {
        Ok(call)
    } else {
        Err(RouteError::MethodNotAllowed { allowed: route.method })
    }
}

fn has_path(route: &Route, path: &str) -> bool {
    let is_match = |(expected, actual): (&str, &str)| expected == EXECUTOR_SEGMENT || expected == actual;
    route.path.split('/').count() == path.split('/').count()
        && route.path.split('/').zip(path.split('/')).all(is_match)
}

/// Decodes the executor's name from a path that matches the route. Returns an empty name if the route has none.
fn executor_name(route: &Route, path: &str) -> Result<String, RouteError> {
    let mut segments = route.path.split('/').zip(path.split('/'));
    let Some((_, segment)) = segments.find(|(expected, _)| *expected == EXECUTOR_SEGMENT) else {
        return Ok(String::new());
    };
    let name = percent_decode_str(segment).decode_utf8().map_err(|_| RouteError::InvalidExecutorName)?;
    if (1..=MAX_EXECUTOR_NAME_BYTES).contains(&name.len()) {
        Ok(name.into_owned())
    } else {
        Err(RouteError::InvalidExecutorName)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/admin_routes.rs"]
mod tests;
