//! Accepts client connections.

use crate::client_slot::ClientSlot;
use crate::client_socket::ClientSocket;
use crate::connection::Connection;
use crate::context::NodeContext;
use std::rc::Rc;
use tokio::net::TcpStream;
use weirusher_net::Listener;

/// Accepts connections while slots are free, until it is asked to stop and the backlog is empty.
pub async fn accept(node: Rc<NodeContext>, mut listener: Listener) {
    loop {
        while !node.state.borrow().slots.has_free() {
            node.eviction_wakeup.set(node.state.borrow().slots.next_eviction());
            node.slot_freed.notified().await;
        }
        tokio::select! {
            // The backlog first: closing the listener would reset these connections, and their requests would
            // be lost.
            biased;
            stream = listener.accept() => serve(&node, stream),
            () = node.stop_accepting.notified() => return,
        }
    }
}

fn serve(node: &Rc<NodeContext>, stream: TcpStream) {
    node.connections.accepted();
    let (slot, close_signal) = ClientSlot::take(node);
    let connection = Connection::new(slot, ClientSocket::new(stream), close_signal);
    tokio::task::spawn_local(connection.serve());
}
