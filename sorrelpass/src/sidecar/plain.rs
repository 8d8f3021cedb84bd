//! Calls to a plain service: method, path, query, headers and body are forwarded, and so is the response.

use http_body_util::BodyExt;
use hyper::Request;
use hyper::header::HeaderMap;

use super::Shared;
use super::engine::send;
use super::job::{AnswerWriter, CallError, RequestBody};
use crate::wire::{Frame, Usage, WorkRequest};

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Calls the service and forwards its response.
pub async fn call_service(
    shared: &Shared,
    work: &WorkRequest,
    request_body: RequestBody,
    writer: &mut AnswerWriter<'_>,
) -> Result<(), CallError> {
    let mut request = Request::builder()
        .method(work.call.method.as_str())
        .uri(format!("http://{}{}", shared.settings.endpoint_address, work.call.path));
    for (name, value) in &work.call.headers {
        request = request.header(name, value);
    }
    let response = send(request, request_body).await?;
    let (head, mut body) = response.into_parts();
    let frame = Frame::Head { status: head.status.as_u16(), headers: forwarded_headers(&head.headers) };
    writer.output.send(&frame).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallError::outcome_unknown("read", error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            writer.send_chunk(data, 0).await?;
        }
    }
    Ok(writer.send_end(Usage::default(), "stop".to_owned()).await?)
}

/// Returns the headers to forward: all but the hop-by-hop headers, `content-length` and `host`.
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP_HEADERS.contains(&name.as_str()) && *name != "content-length" && *name != "host"
        })
        .filter_map(|(name, value)| Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned())))
        .collect()
}
