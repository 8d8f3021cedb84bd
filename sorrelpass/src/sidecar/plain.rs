//! Calls to a plain service: method, path, query, headers and body are forwarded, and so is the response.

use http_body_util::BodyExt;
use hyper::Request;
use hyper::header::HeaderMap;

use super::Shared;
use super::engine::send;
use super::job::{Failure, Upload, Writer};
use crate::wire::{Frame, Open, Usage};

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
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
pub async fn call(shared: &Shared, open: &Open, upload: Upload, writer: &mut Writer<'_>) -> Result<(), Failure> {
    let mut request = Request::builder()
        .method(open.call.method.as_str())
        .uri(format!("http://{}{}", shared.settings.endpoint_address, open.call.path));
    for (name, value) in &open.call.headers {
        request = request.header(name, value);
    }
    let response = send(request, upload).await?;
    let (head, mut body) = response.into_parts();
    let frame = Frame::Head { status: head.status.as_u16(), headers: passed_on(&head.headers) };
    writer.output.send(&frame).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Failure::unknown("read", error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            writer.piece(data, 0).await?;
        }
    }
    Ok(writer.end(Usage::default(), "stop".to_owned()).await?)
}

/// Returns the headers to forward: all but the hop-by-hop headers, `content-length` and `host`.
pub fn passed_on(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()) && *name != "content-length" && *name != "host")
        .filter_map(|(name, value)| Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned())))
        .collect()
}
