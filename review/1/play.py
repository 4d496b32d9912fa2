"""Bad clients send bodies of 60 MB whose Content-Length says 1,000,000, each on one connection.

The stand-in for the platform reads the gateway's memory from /proc and kills it once it is over `memory_mb`.
Two usual clients send one request after another meanwhile.
"""

import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
from standins import *  # noqa: E402,F403

MEMORY_MB, SOCKETS = 32, 256  # The smallest of DAYS.md: "32 to 192 MB by language and day, and 256 to 1,024 descriptors".
BAD_CLIENTS = 80              # Under a third of the descriptors, which clients may hold for requests.
WRONG_LENGTH, BODY = 1_000_000, 60_000_000
SECONDS = 12
KILL_DELAY = 0.3
PIECE = b"b" * 250_000


def memory_mib(pid):
    """Anonymous memory in MiB: no files, no program text, no socket buffers."""
    with open(f"/proc/{pid}/status") as file:
        return int(re.search(r"RssAnon:\s+(\d+) kB", file.read())[1]) / 1024


async def play(record, folder, gateways):
    discovery, counter = Discovery(), Counter()
    await discovery.start()
    await counter.start()
    workers = [Worker(f"s-{n}", record) for n in range(3)]
    for worker in workers:
        await worker.start()
        discovery.set(worker.entry())
    gateway = Gateway(folder, record, discovery, counter, [w.entry() for w in workers], MEMORY_MB, SOCKETS)
    gateways.append(gateway)
    await gateway.start()
    end, peak, over_since, killed = now() + SECONDS, 0.0, None, []
    answers, lost = {}, []

    async def platform():
        nonlocal peak, over_since
        while now() < end and not killed:
            if gateway.process.returncode is not None:
                killed.append("ended")
                record.say(f"the gateway ended with {gateway.process.returncode}")
                return
            used = memory_mib(gateway.process.pid)
            if used > peak + 4:
                record.add(f"platform: the gateway uses {used:.0f} MiB of {MEMORY_MB}")
            peak = max(peak, used)
            # "Over `memory_mb` the gatekeeper is killed." MiB are taken for MB, in the gateway's favour, and it is killed
            # only after a while, to record how far over the limit it goes.
            if used > MEMORY_MB and over_since is None:
                over_since = now()
            if over_since is not None and now() > over_since + KILL_DELAY:
                record.say(f"platform: the gateway used up to {peak:.0f} MiB, {MEMORY_MB} MB are allowed; it is killed")
                killed.append("killed")
                gateway.signal(signal.SIGKILL)
            await asyncio.sleep(0.005)

    async def usual(number):
        client = None
        while now() < end and not killed:
            rid = new_id()
            try:
                client = client or await Client.connect(gateway.port)
                client.writer.write(request(rid, budget_ms=3000))
                record.add(f"usual client {number}: sent {rid}")
                answer = await client.response(4)
            except (OSError, asyncio.TimeoutError):
                answer = None
            if answer is None:
                client = None
                if killed:
                    lost.append(rid)
                record.add(f"usual client {number}: {rid} has no answer")
            else:
                answers[answer[0]] = answers.get(answer[0], 0) + 1
                record.add(f"usual client {number}: {rid} answered {answer[0]}")
            await asyncio.sleep(0.02)

    async def bad(number):
        while now() < end and not killed:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                head = request(new_id(), "store").decode().replace("Content-Length: 0", f"Content-Length: {WRONG_LENGTH}")
                writer.write(head.encode())
                record.add(f"bad client {number}: sends a body of {BODY} bytes, Content-Length {WRONG_LENGTH}")
                answer = asyncio.ensure_future(reader.read(4096))
                for _ in range(BODY // len(PIECE)):
                    writer.write(PIECE)
                    # It sends at full speed and reads what it is sent.
                    await asyncio.wait({answer, asyncio.ensure_future(writer.drain())}, return_when=asyncio.FIRST_COMPLETED)
                    if answer.done():
                        break
                text = await asyncio.wait_for(answer, 3)
                record.add(f"bad client {number}: answered {text[:12]!r}")
                writer.transport.abort()
            except (OSError, asyncio.TimeoutError):
                record.add(f"bad client {number}: connection ended")
            await asyncio.sleep(0.01)

    crowd = [bad(n) for n in range(BAD_CLIENTS)] if TROUBLE else []
    await asyncio.gather(platform(), usual(0), usual(1), *crowd)
    record.say(f"peak {peak:.1f} MiB of {MEMORY_MB}; usual clients' answers {answers}; lost at the kill {len(lost)}")
    return bool(killed)


main(CASE, play)
