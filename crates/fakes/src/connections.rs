//! Accepts connections and serves each of them in its own task.

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Serves the connections of a listener; never returns. Dropping the future closes all connections, as killing a
/// process does.
pub(crate) async fn serve<F>(listener: TcpListener, mut serve_connection: impl FnMut(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let _ = stream.set_nodelay(true); // If this fails, responses are only slower.
                    connections.spawn(serve_connection(stream));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}
