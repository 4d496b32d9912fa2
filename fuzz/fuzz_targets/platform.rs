//! Arbitrary bytes cause no panic in the parsers of the platform, and responses decode the same from any split.
#![no_main]

use bytes::BytesMut;
use libfuzzer_sys::fuzz_target;
use weirusher_buffers::ByteBudget;
use weirusher_platform::config::Config;
use weirusher_platform::list::ListState;
use weirusher_platform::response::ResponseReader;
use weirusher_platform::backend;

/// The status codes of the decoded responses; `None` stands for an error.
fn read(bytes: &[u8], piece: usize) -> Vec<Option<u16>> {
    let (mut reader, mut buffer, mut statuses) = (ResponseReader::new(1024, ByteBudget::new(0)), BytesMut::new(), Vec::new());
    for part in bytes.chunks(piece) {
        buffer.extend_from_slice(part);
        loop {
            match reader.read(&mut buffer) {
                Ok(Some(response)) => statuses.push(Some(response.status)),
                Ok(None) => break,
                Err(_) => {
                    statuses.push(None);
                    return statuses;
                }
            }
        }
    }
    statuses
}

fuzz_target!(|bytes: &[u8]| {
    if !bytes.is_empty() {
        assert_eq!(read(bytes, bytes.len()), read(bytes, 1 + bytes.len() / 3));
    }
    let _ = ListState::default().apply(bytes);
    let _ = Config::parse(bytes);
    if let Ok(text) = std::str::from_utf8(bytes) {
        let _ = backend::parse_load_report(text);
    }
});
