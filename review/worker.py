"""A worker as a process of its own, so that a case can stop and continue it. Standard library only.

It prints its port, then a line for each request whose last byte has come: the time on the monotonic clock, the id, the number
of body bytes. `work` of a request is told by its body: the first byte `L` takes LONG seconds, any other SHORT.
"""

import re
import socket
import sys
import threading
import time

SHORT, LONG = float(sys.argv[1]), float(sys.argv[2])


def serve(connection):
    buffer = b""
    while True:
        while b"\r\n\r\n" not in buffer:
            part = connection.recv(65536)
            if not part:
                return
            buffer += part
        head, _, buffer = buffer.partition(b"\r\n\r\n")
        length = re.search(rb"(?im)^content-length: *(\d+)", head)
        length = int(length[1]) if length else 0
        while len(buffer) < length:
            part = connection.recv(65536)
            if not part:
                return  # Its last byte never came.
            buffer += part
        body, buffer = buffer[:length], buffer[length:]
        rid = re.search(rb"(?im)^x-trace-id: *(\S+)", head)[1].decode()
        sys.stdout.write(f"{time.monotonic()} {rid} {length}\n")
        sys.stdout.flush()
        time.sleep(LONG if body[:1] == b"L" else SHORT)
        answer = f"done {rid}".encode()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)


def safely(connection):
    try:
        serve(connection)
    except OSError:
        pass
    finally:
        connection.close()


listener = socket.socket()
listener.bind(("127.0.0.1", 0))
listener.listen(512)
print(listener.getsockname()[1], flush=True)
while True:
    accepted, _ = listener.accept()
    accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    threading.Thread(target=safely, args=(accepted,), daemon=True).start()
