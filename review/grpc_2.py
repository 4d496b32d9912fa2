"""Stand-ins of the second review for `weirusher run`: a proxy (Check and StreamAccessLogs), discovery over EDS, and
backends that validate tickets. HTTP/2 and protocol buffers are written here as far as these need them."""

import asyncio
import base64
import hashlib
import hmac
import json
import struct
import time

from stand_ins_2 import HOST, CannotRun, Server, read_body, read_head, response

KEY_ID, SECRET = 1, "0123456789abcdef0123456789abcdef"
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE = 0, 1, 3, 4, 6, 7, 8
END_STREAM, END_HEADERS, ACK = 1, 4, 1


# ---- Protocol buffers ----

def varint(number):
    out = bytearray()
    while number > 0x7F:
        out.append(number & 0x7F | 0x80)
        number >>= 7
    out.append(number)
    return bytes(out)


def field(number, value):
    """A field: an int as a varint, text and bytes by length."""
    if isinstance(value, int):
        return varint(number << 3) + varint(value)
    value = value.encode() if isinstance(value, str) else value
    return varint(number << 3 | 2) + varint(len(value)) + value


def mapping(number, entries):
    return b"".join(field(number, field(1, key) + field(2, value)) for key, value in entries.items())


def fields(message):
    """All fields of a message as (number, value)."""
    at, out = 0, []

    def read():
        nonlocal at
        shift = value = 0
        while True:
            byte = message[at]
            at += 1
            value |= (byte & 0x7F) << shift
            shift += 7
            if byte < 0x80:
                return value

    while at < len(message):
        tag = read()
        kind = tag & 7
        if kind == 0:
            out.append((tag >> 3, read()))
        elif kind == 2:
            length = read()
            out.append((tag >> 3, message[at : at + length]))
            at += length
        else:
            size = 8 if kind == 1 else 4
            out.append((tag >> 3, message[at : at + size]))
            at += size
    return out


def first(message, number, default=b""):
    return next((value for found, value in fields(message) if found == number), default)


# ---- HTTP/2 ----

def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


async def read_frame(reader):
    head = await reader.readexactly(9)
    length = int.from_bytes(head[:3], "big")
    return head[3], head[4], int.from_bytes(head[5:9], "big") & 0x7FFFFFFF, await reader.readexactly(length)


def literal(name, value):
    """A header without indexing and without Huffman coding."""
    name, value = name.encode(), value.encode()
    assert len(name) < 127 and len(value) < 127
    return b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value


def grpc_message(message):
    return b"\x00" + struct.pack(">I", len(message)) + message


class Channel:
    """A proxy's connection to a gateway."""

    def __init__(self):
        self.next_stream = 1
        self.waiting = {}

    async def open(self, address):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.authority = address
        self.writer.write(PREFACE + frame(SETTINGS, 0, 0) + frame(WINDOW_UPDATE, 0, 0, struct.pack(">I", 1 << 24)))
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        bodies = {}
        try:
            while True:
                kind, flags, stream, payload = await read_frame(self.reader)
                if kind == SETTINGS and not flags & ACK:
                    self.writer.write(frame(SETTINGS, ACK, 0))
                elif kind == PING and not flags & ACK:
                    self.writer.write(frame(PING, ACK, 0, payload))
                elif kind == DATA:
                    bodies[stream] = bodies.get(stream, b"") + payload
                if kind == RST_STREAM or kind in (DATA, HEADERS) and flags & END_STREAM:
                    future = self.waiting.pop(stream, None)
                    if future and not future.done():
                        future.set_result(bodies.pop(stream, b""))
        except (OSError, asyncio.IncompleteReadError):
            pass
        for future in self.waiting.values():
            if not future.done():
                future.set_result(b"")

    def begin(self, path):
        stream, self.next_stream = self.next_stream, self.next_stream + 2
        head = (literal(":method", "POST") + literal(":scheme", "http") + literal(":path", path)
                + literal(":authority", self.authority) + literal("content-type", "application/grpc")
                + literal("te", "trailers"))
        self.writer.write(frame(HEADERS, END_HEADERS, stream, head))
        return stream

    async def call(self, path, message, seconds=8.0):
        """A unary call: the response's message, or None where there is none."""
        stream = self.begin(path)
        future = asyncio.get_running_loop().create_future()
        self.waiting[stream] = future
        self.writer.write(frame(DATA, END_STREAM, stream, grpc_message(message)))
        body = await asyncio.wait_for(future, seconds)
        return body[5:] if len(body) >= 5 else None

    def send(self, stream, message):
        self.writer.write(frame(DATA, 0, stream, grpc_message(message)))

    def close(self):
        self.task.cancel()
        self.writer.close()


