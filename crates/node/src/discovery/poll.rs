//! One poll for the endpoint list.

use crate::receive::receive;
use bytes::Bytes;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use weirusher_buffers::{ByteBudget, Growth, ReadBuffer};
use weirusher_core::WatchConnection;
use weirusher_platform::list::{ListError, MAX_LIST_BYTES};
use weirusher_platform::response::ResponseReader;
use weirusher_wire::http1::{HttpError, MAX_HEAD_BYTES};

/// Sizes of the read buffer, beside which the list has memory of its own.
const BUFFER_GROWTH: Growth = Growth { initial: 4096, max: MAX_HEAD_BYTES + 4096 };

/// The response to a poll.
pub(super) struct PollResponse {
    /// The connection, if it can be reused.
    pub stream: Option<TcpStream>,
    pub body: Bytes,
}

/// Why a poll returned no usable list.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    /// The connection failed or closed before the end of the response.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The response is malformed.
    #[error(transparent)]
    Malformed(#[from] HttpError),
    /// The status code of the response is not 200.
    #[error("unexpected status code {0}")]
    Status(u16),
    /// The list is invalid.
    #[error(transparent)]
    List(#[from] ListError),
    /// The response contains only changes, and no list is in use or the list in use is newer.
    #[error("the response has only changes, but no list is in use or the list in use is newer")]
    OutdatedChanges,
    /// No response arrived in time; another poll is sent on a new connection.
    #[error("no response in time")]
    Timeout,
}

/// A poll to be made.
pub(super) struct Poll {
    pub connection: WatchConnection,
    pub address: SocketAddr,
    /// The connection to reuse; `None` opens a new one.
    pub stream: Option<TcpStream>,
    /// The request target.
    pub target: String,
    /// Grants the memory for the response.
    pub budget: ByteBudget,
    /// Receives the connection's id when a part of the response has been read.
    pub started: UnboundedSender<WatchConnection>,
}

impl Poll {
    /// Sends the poll and reads the complete response.
    ///
    /// # Errors
    /// The connection failed, or the response is malformed or not a 200.
    pub async fn send(self) -> Result<PollResponse, PollError> {
        let stream = match self.stream {
            Some(stream) => stream,
            None => weirusher_net::connect(self.address).await?,
        };
        let request = format!("GET {} HTTP/1.1\r\nHost: discovery.local\r\n\r\n", self.target);
        weirusher_net::write_all(&stream, request.as_bytes()).await?;
        let mut reader = ResponseReader::new(MAX_LIST_BYTES, self.budget.clone());
        let mut buffer = ReadBuffer::new(BUFFER_GROWTH, self.budget);
        loop {
            let response = match receive(&stream, &mut buffer, &mut reader).await?? {
                0 => Some(reader.finish().ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?),
                _ => reader.read(&mut buffer)?,
            };
            if let Some(response) = response {
                if response.status != 200 {
                    return Err(PollError::Status(response.status));
                }
                let stream = (!response.closes_connection).then_some(stream);
                return Ok(PollResponse { stream, body: response.body.to_bytes() });
            }
            let _ = self.started.send(self.connection); // Without a receiver, this poll is abandoned as well.
        }
    }
}
