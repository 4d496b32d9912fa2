//! Messages are parsed strictly, independently of how their bytes are split, and within bounds.

use bytes::BytesMut;
use proptest::prelude::*;
use serde_json::json;
use weirusher::{CellId, EndpointListKind, Lifecycle, Location, PlatformSettings, Status, ZoneId};
use weirusher_buffers::ByteBudget;
use weirusher_platform::client::{self, ClientMessage, ClientRequest, RequestCatalog, RequestError};
use weirusher_platform::counter::AddResult;
use weirusher_platform::list::{ListState, MAX_LIST_BYTES};
use weirusher_platform::response::{Response, ResponseReader};
use weirusher_platform::{backend, counter};
use weirusher_wire::head::{EMPTY_HEADERS, parse_request};

fn catalog() -> RequestCatalog {
    let settings = json!({
        "PeersTotal": 4, "Me": 1, "Domain": {"MaxUnits": 8.0},
        "Classes": [{"Name": "check-answer", "Effect": "idempotent"}, {"Name": "store", "Effect": "at_most_once"}],
        "Plans": [{"Name": "pieni", "QuotaRate": 1.0, "Depth": 4.0}, {"Name": "iso"}],
    });
    RequestCatalog::new(&PlatformSettings::read(&settings).unwrap())
}

const GOOD: &str = "GET /api/00000000b4d65521 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: 9b1f03aa5c7e2d41\r\n\
    X-Qos: check-answer\r\nPlan: iso\r\nX-Expires-In: 480m\r\nQuota-Info: units=2,spread=3,first=1\r\n\r\n";

fn read(text: &str) -> Result<ClientMessage, RequestError> {
    let mut slots = EMPTY_HEADERS;
    client::read_head(&catalog(), &parse_request(text.as_bytes(), &mut slots)?)
}

