//! A request has one final answer, and none once its client has left.
use super::*;

impl ClientRequest {
    /// A request of class 0 with a body of this size; other tests use it as well.
    pub fn of(id: &str, size: usize) -> Self {
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
async fn only_the_first_answer_counts_and_none_once_the_client_has_left() {
    let budget = ByteBudget::new(10);
    let make = |bytes: usize| {
        InFlightRequest::new(RequestId(1), ClientRequest::of("1", bytes), Instant::now(), &budget)
    };
    let request = make(8).unwrap();
    assert!(make(3).is_none(), "the budget is exhausted");
    assert!(request.answer(Answer::Failed) && !request.answer(Answer::Rejected(None)));
    assert_eq!(request.answered().await, Answer::Failed);
    request.closed().await;
    drop(request);
    let left = make(10).unwrap();
    assert!(left.close() && left.is_closed() && !left.answer(Answer::Failed));
    left.closed().await;
}
