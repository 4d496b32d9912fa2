"""Stand-ins for the platform around one gateway, after the operators' pages, with the standard library only.

Discovery's agent, the counter, workers and clients run in this process; the gateway is started with the command `run`
of deploy/balancer.toml. Every address is in 127.0.0.0/8 with a free port. Times in the record are seconds after the start.
"""

import asyncio
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()
BROKEN = 10  # run.sh makes it 1; a failed start of Python must not pass for a broken rule.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - START


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, case):
        self.file = open(os.path.join(case, "record.txt"), "w", buffering=1)

    def add(self, text):
        self.file.write(f"{now():9.4f} {text}\n")

    def say(self, text):
        self.add(text)
        print(text, flush=True)


def head_value(head, name):
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name.lower():
            return value.strip()
    return None


async def read_message(reader):
    """Reads one HTTP message with a Content-Length or without a body. None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        body = await reader.readexactly(int(head_value(head, "content-length") or 0))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return head, body


def response(status, body=b"", headers=""):
    return f"HTTP/1.1 {status} -\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def listen(handler, host="127.0.0.1"):
    server = await asyncio.start_server(handler, host, 0, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


def reset(writer):
    """Ends a connection with a reset, as the machine of a process that died does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Discovery:
    """The agent: answers at once with what it has, and holds a watch until something newer exists."""

    def __init__(self):
        self.index, self.entries, self.changed = 2, {}, asyncio.Event()

    async def start(self):
        self.server, self.port = await listen(self.serve)

    def set(self, entry):
        self.index += 1
        self.entries[entry["name"]] = (self.index, entry)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                target = message[0].split(" ")[1]
                since = re.search(r"since=(\d+)", target)
                wait = re.search(r"timeout_ms=(\d+)", target)
                if since and int(since[1]) >= self.index and wait:
                    try:
                        await asyncio.wait_for(self.changed.wait(), min(int(wait[1]), 60000) / 1e3)
                    except asyncio.TimeoutError:
                        pass
                newer = int(since[1]) if since else -1
                entries = [e for v, e in self.entries.values() if v > newer and (since or e["status"] != "DELETED")]
                body = {"index": self.index, "snapshot": not since, "endpoints": entries}
                writer.write(response(200, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Counter:
    """The counter: adds to named numbers, and answers in the order of the calls."""

    def __init__(self):
        self.numbers = {}

    async def start(self):
        self.server, self.port = await listen(self.serve)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                match = re.match(r"POST /v2/numbers/([^?]+)\?delta=([-0-9.]+)&life_ms=(\d+)", message[0])
                if not match:
                    writer.write(response(400))
                    continue
                name, delta, life = match[1], float(match[2]), min(max(int(match[3]), 1), 60000) / 1e3
                total, until = self.numbers.get(name, (0.0, 0.0))
                if now() >= until:
                    total, until = 0.0, now() + life
                self.numbers[name] = (total + delta, until)
                writer.write(response(200, f"{total + delta:.7g}".encode()))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Worker:
    """A worker. `behave(worker, request, writer)` answers; the default is a body made for the request."""

    def __init__(self, name, record, behave=None):
        self.name, self.record, self.behave, self.received, self.connections = name, record, behave, [], 0

    async def start(self):
        self.server, self.port = await listen(self.serve)

    def entry(self, zone="a", group=0, status="SERVING"):
        return {"name": self.name, "address": f"127.0.0.1:{self.port}", "zone": zone, "type": "m", "group": group,
                "status": status, "weight": 1.0, "since_ms": 0}

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while (message := await read_message(reader)) is not None:
                head, body = message
                request = {"method": head.split(" ")[0], "target": head.split(" ")[1], "id": head_value(head, "X-Trace-Id"),
                           "expires": head_value(head, "X-Expires-In"), "body": body, "at": now(), "worker": self.name}
                self.received.append(request)
                self.record.add(f"worker {self.name}: received {request['method']} {request['id']} expires {request['expires']}")
                if self.behave is not None:
                    await self.behave(self, request, reader, writer)
                else:
                    writer.write(response(200, f"done {request['id']}".encode()))
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Delay:
    """A network between the gateway and a worker: each direction takes `seconds`."""

    def __init__(self, port, seconds):
        self.to, self.seconds = port, seconds

    async def start(self):
        self.server, self.port = await listen(self.serve)

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError:
            return reset(writer)
        loop = asyncio.get_running_loop()
        for end in (writer, far_writer):
            end.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        async def carry(source, target):
            try:
                while data := await source.read(65536):
                    loop.call_later(self.seconds, target.write, data)
            except (ConnectionError, OSError):
                pass
            loop.call_later(self.seconds, target.close)

        await asyncio.gather(carry(reader, far_writer), carry(far_reader, writer))


def settings(**change):
    """The settings of a small deployment, after the example of the wire's page."""
    value = {
        "PeersTotal": 1, "Me": 0, "Locality": 0, "Dcs": ["a"], "Step": 0.002, "Discovery": "push",
        "Domain": {"HasCounter": True, "CountLimit": 0.05, "MaxUnits": 1.0},
        "Limits": {"SendCap": 4, "SecondCopies": True, "Cancelling": True, "RetryAfter": True, "MaxRetryAfter": 1.0,
                   "ConnIdle": 30.0, "ConnectTimeout": 0.25, "OpenCap": 20000, "MayProbe": False},
        "Rules": {"StopSendingWithin": 0.5, "AnswerSlack": 0.05, "Cold": 16.0, "ColdFrom": 0.25, "Fall": 1.0,
                  "FallMultiple": 4.0},
        "Classes": [{"Name": "check", "Effect": "idempotent", "Slo": 2.0, "Deadline": 6.0, "LateWorth": 0.0},
                    {"Name": "store", "Effect": "at_most_once", "Slo": 2.0, "Deadline": 6.0, "LateWorth": 0.0}],
        "Plans": [{"Name": "team", "QuotaRate": 1000.0, "Depth": 1000.0, "Pays": 1.0}],
    }
    value.update(change)
    return value


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.M)[1]


class Gateway:
    """A gateway process, started as the operators do, from the root by /bin/sh -c."""

    def __init__(self, folder, record, discovery, counter, known=(), memory_mb=192, sockets=256, name="n0", config=None):
        self.record, self.name = record, name
        with socket.socket() as free:  # The port is free again once this socket is closed.
            free.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        self.file = os.path.join(folder, f"{name}.json")
        self.log_file = os.path.join(folder, f"{name}.log")
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery.port}",
            "counter": f"127.0.0.1:{counter.port}", "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"index": 1, "snapshot": True, "endpoints": list(known)}, "settings": config or settings(),
        }
        self.process = None

    async def start(self):
        with open(self.file, "w") as file:
            json.dump(self.config, file)
        log = open(self.log_file, "w")
        environment = dict(os.environ, NODE_CONFIG=self.file, NODE_NAME=self.name, NODE_LISTEN=self.config["listen"],
                           NODE_DISCOVERY=self.config["discovery"])
        environment.setdefault("RUST_LOG", "warn,weirusher_node=info")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True)
        self.record.add(f"gateway {self.name}: started as process {self.process.pid}")
        await self.wait_ready()

    async def wait_ready(self):
        for _ in range(600):
            if self.process.returncode is not None:
                raise CannotRun(f"the gateway ended with {self.process.returncode}: {open(self.log_file).read()[-500:]}")
            try:
                client = await Client.connect(self.port)
                client.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = await client.response(2)
                client.close()
                if answer and answer[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway was not ready within 30 s")

    def signal(self, number):
        self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


def request(rid, kind="check", plan="team", budget_ms=3000, body=b"", customer=0xb4d65521, extra=""):
    """A usual client's request, as the protocol's page shows it."""
    method = "GET" if kind == "check" else "POST"
    length = "" if method == "GET" else f"Content-Length: {len(body)}\r\n"
    return (f"{method} /api/{customer:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {rid}\r\nX-Qos: {kind}\r\n"
            f"Plan: {plan}\r\nX-Expires-In: {budget_ms}m\r\n{length}Quota-Info: units=1,spread=1,first=0\r\n{extra}\r\n"
            ).encode() + body


def new_id():
    return os.urandom(8).hex()


class Client:
    """A client's connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(reader, writer)

    async def response(self, timeout):
        """The status and body of the next response; None at the end of the connection. TimeoutError if none comes."""
        message = await asyncio.wait_for(read_message(self.reader), timeout)
        return None if message is None else (int(message[0].split(" ")[1]), message[1], message[0])

    def close(self):
        self.writer.close()


async def finish(gateways):
    for gateway in gateways:
        await gateway.stop()


def main(case, play, limit=110):
    """Plays a case. Exits with BROKEN if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(case)
    gateways = []

    async def run():
        # A connection's task that is cancelled at the end of a case is no error.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as folder:
            try:
                return await asyncio.wait_for(play(record, folder, gateways), limit)
            finally:
                await finish(gateways)
                for gateway in gateways:
                    if os.path.exists(gateway.log_file):
                        record.add(f"log of {gateway.name}:")
                        record.file.write(open(gateway.log_file, errors="replace").read()[-20000:])

    try:
        broken = asyncio.run(run())
    except CannotRun as error:
        record.say(f"could not run: {error}")
        os._exit(2)
    except (Exception, asyncio.CancelledError) as error:
        record.say(f"could not run: {error!r}")
        record.add(traceback.format_exc())
        os._exit(2)
    record.say("RULE BROKEN" if broken else "rule held")
    record.file.close()
    sys.stdout.flush()
    os._exit(BROKEN if broken else 0)
