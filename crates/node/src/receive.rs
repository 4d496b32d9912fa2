//! Receives responses.

use std::io;
use tokio::net::TcpStream;
use weirusher_buffers::ReadBuffer;
use weirusher_platform::response::ResponseReader;
use weirusher_wire::http1::HttpError;

/// Waits for bytes of a response. Those that belong to its body go to `reader`, others to `buffer`, which `reader` reads
/// from next. `Ok(Ok(0))` means that the peer has closed its side. Cancel safe.
///
/// # Errors
/// The outer error is one of the connection; the inner one means that the body is too long or its budget is exhausted.
pub async fn receive(
    stream: &TcpStream,
    buffer: &mut ReadBuffer,
    reader: &mut ResponseReader,
) -> io::Result<Result<usize, HttpError>> {
    match reader.expected() {
        0 => weirusher_net::read(stream, buffer).await.map(Ok),
        expected => {
            let append = |bytes: &[u8]| reader.append(bytes).map(|()| bytes.len());
            weirusher_net::read_chunk(stream, expected, append).await
        }
    }
}
