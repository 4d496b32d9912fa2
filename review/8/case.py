"""Case 8: the workers of a zone are replaced, and keyed requests that they have run are granted to another zone."""

import asyncio
import os
import subprocess
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from grpc_2 import Backend, Eds, Group, Proxy, configuration, read_addresses, send_attempt  # noqa: E402
from stand_ins_2 import CannotRun, Gateway, Record, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 12
WINDOW_SECONDS = 5.0
WORK_SECONDS = 1.0

CLASSES = f"""
[[class]]
name = "check-answer"
aim_ms = 6000
patience_ms = 6000
effect = "keyed"
group = "zone"
window_seconds = {WINDOW_SECONDS}
"""


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    effects = []
    halls = {name: Group(name, WINDOW_SECONDS) for name in ("hall-a", "hall-b")}
    workers = {name: [await Backend(f"{name}-{i}", halls[name], effects, record, WORK_SECONDS).start() for i in range(3)] for name in halls}

    def listed(*names):
        return [(name, "", [(worker.address(), Eds.HEALTHY) for worker in workers[name]]) for name in names]

    eds = await Eds(record, listed("hall-a", "hall-b")).start()
    with tempfile.TemporaryDirectory() as folder:
        file = os.path.join(folder, "gatekeeper.toml")
        configuration(file, eds.address(), CLASSES, os.environ.get("DISCOVERY_EXTRA", ""))
        with Gateway(["run", "--config", file], folder, "gateway", stdout=subprocess.PIPE) as gateway:
            address = read_addresses(gateway.process)["ext_authz"]
            for _ in range(200):
                if eds.acknowledged:
                    break
                await asyncio.sleep(0.05)
            else:
                raise CannotRun("the gateway acknowledged no list")
            proxy = await Proxy(record).open(address)

            async def ask(number):
                key, path = f"key-{number}", f"/api/{number}"
                backend, ticket, timeout = await proxy.check(f"customer-{number}", path)
                while backend:
                    code = await send_attempt(backend, ticket, path, key, timeout)
                    record(f"{key}: {backend} ended with {code}")
                    if code == 200:
                        proxy.report(ticket, 200)
                        return "served"
                    proxy.report(ticket, max(code or 0, 0), reset=code == 0, connection_failure=code == -1)
                    await asyncio.sleep(0.02)
                    backend, ticket, timeout = await proxy.check(f"customer-{number}", path, ticket)
                return f"denied {ticket}"

            asked = [asyncio.ensure_future(ask(number)) for number in range(REQUESTS)]
            if TROUBLE:
                await asyncio.sleep(0.2)
                record("trouble: the workers of hall-a are replaced; the list leaves them out")
                before = eds.acknowledged
                eds.set(listed("hall-b"))
                while eds.acknowledged == before:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.3)
                record("trouble: the workers of hall-a end before their answers, which resets their connections")
                for worker in workers["hall-a"]:
                    worker.server.close()
                    worker.reset_all()
            outcomes = await asyncio.gather(*asked)
            proxy.close()
    record(f"outcomes: {outcomes}")
    if not any(group == "hall-a" for _, group, _ in effects):
        raise CannotRun("no request reached hall-a")
    twice = sorted(key for key in {key for key, _, _ in effects} if sum(key == other for other, _, _ in effects) > 1)
    for key in twice:
        record(f"RULE BROKEN: {key} was applied in {[group for other, group, _ in effects if other == key]}")
    print(f"{len(effects)} effects of {REQUESTS} requests; applied twice: {twice}")
    return 1 if twice else 0


run_case(main())
