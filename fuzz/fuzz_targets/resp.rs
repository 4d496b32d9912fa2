//! Arbitrary bytes in two pieces cause no panic in the RESP codec.
#![no_main]

use bytes::BytesMut;
use libfuzzer_sys::fuzz_target;
use tokio_util::codec::Decoder;
use weirusher_wire::resp::{RespCodec, number, words};

fuzz_target!(|data: &[u8]| {
    let Some((&split_at, bytes)) = data.split_first() else { return };
    let (first, second) = bytes.split_at(usize::from(split_at).min(bytes.len()));
    let mut buffer = BytesMut::new();
    for piece in [first, second] {
        buffer.extend_from_slice(piece);
        while let Ok(Some(frame)) = RespCodec.decode(&mut buffer) {
            let _ = (number(&frame), words(&frame));
        }
    }
});
