"""Stand-ins for the cases of the second review: the platform's discovery agent, counter, workers and clients, and the
configuration of `weirusher node`. Standard library only, loopback addresses only."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
WEIRUSHER = os.path.join(ROOT, "target", "release", "weirusher")
START = time.monotonic()


class CannotRun(Exception):
    """The case could not be run: the script exits with 2."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - START:9.4f} {text}\n")
        self.file.flush()


def free_port():
    import socket

    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Gateway:
    """A process of weirusher, ended with the block."""

    def __init__(self, arguments, folder, name, environment=None, stdout=None):
        self.log = open(os.path.join(folder, f"{name}.log"), "wb")
        if not os.access(WEIRUSHER, os.X_OK):
            raise CannotRun("target/release/weirusher is not built")
        self.process = subprocess.Popen(
            [WEIRUSHER, *arguments],
            env={**os.environ, **(environment or {})},
            stdin=subprocess.DEVNULL,
            stdout=stdout or self.log,
            stderr=self.log,
        )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()

    def resident_mb(self, field="VmRSS"):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith(field):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0


async def read_head(reader):
    """Reads the head of an HTTP message: its first line and its headers by lower-case name."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            fields[key.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    return await reader.readexactly(int(fields.get("content-length", "0")))


def response(status, body=b"", extra=""):
    return f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


class Server:
    """A stand-in that listens on a port and serves each connection with `serve`."""

    def __init__(self):
        self.server = None
        self.port = None
        self.tasks = set()

    async def start(self, port=0):
        async def connected(reader, writer):
            task = asyncio.current_task()
            self.tasks.add(task)
            try:
                await self.serve(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                pass
            except asyncio.CancelledError:
                pass
            finally:
                self.tasks.discard(task)
                writer.close()

        self.server = await asyncio.start_server(connected, HOST, port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def address(self):
        return f"{HOST}:{self.port}"

    async def serve(self, reader, writer):
        raise NotImplementedError


class Discovery(Server):
    """The agent: answers at once with the list, and a watch when the list is newer or the wait is over."""

    def __init__(self, entries):
        super().__init__()
        self.index = 1
        self.entries = entries
        self.changed = asyncio.Event()

    def set(self, entries):
        self.index += 1
        self.entries = entries
        self.changed.set()
        self.changed = asyncio.Event()

    def list(self):
        return {"index": self.index, "snapshot": True, "endpoints": self.entries}

    async def serve(self, reader, writer):
        while True:
            line, fields = await read_head(reader)
            await read_body(reader, fields)
            target = line.split(" ")[1]
            query = dict(part.split("=") for part in target.partition("?")[2].split("&") if "=" in part)
            if "since" in query and int(query["since"]) >= self.index:
                try:
                    await asyncio.wait_for(self.changed.wait(), int(query.get("timeout_ms", "0")) / 1e3)
                except asyncio.TimeoutError:
                    pass
            if "since" in query and int(query["since"]) >= self.index:
                body = {"index": self.index, "snapshot": False, "endpoints": []}
            else:
                body = self.list()
            writer.write(response(200, json.dumps(body).encode()))
            await writer.drain()


class Counter(Server):
    """The counter: adds and answers with the total."""

    def __init__(self):
        super().__init__()
        self.totals = {}

    async def serve(self, reader, writer):
        while True:
            line, fields = await read_head(reader)
            await read_body(reader, fields)
            path, _, query = line.split(" ")[1].partition("?")
            query = dict(part.split("=") for part in query.split("&"))
            now = time.monotonic()
            total, ends = self.totals.get(path, (0.0, 0.0))
            if now >= ends:
                total, ends = 0.0, now + float(query["life_ms"]) / 1e3
            total += float(query["delta"])
            self.totals[path] = (total, ends)
            writer.write(response(200, f"{total:.6f}".encode()))


class Worker(Server):
    """A worker: runs a request when its last byte has come, and answers with its id."""

    def __init__(self, name, record, delay=0.005):
        super().__init__()
        self.name, self.record, self.delay = name, record, delay

    async def serve(self, reader, writer):
        while True:
            line, fields = await read_head(reader)
            await read_body(reader, fields)
            identity = fields.get("x-trace-id", "")
            self.record(f"worker {self.name}: begins {identity} expires-in {fields.get('x-expires-in')}")
            await asyncio.sleep(self.delay)
            writer.write(response(200, f"answer {identity}".encode()))
            await writer.drain()

    def entry(self, zone="hall-a", group=0, status="SERVING", since_ms=0):
        return {
            "name": self.name, "address": self.address(), "zone": zone, "type": "std-3core", "group": group,
            "status": status, "weight": 1.0, "since_ms": since_ms,
        }


def settings(**changes):
    """The settings object of a small deployment after the example of the wire page."""
    base = {
        "Classes": [{"Deadline": 6.0, "Effect": "idempotent", "Group": "all", "LateWorth": 0.0,
                     "Name": "check-answer", "Slo": 2.0, "Streamed": False, "Window": 5.0, "Worth": 1.0}],
        "Clients": {"MarksRetry": True},
        "Dcs": ["hall-a", "hall-b", "hall-c"],
        "Discovery": "push",
        "Domain": {"CallPrice": 0.01, "CountLimit": 0.05, "HasCounter": True, "MailPerS": 0.0, "MaxUnits": 1,
                   "MeterPeriod": 0.0, "PostPaid": False},
        "DomainType": "gate",
        "Goal": {"Whole": 0.55, "WorstClass": 0.0, "WorstTenant": 0.25, "WorstWindow": 0.2},
        "Kinds": ["std-3core"],
        "Layer": 0,
        "Limits": {"Cancelling": True, "ConnIdle": 30.0, "ConnectTimeout": 0.25, "CpuUsPerRequest": 0.0,
                   "CpuUsPerS": 400000, "MaxRetryAfter": 1.0, "MayProbe": True, "OpenCap": 20000, "Peers": False,
                   "RetryAfter": True, "SecondCopies": True, "SendCap": 4, "StreamsPerConn": 1},
        "Locality": 0,
        "Me": 0,
        "PeersTotal": 1,
        "Plans": [{"CeilingBurst": 0.0, "CeilingRate": 0.0, "Depth": 20.0, "ExcessWorth": 0.0, "HardSlack": 0.0,
                   "Name": "iso", "Open": 0, "OverrunCost": 0.0, "Pays": 1.8, "QuotaRate": 10.0}],
        "Prices": {"Connection": 0.0, "CrossZone": 0.005, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.08,
                   "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.01, "Waste": 0.05},
        "Report": {"Fields": [], "Source": "none"},
        "Rules": {"AnswerSlack": 0.008, "Cold": 16.0, "ColdFrom": 0.25, "Fall": 1.0, "FallMultiple": 4.0,
                  "MustAskIn": 10.0, "StopSendingWithin": 0.5},
        "Step": 0.002,
        "Tiers": ["checkers"],
        "Weights": "none",
    }
    base.update(changes)
    return base


def write_configuration(path, listen, discovery, counter, known, limits, setting):
    text = json.dumps({
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964", "limits": limits,
        "counter": counter, "known": known, "settings": setting,
    })
    with open(path + ".new", "w", encoding="ascii") as file:
        file.write(text)
    os.rename(path + ".new", path)


def request(identity, customer, expires_ms, method="GET", body=b"", group="check-answer", plan="iso", units=1, spread=1):
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return (
        f"{method} /api/{customer:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {identity}\r\n"
        f"X-Qos: {group}\r\nPlan: {plan}\r\nX-Expires-In: {expires_ms}m\r\n{length}"
        f"Quota-Info: units={units},spread={spread},first=0\r\n\r\n"
    ).encode() + body


async def wait_until_ready(port, seconds=30.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
            line, _ = await read_head(reader)
            writer.close()
            if " 200 " in line + " ":
                return
        except (OSError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.05)
    raise CannotRun("the gateway was not ready within 30 s")


def run_case(main):
    """Runs the coroutine `main`, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    try:
        code = asyncio.run(asyncio.wait_for(main, 115))
    except Exception as error:  # A fault of the script itself must not look like a broken rule.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
