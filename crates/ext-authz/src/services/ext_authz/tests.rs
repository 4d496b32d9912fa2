//! The responses to proxies and clients for each outcome.

use super::*;

/// The HTTP status, the gRPC code, the body and the `retry-after` header of a denial.
fn denial(response: CheckResponse) -> (i32, i32, String, Option<String>) {
    let grpc = response.status.expect("each response has a status");
    let Some(HttpResponse::DeniedResponse(denied)) = response.http_response else {
        panic!("not denied: {:?}", response.http_response);
    };
    assert_eq!(grpc.message, denied.body);
    let header = denied.headers.into_iter().find_map(|option| option.header);
    let retry_after = header.map(|header| {
        assert_eq!(header.key, "retry-after");
        header.value
    });
    (denied.status.expect("a denial has a status").code, grpc.code, denied.body, retry_after)
}

/// Proxies and clients act on these codes and texts, so they must not change.
#[test]
fn denial_responses_are_stable() {
    let expected = |http, grpc, body: &str| (http, grpc, body.to_string(), None);
    let seconds = |text: &str| Some(text.to_string());
    let quota = "over the quota or the fleet's capacity".to_string();
    assert_eq!(denial(rejected(1.2)), (429, 8, quota.clone(), seconds("2")));
    assert_eq!(denial(rejected(-1.0)), (429, 8, quota, seconds("0")));
    for (failure, http, grpc, body) in [
        (CheckFailure::RequestFailed, 503, 14, "failed; it may have run"),
        (CheckFailure::InvalidTicket, 503, 16, "the ticket is not valid"),
        (CheckFailure::Duplicate, 503, 6, "this request is being decided already"),
        (CheckFailure::UnknownAttempt, 503, 14, "its earlier attempt is not known here"),
    ] {
        assert_eq!(denial(failed(failure)), expected(http, grpc, body));
    }
    let invalid = denied(StatusCode::BadRequest, Code::InvalidArgument, "header x-units is missing", None);
    assert_eq!(denial(invalid), expected(400, 3, "header x-units is missing"));
}
