//! Arbitrary bytes in two pieces, as requests and as responses, cause no panic.
#![no_main]

use bytes::BytesMut;
use libfuzzer_sys::fuzz_target;
use tokio_util::codec::Decoder;
use weirusher_wire::http1::{ClientCodec, ServerCodec};

fn decode<D: Decoder>(mut codec: D, pieces: [&[u8]; 2]) {
    let mut buffer = BytesMut::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
    }
}

fuzz_target!(|data: &[u8]| {
    let Some((&split_at, bytes)) = data.split_first() else { return };
    let (first, second) = bytes.split_at(usize::from(split_at).min(bytes.len()));
    decode(ServerCodec::default(), [first, second]);
    decode(ClientCodec::default(), [first, second]);
});
