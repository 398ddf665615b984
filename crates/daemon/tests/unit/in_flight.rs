//! A request has one final answer, and none once its client has disconnected.
use super::*;

impl ClientRequest {
    /// A request of class 0 with a body of this size in bytes, for tests of this and other modules.
    pub fn with_body_size(id: &str, size: usize) -> Self {
        ClientRequest {
            id: id.into(),
            key: None,
            method: "POST".into(),
            target: "/render".into(),
            fields: Bytes::new(),
            body: vec![b'x'; size].into(),
            class: RequestClassId(0),
            tenant: TenantId(0),
            slots: 1.0,
            memory: 0.0,
            is_retry: false,
        }
    }
}

#[tokio::test]
async fn only_the_first_answer_is_used_and_none_after_the_client_disconnected() {
    let budget = ByteBudget::new(10);
    let new_request = |bytes: usize| {
        InFlightRequest::new(RequestId(1), ClientRequest::with_body_size("1", bytes), Instant::now(), &budget)
    };
    let request = new_request(8).unwrap();
    assert!(new_request(3).is_none(), "the budget is exhausted");
    assert!(request.answer(Answer::Failed) && !request.answer(Answer::Rejected(None)));
    assert_eq!(request.answered().await, Answer::Failed);
    request.closed().await;
    drop(request);
    let disconnected = new_request(10).unwrap();
    assert!(disconnected.close() && disconnected.is_closed() && !disconnected.answer(Answer::Failed));
    disconnected.closed().await;
}
