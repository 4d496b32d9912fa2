//! Accepts clients' connections.

use crate::client_socket::ClientSocket;
use crate::connection::Connection;
use crate::context::NodeContext;
use std::rc::Rc;
use tokio::net::TcpStream;
use weirusher_net::Listener;

/// Accepts connections while there are slots, until the last is called for and nobody waits.
pub async fn accept(node: Rc<NodeContext>, mut listener: Listener) {
    loop {
        while !node.state.borrow().slots.has_free() {
            node.idlers.set(node.state.borrow().slots.next_eviction());
            node.slot.notified().await;
        }
        tokio::select! {
            // First those that wait: a connection that was made is not reset with its request on it.
            biased;
            stream = listener.accept() => serve(&node, stream),
            () = node.last.notified() => return,
        }
    }
}

fn serve(node: &Rc<NodeContext>, stream: TcpStream) {
    node.connections.accepted();
    let (slot, close) = node.take_slot();
    tokio::task::spawn_local(Connection::new(slot, ClientSocket::new(stream), close).serve());
}
