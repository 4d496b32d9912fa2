//! Bodies of each framing: the result does not depend on how the bytes are split, and the size bound holds.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use weirusher_buffers::ByteBudget;
use weirusher_wire::body::{BodyReader, Framing};
use weirusher_wire::head::{EMPTY_HEADERS, parse_request};
use weirusher_wire::http1::HttpError;

const MAX_LENGTH: usize = 1000;

/// The result of a reader for bytes that arrive in pieces, and the bytes that it did not consume.
fn read(framing: Framing, bytes: &[u8], piece: usize) -> Result<(Option<Bytes>, BytesMut), HttpError> {
    let (mut reader, mut src) = (BodyReader::new(framing, MAX_LENGTH, ByteBudget::new(0)), BytesMut::new());
    let mut body = reader.read(&mut src)?;
    for part in bytes.chunks(piece.max(1)) {
        src.extend_from_slice(part);
        if body.is_none() {
            body = reader.read(&mut src)?;
        }
        assert!(reader.buffered() <= MAX_LENGTH);
    }
    let body = body.or_else(|| reader.finish());
    Ok((body.map(|body| body.to_bytes()), src))
}

fn chunked(text: &str) -> Result<Option<Bytes>, HttpError> {
    read(Framing::Chunked, text.as_bytes(), text.len()).map(|(body, _)| body)
}

#[test]
fn chunks_are_joined_and_extensions_and_trailers_dropped() {
    for (text, body) in [
        ("0\r\n\r\n", Some("")),
        ("5\r\nessay\r\n0\r\n\r\n", Some("essay")),
        ("2\r\nes\r\n003\r\nsay\r\n00\r\n\r\n", Some("essay")),
        ("5;name=value\r\nessay\r\n0;last\r\nX-Digest: 1\r\nX-More: 2\r\n\r\n", Some("essay")),
        ("5 \r\nessay\r\n0\r\n\r\n", Some("essay")),
        ("A\r\n0123456789\r\n0\r\n\r\n", Some("0123456789")),
        ("5\r\nessay\r\n0\r\n", None),
        ("5\r\nessay\r\n0\r\nX-Digest: 1\r\n", None),
        ("5\r\nessay\r\n", None),
        ("5\r\ness", None),
    ] {
        assert_eq!(chunked(text).unwrap(), body.map(Bytes::from), "{text:?}");
    }
}

#[test]
fn malformed_chunks_and_bodies_beyond_the_bound_are_errors() {
    for bad in ["\r\n\r\n", "-1\r\n", "x\r\n", " 5\r\nessay", "5\nessay\r\n", "5\r\nessays\r\n0\r\n\r\n"] {
        assert!(matches!(chunked(bad), Err(HttpError::Malformed(_))), "{bad:?}");
    }
    assert!(matches!(chunked(&format!("5;{}", "x".repeat(2000))), Err(HttpError::Malformed(_))));
    assert!(matches!(chunked(&format!("0\r\nX: {}", "x".repeat(20_000))), Err(HttpError::HeadTooLarge)));
    for large in ["3e9\r\n", "ffffffffffffffff\r\n"] {
        assert!(matches!(chunked(large), Err(HttpError::BodyTooLarge)), "{large:?}");
    }
    let two = format!("3e8\r\n{}\r\n1\r\n", "x".repeat(MAX_LENGTH));
    assert!(
        matches!(chunked(&two), Err(HttpError::BodyTooLarge)),
        "the bound applies to the sum of the chunks"
    );
    let endless = vec![b'x'; MAX_LENGTH + 1];
    assert!(matches!(read(Framing::UntilClose, &endless, 64), Err(HttpError::BodyTooLarge)));
}

#[test]
fn a_head_states_one_framing_or_none() {
    let framing = |fields: &str| {
        let head = format!("POST / HTTP/1.1\r\nHost: x\r\n{fields}\r\n");
        let mut slots = EMPTY_HEADERS;
        parse_request(head.as_bytes(), &mut slots)
            .unwrap()
            .fields
            .framing(MAX_LENGTH)
            .map_err(|error| error.to_string())
    };
    assert_eq!(framing(""), Ok(None));
    assert_eq!(framing("Content-Length: 7\r\n"), Ok(Some(Framing::Length(7))));
    assert_eq!(framing("transfer-ENCODING:   Chunked \r\n"), Ok(Some(Framing::Chunked)));
    for bad in [
        "Content-Length: 7\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Content-Length: 1001\r\n",
    ] {
        assert!(framing(bad).is_err(), "{bad}");
    }
}

/// As [`read`], with the bytes that the reader expects passed to it past the source buffer.
fn read_directly(
    framing: Framing,
    mut bytes: &[u8],
    piece: usize,
) -> Result<(Option<Bytes>, Vec<u8>), HttpError> {
    let (mut reader, mut src) = (BodyReader::new(framing, MAX_LENGTH, ByteBudget::new(0)), BytesMut::new());
    let mut body = reader.read(&mut src)?;
    while body.is_none() && !bytes.is_empty() {
        let expected = reader.expected();
        let (part, rest) =
            bytes.split_at(piece.min(if expected > 0 { expected } else { 1 }).min(bytes.len()));
        match expected {
            0 => src.extend_from_slice(part),
            _ => reader.append(part)?,
        }
        bytes = rest;
        body = reader.read(&mut src)?;
    }
    let body = body.or_else(|| reader.finish());
    Ok((body.map(|body| body.to_bytes()), [&src[..], bytes].concat()))
}

proptest! {
    #[test]
    fn the_split_of_a_body_does_not_change_it(chunks in proptest::collection::vec("[a-z]{1,40}", 0..8),
            extension in "(;[a-z]{0,9})?", trailers in "(X-[a-z]{1,9}: [a-z]{0,9}\r\n){0,3}",
            behind in "[ -~]{0,20}", piece in 1..30usize) {
        let whole = chunks.concat();
        let mut text: String =
            chunks.iter().map(|chunk| format!("{:x}{extension}\r\n{chunk}\r\n", chunk.len())).collect();
        text += &format!("0\r\n{trailers}\r\n{behind}");
        let forms = [(Framing::Chunked, text), (Framing::Length(whole.len()), format!("{whole}{behind}"))];
        for (framing, text) in forms {
            let (body, rest) = read(framing, text.as_bytes(), piece).unwrap();
            prop_assert_eq!(body.as_deref(), Some(whole.as_bytes()));
            prop_assert_eq!(&rest[..], behind.as_bytes());
            let (body, rest) = read_directly(framing, text.as_bytes(), piece).unwrap();
            prop_assert_eq!(body.as_deref(), Some(whole.as_bytes()));
            prop_assert_eq!(&rest[..], behind.as_bytes());
        }
        let (body, rest) = read(Framing::UntilClose, whole.as_bytes(), piece).unwrap();
        prop_assert_eq!((body.as_deref(), rest.len()), (Some(whole.as_bytes()), 0));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(Framing::Chunked, &bytes, 7);
    }
}