class Proxy:
    """A proxy: asks by Check where an attempt may go, sends it there, and reports its end."""

    def __init__(self, record):
        self.record = record

    async def open(self, gateway):
        self.channel = await Channel().open(gateway)
        self.reports = await Channel().open(gateway)
        self.stream = self.reports.begin("/envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs")
        return self

    async def check(self, customer, path, ticket=None, patience_ms=None):
        """Allowed: (backend, ticket, timeout). Denied: (None, code, text)."""
        headers = {"x-customer": customer}
        if ticket:
            headers["x-weirusher-ticket"] = ticket
        if patience_ms:
            headers["x-envoy-expected-rq-timeout-ms"] = str(patience_ms)
        http = field(2, "POST") + mapping(3, headers) + field(4, path) + field(5, "backend.local")
        message = field(1, field(4, field(2, http)))
        answer = await self.channel.call("/envoy.service.auth.v3.Authorization/Check", message)
        if answer is None:
            raise CannotRun("a check had no answer")
        allowed = first(answer, 3, None)
        if allowed is None:
            denied = first(answer, 2)
            code = first(first(denied, 1), 1, 0)
            text = first(denied, 3).decode()
            self.record(f"check {customer} {path} {'retry' if ticket else 'first'}: denied {code} {text}")
            return None, code, text
        values = {}
        for number, option in fields(allowed):
            if number == 2:
                header = first(option, 1)
                values[first(header, 1).decode()] = first(header, 2).decode()
        backend, ticket_out = values["x-weirusher-server"], values["x-weirusher-ticket"]
        timeout = float(values["x-weirusher-timeout"])
        self.record(f"check {customer} {path} {'retry' if ticket else 'first'}: allowed, {backend}, {timeout:.3f} s")
        return backend, ticket_out, timeout

    def report(self, ticket, code=0, reset=False, connection_failure=False, ends_request=False):
        """An access log entry: of an attempt (UpstreamEnd), or of the request (DownstreamEnd)."""
        flags = (field(5, 1) if reset else b"") + (field(6, 1) if connection_failure else b"")
        common = (field(16, flags) if flags else b"") + field(33, 6 if ends_request else 9)
        request = mapping(13, {"x-weirusher-ticket": ticket})
        answer = field(1, field(1, code)) if code else b""
        entry = field(1, common) + field(3, request) + field(4, answer)
        self.reports.send(self.stream, field(2, field(1, entry)))
        self.record(f"report: code {code} reset {reset} connect-failure {connection_failure} request {ends_request}")

    def close(self):
        self.channel.close()
        self.reports.close()


class Eds(Server):
    """Discovery over EDS. `zones` is a list of (zone, sub-zone, [(address, health)])."""

    HEALTHY, DRAINING = 1, 3

    def __init__(self, record, zones):
        super().__init__()
        self.record, self.zones, self.version = record, zones, 1
        self.changed = asyncio.Event()
        self.acknowledged = 0

    def set(self, zones):
        self.version += 1
        self.zones = zones
        self.changed.set()
        self.changed = asyncio.Event()

    def list(self):
        localities = b""
        for zone, sub_zone, members in self.zones:
            endpoints = b""
            for address, health in members:
                host, port = address.rsplit(":", 1)
                socket = field(2, host) + field(3, int(port))
                endpoints += field(2, field(1, field(1, field(1, socket))) + field(2, health))
            locality = field(1, "loopback") + field(2, zone) + (field(3, sub_zone) if sub_zone else b"")
            localities += field(2, field(1, locality) + endpoints)
        kind = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
        any_list = field(1, kind) + field(2, field(1, "checkers") + localities)
        return field(1, str(self.version)) + field(2, any_list) + field(4, kind) + field(5, str(self.version))

    async def push(self, writer, stream):
        sent = 0
        while True:
            if sent < self.version:
                sent = self.version
                text = ", ".join(f"{z}/{s}: {' '.join(a for a, _ in m)}" for z, s, m in self.zones)
                self.record(f"discovery: list {sent} sent: {text}")
                writer.write(frame(DATA, 0, stream, grpc_message(self.list())))
                await writer.drain()
            else:
                await self.changed.wait()

    async def serve(self, reader, writer):
        await reader.readexactly(len(PREFACE))
        writer.write(frame(SETTINGS, 0, 0))
        pushing, bodies = None, b""
        try:
            while True:
                kind, flags, stream, payload = await read_frame(reader)
                if kind == SETTINGS and not flags & ACK:
                    writer.write(frame(SETTINGS, ACK, 0))
                elif kind == PING and not flags & ACK:
                    writer.write(frame(PING, ACK, 0, payload))
                elif kind == HEADERS and not pushing:
                    writer.write(frame(HEADERS, END_HEADERS, stream, b"\x88" + literal("content-type", "application/grpc")))
                    pushing = asyncio.ensure_future(self.push(writer, stream))
                elif kind == DATA:
                    writer.write(frame(WINDOW_UPDATE, 0, 0, struct.pack(">I", max(1, len(payload)))))
                    bodies += payload
                    while len(bodies) >= 5 and len(bodies) >= 5 + int.from_bytes(bodies[1:5], "big"):
                        length = int.from_bytes(bodies[1:5], "big")
                        message, bodies = bodies[5 : 5 + length], bodies[5 + length :]
                        version = first(message, 1).decode()
                        if version:
                            self.acknowledged = int(version)
                            self.record(f"discovery: list {version} acknowledged")
        finally:
            if pushing:
                pushing.cancel()


