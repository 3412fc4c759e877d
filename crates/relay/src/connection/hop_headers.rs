//! Hop-by-hop headers, which apply to a single connection.

use http::HeaderMap;

/// Headers that are never forwarded.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let listed: Vec<String> = texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_owned())
        .collect();
    let names = listed.iter().map(String::as_str).chain(HOP_HEADERS);
    names.for_each(|name| while headers.remove(name).is_some() {});
}
