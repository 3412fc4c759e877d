//! Headers that belong to one connection.

use http::HeaderMap;

/// Headers that are not passed on.
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

/// Removes the headers that belong to one connection, those that `Connection` names included.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let named: Vec<String> = texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_owned())
        .collect();
    let names = named.iter().map(String::as_str).chain(HOP_HEADERS);
    names.for_each(|name| while headers.remove(name).is_some() {});
}
