//! Messages with a `Content-Length`: decoding reverses encoding, and the size bounds hold.

use bytes::BytesMut;
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};
use weirusher_wire::http1::{
    ClientCodec, Headers, HttpError, MAX_HEAD_BYTES, MAX_HEADERS, Request, ServerCodec,
};

fn decode(text: &str) -> Result<Option<Request>, HttpError> {
    ServerCodec::default().decode(&mut BytesMut::from(text))
}

#[test]
fn ambiguous_and_invalid_lengths_are_errors() {
    for length in
        ["content-length: 3\r\ncontent-length: 4", "content-length: +3", "transfer-encoding: chunked"]
    {
        assert!(matches!(
            decode(&format!("GET / HTTP/1.1\r\n{length}\r\n\r\n")),
            Err(HttpError::InvalidLength)
        ));
    }
    assert!(matches!(
        decode("GET / HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n"),
        Err(HttpError::BodyTooLarge)
    ));
}

#[test]
fn heads_are_bounded_in_bytes_and_headers() {
    let long = format!("GET / HTTP/1.1\r\nx: {}", "a".repeat(MAX_HEAD_BYTES));
    assert!(matches!(decode(&long), Err(HttpError::HeadTooLarge)));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(MAX_HEADERS + 1));
    assert!(matches!(decode(&many), Err(HttpError::HeadTooLarge)));
}

proptest! {
    #[test]
    fn an_encoded_request_decodes_from_any_split(path in "/[a-z/]{0,20}", value in "[!-~]{1,30}",
            body in proptest::collection::vec(any::<u8>(), 0..200), piece in 1..50usize) {
        let mut headers = Headers::default();
        headers.add("x-a", &value);
        let request = Request { method: "POST".into(), path, headers, body: body.into() };
        let mut bytes = BytesMut::new();
        ClientCodec::default().encode(request.clone(), &mut bytes).unwrap();
        let (mut codec, mut buffer, mut read) = (ServerCodec::default(), BytesMut::new(), None);
        for part in bytes.chunks(piece) {
            buffer.extend_from_slice(part);
            read = read.or(codec.decode(&mut buffer).unwrap());
        }
        let read = read.unwrap();
        prop_assert_eq!((&read.path, &read.body), (&request.path, &request.body));
        prop_assert_eq!(read.headers.get("x-a"), Some(value.as_str()));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut text = BytesMut::from(&b"GET / HTTP/1.1\r\n"[..]);
        text.extend_from_slice(&bytes);
        text.extend_from_slice(b"\r\n\r\n");
        let _ = ServerCodec::default().decode(&mut text.clone());
        let _ = ClientCodec::default().decode(&mut text);
    }
}