# ---- Backends ----

def ticket_fields(ticket):
    """The fields of a ticket that was signed with this fleet's key, or None."""
    parts = ticket.split(".")
    if len(parts) != 4 or parts[0] != "w1" or parts[1] != str(KEY_ID):
        return None
    pad = lambda text: base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    code = hmac.new(SECRET.encode(), ".".join(parts[:3]).encode(), hashlib.sha256).digest()[:16]
    if not hmac.compare_digest(code, pad(parts[3])):
        return None
    raw = pad(parts[2])
    issuer, incarnation, number, attempt, units, expires, group = struct.unpack(">IQQIddH", raw[:42])
    return {"id": (issuer, incarnation, number, attempt), "expires": expires, "backend": raw[42:].decode()}


class Group:
    """A group of backends that discards repeats of a key within the window, and the effects that it applied."""

    def __init__(self, name, window=10.0):
        self.name, self.window, self.keys = name, window, {}


class Backend(Server):
    """A backend: validates the ticket, applies a request once for each key in its group, and answers. Once `silent`, it
    says nothing more; `reset_all` then resets its connections."""

    def __init__(self, name, group, effects, record, delay=0.02):
        super().__init__()
        self.name, self.group, self.effects, self.record, self.delay = name, group, effects, record, delay
        self.used, self.silent, self.writers = set(), False, set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                _, head = await read_head(reader)
                await read_body(reader, head)
                ticket = ticket_fields(head.get("x-weirusher-ticket", ""))
                key = head.get("idempotency-key", "")
                valid = (ticket and ticket["backend"] == self.address() and ticket["id"] not in self.used
                         and time.time() <= ticket["expires"] + 0.25)
                if not valid:
                    self.record(f"{self.name}: {key} turned away, its ticket is not valid here")
                    writer.write(response(403, b"", "x-weirusher-turned-away: 1\r\n"))
                    continue
                self.used.add(ticket["id"])
                seen = self.group.keys.get(key)
                if seen is not None and time.monotonic() - seen < self.group.window:
                    self.record(f"{self.name}: {key} is a repeat in {self.group.name}, discarded")
                else:
                    self.group.keys[key] = time.monotonic()
                    self.effects.append((key, self.group.name, self.name))
                    self.record(f"{self.name}: {key} RUN, its effect applied in {self.group.name}")
                await asyncio.sleep(self.delay)
                while self.silent:
                    await asyncio.sleep(0.05)
                writer.write(response(200, b"done"))
                await writer.drain()
        finally:
            self.writers.discard(writer)

    def reset_all(self):
        import socket
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


async def send_attempt(backend, ticket, path, key, timeout):
    """A proxy's attempt: the status code, or 0 where the connection broke, or None after the timeout."""
    host, port = backend.rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return -1
    try:
        writer.write(f"POST {path} HTTP/1.1\r\nHost: backend.local\r\nIdempotency-Key: {key}\r\n"
                     f"X-Weirusher-Ticket: {ticket}\r\nContent-Length: 0\r\n\r\n".encode())
        line, head = await asyncio.wait_for(read_head(reader), timeout)
        await read_body(reader, head)
        return int(line.split(" ")[1])
    except asyncio.TimeoutError:
        return None
    except (OSError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()


def configuration(path, eds, classes, extra_discovery="", gateways=1, number=0):
    """A configuration like deploy/gatekeeper.toml: without a counter, one plan, the given classes."""
    with open(path, "w", encoding="ascii") as file:
        file.write(f"""default_plan = "large"

[instance]
number = {number}
gateways = {gateways}

[listen]
ext_authz = "{HOST}:0"
admin = "{HOST}:0"
connections = 1024
streams = 1024
drain_seconds = 10

[[tickets.keys]]
id = {KEY_ID}
secret = "{SECRET}"

[discovery]
address = "{eds}"
cluster = "checkers"
{extra_discovery}

[limits]
open = 10000
attempts = 3
retry_after_seconds = 5

[request]
customer_header = "x-customer"

[[plan]]
name = "large"
rate = 100.0
burst = 200.0

{classes}
""")


def read_addresses(process):
    """The line of JSON that `weirusher run` prints."""
    line = process.stdout.readline()
    if not line:
        raise CannotRun("the gateway printed no addresses")
    return json.loads(line)
