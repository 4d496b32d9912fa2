//! Frames that arrive in pieces, lengths that are out of bounds, commands and numeric responses.

use super::*;
use proptest::prelude::{Just, any, prop_assert, prop_assert_eq, prop_oneof, proptest};

#[test]
fn an_add_is_a_set_and_an_incrbyfloat() {
    let mut bytes = BytesMut::new();
    write_add(&mut bytes, 0xab, -1.5, 2.0);
    let mut codec = RespCodec;
    let set = codec.decode(&mut bytes).unwrap().unwrap();
    assert_eq!(words(&set).unwrap(), ["SET", "w:ab", "0", "PX", "2000", "NX"]);
    let add = codec.decode(&mut bytes).unwrap().unwrap();
    assert_eq!(words(&add).unwrap(), ["INCRBYFLOAT", "w:ab", "-1.5"]);
    assert!(bytes.is_empty());
}

#[test]
fn announced_lengths_are_rejected_before_anything_is_allocated() {
    for text in
        ["$99999999\r\n", "*65\r\n", "*999999999999999999999\r\n", "$-7\r\n", "*1\r\n*1\r\n", "GET /\r\n"]
    {
        assert!(RespCodec.decode(&mut BytesMut::from(text)).is_err(), "{text}");
    }
}

#[test]
fn responses_of_other_types_are_not_numbers() {
    let number_of = |text: &str| number(&RespCodec.decode(&mut BytesMut::from(text)).unwrap().unwrap());
    assert_eq!(number_of("$3\r\n1.5\r\n"), Some(1.5));
    assert_eq!(number_of(":7\r\n"), Some(7.0));
    for text in ["-WRONGTYPE no\r\n", "*0\r\n", "$3\r\nnan\r\n", "$-1\r\n", "+OK\r\n"] {
        assert_eq!(number_of(text), None, "{text}");
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_to_frames_or_an_error(
        bytes in proptest::collection::vec(prop_oneof![any::<u8>(), Just(b'\r'), Just(b'\n'), Just(b'$'),
            Just(b'*'), Just(b'1')], 0..300), piece in 1..40usize) {
        let (mut codec, mut buffer) = (RespCodec, BytesMut::new());
        'pieces: for part in bytes.chunks(piece) {
            buffer.extend_from_slice(part);
            loop {
                match codec.decode(&mut buffer) {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => break 'pieces,
                }
            }
        }
        prop_assert!(buffer.len() <= 300);
    }

    #[test]
    fn encoded_commands_decode_to_the_same_words(words_in in proptest::collection::vec("[ -~]{0,20}", 1..8)) {
        let expected: Vec<&str> = words_in.iter().map(String::as_str).collect();
        let mut bytes = BytesMut::new();
        RespCodec.encode(command(&expected), &mut bytes).unwrap();
        let frame = RespCodec.decode(&mut bytes).unwrap().unwrap();
        prop_assert_eq!(words(&frame).unwrap(), expected);
    }
}