fn client_request(text: &str) -> ClientRequest {
    match read(text) {
        Ok(ClientMessage::Request(request)) => request,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_request_head_is_mapped_to_its_fields() {
    let read = client_request(GOOD);
    assert_eq!((&*read.id, &*read.customer), ("9b1f03aa5c7e2d41", "00000000b4d65521"));
    assert_eq!(
        (read.class, read.plan, read.units, read.customer_instances, read.first_instance),
        (0, 1, 2.0, 3, 1)
    );
    assert!((read.time_budget - 0.48).abs() < 1e-9 && !read.is_retry && !read.closes_connection);
    let micros = GOOD
        .replace("480m", "250000u")
        .replace("\r\n\r\n", "\r\nX-Second-Try: 1\r\nConnection: close\r\n\r\n");
    let read = client_request(&micros);
    assert!((read.time_budget - 0.25).abs() < 1e-9 && read.is_retry && read.closes_connection);
    let other_case = client_request(&GOOD.replace("00000000b4d65521", "00000000B4d65521"));
    assert_eq!(&*other_case.customer, "00000000b4d65521", "hex digits are the same in upper and lower case");
    let ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    assert_eq!(self::read(ready), Ok(ClientMessage::ReadinessCheck));
}

#[test]
fn a_zone_is_told_by_its_name_and_an_empty_name_is_none() {
    let zones = ["a", "b", "c", "c", "a", ""];
    let entry = |(n, zone): (usize, &&str)| {
        json!({"name": format!("s-{n}"),
        "address": "127.0.0.1:1", "zone": zone, "status": "SERVING"})
    };
    let endpoints: Vec<_> = zones.iter().enumerate().map(entry).collect();
    let list = json!({"index": 1, "snapshot": true, "endpoints": endpoints}).to_string();
    let update = ListState::default().apply(list.as_bytes()).unwrap().unwrap();
    let found: Vec<_> = update.endpoints.iter().map(|endpoint| endpoint.location.zone).collect();
    assert_eq!(found, zones.map(ZoneId::from_name));
    assert!(found[0] == found[4] && found[2] == found[3] && found[5].is_none(), "{found:?}");
    assert!(found[0] != found[1] && found[0] != found[2] && found[1] != found[2], "{found:?}");
    assert!(found[..5].iter().all(Option::is_some), "{found:?}");
    assert!(
        update.endpoints.iter().all(|endpoint| endpoint.location.cell.is_none()),
        "no entry states a cell"
    );
}

#[test]
fn an_invalid_request_is_an_error_with_its_status() {
    for (from, to, status) in [
        ("GET /api/00000000b4d65521", "GET /api/00000000b4d6552", 404),
        ("GET /api/00000000b4d65521", "GET /api/0000000200000000", 404),
        ("GET /api/00000000b4d65521", "GET /api/00000000B4D6552G", 404),
        ("GET /api/00000000b4d65521", "GET /api/+0000000b4d65521", 404),
        ("GET /api", "POST /api", 405),
        ("check-answer", "store", 405),
        ("check-answer", "other", 400),
        ("Plan: iso", "Plan: gold", 400),
        ("Plan: iso", "Plan: iso\r\nPlan: iso", 400),
        ("X-Trace-Id: 9b1f03aa5c7e2d41\r\n", "", 400),
        ("9b1f03aa5c7e2d41", "", 400),
        ("9b1f03aa5c7e2d41", "a b", 400),
        ("480m", "480", 400),
        ("480m", "-480m", 400),
        ("480m", "NaNm", 400),
        ("480m", "infm", 400),
        ("480m", "1e3m", 400),
        ("480m", "0m", 400),
        ("480m", "99999999999m", 400),
        ("units=2", "units=9", 400),
        ("units=2", "units=0", 400),
        ("units=2", "units=-1", 400),
        ("units=2,", "", 400),
        ("units=2", "units=2,units=2", 400),
        ("spread=3", "spread=5", 400),
        ("spread=3", "spread=0", 400),
        ("first=1", "first=4", 400),
        ("first=1", "first=+1", 400),
        ("first=1", "first=18446744073709551617", 400),
        ("Host: backend.local", "Content-Length: 3\r\nContent-Length: 3", 400),
        ("Host: backend.local", "Content-Length: 0\r\nTransfer-Encoding: chunked", 400),
        ("Host: backend.local", "Transfer-Encoding: chunked", 405),
        ("Host: backend.local", "Transfer-Encoding: gzip, chunked", 400),
        ("Host: backend.local", "Content-Length: -1", 400),
        ("Host: backend.local", "Content-Length: 60000000", 413),
        ("Host: backend.local", "Content-Length: 99999999999999999999", 413),
        ("Host: backend.local", "X : 1", 400),
        ("HTTP/1.1", "HTTP/1.0", 400),
        ("HTTP/1.1", "HTTP/9", 400),
    ] {
        assert!(GOOD.contains(from), "{from}");
        let bad = read(&GOOD.replacen(from, to, 1)).expect_err(to);
        assert_eq!(bad.status(), status, "{to}: {bad}");
    }
}

fn responses(bytes: &[u8], piece: usize) -> Result<Vec<Response>, String> {
    let (mut reader, mut unread, mut all) =
        (ResponseReader::new(1024, ByteBudget::new(0)), BytesMut::new(), Vec::new());
    for part in bytes.chunks(piece.max(1)) {
        unread.extend_from_slice(part);
        while let Some(response) = reader.read(&mut unread).map_err(|e| e.to_string())? {
            all.push(response);
        }
    }
    Ok(all)
}

#[test]
fn only_a_complete_200_serves() {
    let one = |text: &str| responses(text.as_bytes(), 7).map(|all| all.first().map(backend::attempt_status));
    assert_eq!(one("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), Ok(Some(Status::Ok)));
    assert_eq!(
        one("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"),
        Ok(None),
        "the rest of the body is missing"
    );
    assert_eq!(one("HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n"), Ok(Some(Status::Error)));
    assert_eq!(one("HTTP/1.1 204 -\r\nContent-Length: 0\r\n\r\n"), Ok(Some(Status::Error)));
    for status in [503, 504] {
        let never = format!("HTTP/1.1 {status} -\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(one(&never), Ok(Some(Status::Rejected)));
        assert_eq!(one(&never.replace("Ran: 1", "Ran: 0")), Ok(Some(Status::Error)));
    }
    let interim = "HTTP/1.1 103 -\r\nLink: x\r\n\r\n";
    let real = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(one(&format!("{interim}{interim}{real}")), Ok(Some(Status::Ok)));
    assert!(one(&format!("{}{real}", interim.repeat(9))).is_err());
    for malformed in [
        "Content-Length: 3221225472",
        "Content-Length: -1",
        "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip",
    ] {
        assert!(one(&format!("HTTP/1.1 200 OK\r\n{malformed}\r\n\r\n")).is_err(), "{malformed}");
    }
    assert!(
        one(&format!("HTTP/1.1 200 OK\r\nX: {}", "a".repeat(20_000))).is_err(),
        "a head that exceeds its limit"
    );
}

/// Only an orderly close of the connection completes it.
#[test]
fn response_without_a_length_ends_with_the_connection() {
    let mut reader = ResponseReader::new(1024, ByteBudget::new(0));
    let mut src = BytesMut::from(&b"HTTP/1.1 200 OK\r\nX: y\r\n\r\nok"[..]);
    assert!(reader.read(&mut src).unwrap().is_none(), "the response may continue");
    src.extend_from_slice(b" then");
    assert!(reader.read(&mut src).unwrap().is_none() && reader.has_started());
    let complete = reader.finish().expect("the close ends the response");
    assert_eq!(
        (backend::attempt_status(&complete), &complete.body.to_bytes()[..], complete.closes_connection),
        (Status::Ok, &b"ok then"[..], true)
    );
    // The close of the connection does not complete any other response.
    for half in ["HTTP/1.1 200 OK\r\nX: y", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", ""] {
        let mut reader = ResponseReader::new(1024, ByteBudget::new(0));
        assert!(reader.read(&mut BytesMut::from(half)).unwrap().is_none());
        assert_eq!(reader.finish(), None, "{half}");
    }
    let past = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(1025));
    assert!(ResponseReader::new(1024, ByteBudget::new(0)).read(&mut BytesMut::from(&*past)).is_err());
    let none = responses(b"HTTP/1.1 204 -\r\n\r\nHTTP/1.1 304 -\r\n\r\n", 5).unwrap();
    assert_eq!(none.len(), 2, "responses without a body");
}

#[test]
fn a_chunked_response_is_read_like_one_with_a_length() {
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\no\u{6b}\r\n0\r\n\r\n";
    let length = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for piece in [1, 7, 500] {
        assert_eq!(
            responses(chunks.repeat(3).as_bytes(), piece),
            responses(length.repeat(3).as_bytes(), piece)
        );
    }
}

#[test]
fn counter_calls_are_written_and_responses_parsed() {
    let update = |text: &str| counter::parse_add_result(&responses(text.as_bytes(), 9).unwrap()[0]);
    let ok = |body: &str| update(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    assert_eq!(ok("38.25"), Some(AddResult { status: Status::Ok, total: 38.25 }));
    assert_eq!(ok("1e2\n"), Some(AddResult { status: Status::Ok, total: 100.0 }));
    assert!(ok("").is_none() && ok("NaN").is_none() && ok("<html>").is_none());
    assert_eq!(
        update("HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n"),
        Some(AddResult { status: Status::Rejected, total: 0.0 })
    );
    let mut call = BytesMut::new();
    counter::write_add(&mut call, 0xABC, -2.5, 400.0);
    assert!(call.starts_with(b"POST /v2/numbers/abc?delta=-2.500000&life_ms=60000 HTTP/1.1\r\n"));
}

#[test]
fn a_load_report_is_read_from_its_header() {
    let text = "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT util=0.5\r\nContent-Length: 0\r\n\r\n";
    let response = responses(text.as_bytes(), 7).unwrap().remove(0);
    assert_eq!(response.load_report.as_deref(), Some("TEXT util=0.5"));
}

#[test]
fn a_malformed_load_report_counts_as_empty() {
    let load = backend::parse_load_report("TEXT inflight=7, queue=2, util=0.61");
    assert_eq!((load.in_flight, load.cpu_utilization), (Some(7.0), Some(0.61)));
    for bad in ["TEXT inflight=x", "TEXT inflight=-1", "TEXT util=NaN", "TEXT ,", "", &"x".repeat(2000)] {
        let load = backend::parse_load_report(bad);
        assert_eq!((load.in_flight, load.cpu_utilization), (None, None), "{bad}");
    }
}

#[test]
fn a_list_is_applied_by_its_version() {
    let mut state = ListState::default();
    assert_eq!(state.poll_target(5.0), "/api/targets");
    let list = |index: u64, complete: bool, status: &str| {
        json!({"index": index, "snapshot": complete, "endpoints": [{"name": "s-1", "address": "10.1.0.18:8443",
            "zone": "b", "type": "m2", "group": 3, "status": status, "weight": 1.0, "since_ms": 1500}]})
        .to_string()
    };
    assert!(
        state.apply(list(40, false, "SERVING").as_bytes()).unwrap().is_none(),
        "changes without a list to which they apply"
    );
    let update = state.apply(list(41, true, "SERVING").as_bytes()).unwrap().unwrap();
    assert_eq!(
        (update.kind, update.endpoints[0].location),
        (
            EndpointListKind::Snapshot,
            Location { zone: ZoneId::from_name("b"), cell: Some(CellId::from_number(3)) }
        )
    );
    assert!((update.endpoints[0].started - 1.5).abs() < 1e-9);
    assert_eq!(state.poll_target(5.0), "/api/targets?since=41&timeout_ms=5000");
    let update = state.apply(list(43, false, "DELETED").as_bytes()).unwrap().unwrap();
    assert_eq!((update.kind, update.endpoints[0].lifecycle), (EndpointListKind::Delta, Lifecycle::Removed));
    assert_eq!(update.backends[0].instance, None);
    for bad in ["", "{", "[]", r#"{"index":1}"#, &list(44, true, "SERVING").replace("10.1", "x")] {
        assert!(state.apply(bad.as_bytes()).is_err(), "{bad}");
    }
    assert_eq!(state.poll_target(5.0), "/api/targets?since=43&timeout_ms=5000", "the version in use is kept");
    assert!(
        state.apply(list(42, false, "SERVING").as_bytes()).unwrap().is_none(),
        "changes to a lower version"
    );
    assert_eq!(state.poll_target(5.0), "/api/targets", "the complete list is polled next");
}

#[test]
fn invalid_entry_affects_only_its_backend() {
    let entry = |name: &str, status: &str, address: &str| {
        json!({"name": name,
        "address": address, "zone": "a", "group": 0, "status": status, "since_ms": 0})
    };
    let good = entry("s-1", "SERVING", "10.1.0.18:8443");
    let invalid = [
        entry("s-2", "ODD", "10.1.0.19:8443"),
        entry("s-3", "SERVING", "nowhere"),
        json!({"name": "s-4"}),
        json!({"name": "", "status": "SERVING"}),
        json!(7),
    ];
    for complete in [true, false] {
        let mut state = ListState::default();
        state
            .apply(json!({"index": 1, "snapshot": true, "endpoints": [good]}).to_string().as_bytes())
            .unwrap();
        let mut entries = invalid.to_vec();
        entries.insert(2, good.clone());
        let list = json!({"index": 2, "snapshot": complete, "endpoints": entries}).to_string();
        let update = state.apply(list.as_bytes()).unwrap().expect("a newer version");
        let serving: Vec<_> = update
            .backends
            .iter()
            .filter(|entry| entry.instance.is_some())
            .map(|entry| &*entry.name)
            .collect();
        assert_eq!(serving, ["s-1"], "backends with invalid entries get no new requests");
        let running: Vec<_> =
            update.endpoints.iter().filter(|s| s.lifecycle == Lifecycle::Running).map(|s| &*s.id).collect();
        assert_eq!(running, ["s-1"]);
        let is_listed = |name: &str| update.endpoints.iter().any(|s| &*s.id == name);
        // A complete list removes a backend by leaving it out; a list of changes has to name it.
        assert_eq!([is_listed("s-2"), is_listed("s-3"), is_listed("s-4")], [true, !complete, !complete]);
        assert!(
            update.problems.len() == 4 && update.problems[0].to_string().starts_with("s-2:"),
            "{:?}",
            update.problems
        );
    }
}

/// The list is indented, its names have the maximum length, and each entry has unknown fields.
#[test]
fn largest_list_is_parsed() {
    for entry_count in [1024, 4096] {
        let entry = |n: usize| {
            json!({"name": format!("{n:0256}"), "address": "255.255.255.255:65535", "zone": "z".repeat(64),
                "type": "t".repeat(64), "group": u32::MAX, "status": "SERVING", "weight": 0.1234567890123,
                "since_ms": 1_700_000_000_000_u64})
        };
        let entries: Vec<_> = (0..entry_count).map(entry).collect();
        let list = json!({"index": 1, "snapshot": true, "endpoints": entries});
        let text = serde_json::to_string_pretty(&list).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        let mut src = BytesMut::from(format!("{head}{text}").as_bytes());
        let response = ResponseReader::new(MAX_LIST_BYTES, ByteBudget::new(2 * MAX_LIST_BYTES))
            .read(&mut src)
            .unwrap()
            .expect("the response is complete");
        let update = ListState::default().apply(&response.body.to_bytes()).unwrap().expect("the first list");
        assert_eq!((update.endpoints.len(), update.problems.len()), (entry_count, 0));
    }
}

proptest! {
    #[test]
    fn splits_do_not_change_the_result(body in "[a-z]{0,40}", interim in any::<bool>(), piece in 1..40usize) {
        let ahead = if interim { "HTTP/1.1 100 Continue\r\n\r\n" } else { "" };
        let one = format!("{ahead}HTTP/1.1 200 OK\r\nX-Never-Ran: 1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let bytes = one.repeat(3);
        let (complete, split) = (responses(bytes.as_bytes(), bytes.len()), responses(bytes.as_bytes(), piece));
        prop_assert_eq!(complete.as_ref().map(Vec::len), Ok(3));
        prop_assert_eq!(complete, split);
    }

    #[test]
    fn any_bytes_are_parsed_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300), at in 0..200usize) {
        let mut text = GOOD.as_bytes().to_vec();
        let at = at.min(text.len() - 4);
        let upto = (at + bytes.len()).min(text.len() - 4);
        text.splice(at..upto, bytes.iter().copied());
        let mut slots = EMPTY_HEADERS;
        if let Ok(head) = parse_request(&text, &mut slots) {
            let _ = client::read_head(&catalog(), &head);
        }
        let _ = responses(&bytes, 11);
        let _ = ListState::default().apply(&bytes);
    }
}
