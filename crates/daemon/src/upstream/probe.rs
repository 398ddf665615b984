//! Load probes: requests an executor's load report.
use super::executor::{Executor, IdleReuse};
use super::pool::ExecutorPool;
use crate::units::to_millis;
use bytes::BytesMut;
use tokio::time::{Instant, timeout_at};
use troutknot::{ExecutorId, LoadReport, ProbeReply};

/// Probes an executor. Returns `None` if it is not registered, or if it does not report in time.
pub(super) async fn probe(pool: &ExecutorPool, executor: ExecutorId) -> Option<ProbeReply> {
    let started_at = Instant::now();
    let probe_timeout = pool.limits.timeouts().probe_timeout;
    let report = match pool.executor(executor) {
        Some(executor) => timeout_at(started_at + probe_timeout, request_report(pool, &executor)).await,
        None => Ok(None),
    };
    if report.is_err() {
        // Connections to a machine behind a network partition stay open without an error.
        pool.close_idle_connections(executor);
    }
    let latency = started_at.elapsed();
    // After a stall of this process the report is out of date.
    if latency > probe_timeout + pool.limits.stall_threshold {
        return None;
    }
    let report = report.ok().flatten()?;
    Some(ProbeReply { latency: to_millis(latency), report })
}

async fn request_report(pool: &ExecutorPool, executor: &Executor) -> Option<LoadReport> {
    let mut connection =
        pool.connect(executor, pool.limits.upstream.max_connections, IdleReuse::Any).await.ok()?;
    let request = pool.codec.load().probe_request(executor.address()?);
    connection.write(&[request.as_bytes()]).await.ok()?;
    let mut head = connection.read_response_head().await.ok()?;
    let mut body = BytesMut::new();
    connection.read_body(&mut head.body, &mut body, pool.limits.connection_buffer_bytes).await.ok()?;
    let report = (head.status == 200).then(|| pool.codec.load().load_report(&head, &body));
    if head.keep_alive {
        pool.put_back(executor, connection);
    }
    report
}
