//! HTTP pages for operators and monitoring.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use monoio::net::TcpListener;

use crate::http1::{self, body, client, head};
use crate::{log, node, pace};

pub mod moves;
pub mod orders;
pub mod out;
pub mod status;

/// Maximum length of a request's head, in bytes.
const MAX_HEAD_LEN: usize = 8 * 1024;

/// Maximum length of a request's body, in bytes.
const MAX_BODY_LEN: usize = 4 * 1024 * 1024;

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 256;

/// Time limit of one exchange.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for the peer to close the connection after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Response to a request of the admin interface.
#[derive(Debug)]
struct Page {
    status: http::StatusCode,
    content_type: &'static str,
    body: Bytes,
}

impl Page {
    fn text<T>(status: http::StatusCode, text: T) -> Page
    where
        T: Into<Bytes>,
    {
        Page { status, content_type: "text/plain; charset=utf-8", body: text.into() }
    }

    fn json<T>(status: http::StatusCode, value: &T) -> Page
    where
        T: serde::Serialize,
    {
        let body = serde_json::to_vec(value).expect("pages are plain data");
        Page { status, content_type: "application/json", body: body.into() }
    }
}

/// Accepts operators' connections until the returned future is dropped.
pub async fn accept(node: Rc<node::Node>, listener: TcpListener, log: log::Handle) {
    let log = Rc::new(log);
    let open = Rc::new(());
    let pace = pace::Pace::of_listener();
    loop {
        let Ok((stream, _)) = pace.step(listener.accept()).await else {
            monoio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            metrics::counter!("basilhaven_operators_refused_total").increment(1);
            continue;
        }
        if let Ok(conn) = http1::Conn::new(stream) {
            let (node, log, open) = (Rc::clone(&node), Rc::clone(&log), Rc::clone(&open));
            monoio::spawn(async move {
                serve(node, conn, log).await;
                drop(open);
            });
        }
    }
}

async fn serve(node: Rc<node::Node>, mut conn: http1::Conn, log: Rc<log::Handle>) {
    loop {
        let exchange = respond(&node, &mut conn, &log);
        match monoio::time::timeout(TIMEOUT, exchange).await {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) | Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// Serves one request and returns whether the connection stays open for another one.
async fn respond(
    node: &Rc<node::Node>,
    conn: &mut http1::Conn,
    log: &log::Handle,
) -> Result<bool, http1::Error> {
    let Some(request) = conn.read_request(MAX_HEAD_LEN).await? else { return Ok(false) };
    let mut reader = body::Reader::new(request.framing);
    let page = match public_page(node, &request, log) {
        Some(page) => page,
        None if is_operator(node, &request) => {
            let body = client::read_all(conn, &mut reader, MAX_BODY_LEN).await?;
            operator_page(node, &request, &body).await
        }
        None => Page::text(http::StatusCode::UNAUTHORIZED, "the operator key is needed\n"),
    };
    // The body of an unauthenticated request is not read; the connection is closed instead.
    let keep_alive =
        reader.is_done() && head::keeps_alive(request.parts.version, &request.parts.headers);
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(page.content_type));
    let framing = body::Framing::Length(page.body.len() as u64);
    let encoded = head::encode_response(page.status, &headers, framing, keep_alive);
    let mut message = bytes::BytesMut::from(&encoded[..]);
    message.extend_from_slice(&page.body);
    conn.write(message.freeze()).await?;
    if !keep_alive {
        conn.linger(LINGER_TIMEOUT).await;
    }
    Ok(keep_alive)
}

/// Returns the page of a request that needs no key. Such pages change nothing and reveal no
/// configuration.
fn public_page(node: &node::Node, request: &head::Request, log: &log::Handle) -> Option<Page> {
    match (request.parts.method.as_str(), request.parts.uri.path()) {
        ("GET", "/healthz") if node.members().is_leaving() => {
            Some(Page::text(http::StatusCode::SERVICE_UNAVAILABLE, "leaving\n"))
        }
        ("GET", "/healthz") if !node.is_configured() => {
            Some(Page::text(http::StatusCode::SERVICE_UNAVAILABLE, "no configuration\n"))
        }
        ("GET", "/healthz") => Some(Page::text(http::StatusCode::OK, "ok\n")),
        ("GET", "/metrics") => {
            let open = node.open_connections().get();
            metrics::gauge!("basilhaven_open_connections").set(open as f64);
            metrics::gauge!("basilhaven_log_lines_dropped").set(log.dropped_lines() as f64);
            Some(Page::text(http::StatusCode::OK, log.render_metrics()))
        }
        ("GET", "/v1/hosts") => Some(Page::json(http::StatusCode::OK, &node.members().serving())),
        _ => None,
    }
}

fn is_operator(node: &node::Node, request: &head::Request) -> bool {
    let value = request.parts.headers.get(header::AUTHORIZATION);
    let token = value.and_then(|v| v.to_str().ok()).and_then(|v| v.strip_prefix("Bearer "));
    match (&node.settings().operator_key, token) {
        (Some(key), Some(token)) => key.matches(token),
        _ => false,
    }
}

/// Returns the page of a request that needs the operator key.
async fn operator_page(node: &node::Node, request: &head::Request, body: &[u8]) -> Page {
    match (request.parts.method.as_str(), request.parts.uri.path()) {
        ("GET", "/v1/moves") => moves::list(node),
        ("POST", path) if path.starts_with(moves::PREFIX) => {
            moves::handle(node, &path[moves::PREFIX.len()..], body).await
        }
        ("GET", "/v1/config") => orders::config(node),
        ("GET", "/v1/confirmed") => {
            orders::confirmed(node, request.parts.uri.query().unwrap_or_default())
        }
        ("POST", "/v1/orders") => orders::handle(node, request, body).await,
        ("GET", "/v1/out") => out::list(node),
        ("GET", "/v1/status") => status::status(node),
        ("GET", "/v1/why") => {
            status::decisions(node, request.parts.uri.query().unwrap_or_default())
        }
        _ => Page::text(http::StatusCode::NOT_FOUND, "no such page\n"),
    }
}
