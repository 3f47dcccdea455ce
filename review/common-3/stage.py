"""Stage for the scripts of the third review: the store, servers and clients by the users' pages, and jvnode processes.

The stand-ins are those of platform/soak; the store is held to the limits that the pages set.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "platform" / "soak"))
import http11  # noqa: E402
import standins as wire  # noqa: E402

LOOPBACK = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# Bounds of the pages, in seconds.
SETTLE_S, CONTACT_S, GRACE_S = 1.0, 3.0, 8.0
# Limits of the store's calls by the pages.
ROW_BYTES, CALL_BYTES, CALL_ENTRIES, READ_ROWS = 65536, 1_000_000, 100, 500


class CannotRun(Exception):
    """The case did not come about."""


def free_port():
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class Store(wire.Store):
    """Each daemon has an address of its own here, so that the store knows who wrote."""

    def __init__(self, seed):
        super().__init__(random.Random(seed))
        self.on_transaction = None  # called as (writer's name, body, status) after each transaction, before its answer
        self.doors = []

    async def door(self, name):
        """Opens an address for the daemon of that name."""
        async def handle(request, writer):
            if request.target.path != "/v1/rows-tx":
                return await self.handle(request, writer)
            await asyncio.sleep(wire.TRANSACTION_S + self.slow_s)
            return await self.transact(name, request, writer)
        server = http11.Server(handle)
        self.doors.append(server)
        return await server.start(LOOPBACK)

    async def transact(self, name, request, writer):
        body = json.loads(request.body)
        entries = sum(len(body.get(kind, [])) for kind in ("expected", "puts", "remove"))
        values = [len(base64.b64decode(put["value"])) for put in body.get("puts", [])]
        if entries > CALL_ENTRIES or len(request.body) > CALL_BYTES or max(values, default=0) > ROW_BYTES:
            writer.write(http11.response(400))
            return True
        answer = self.apply(body)
        status = int(answer.split(b" ", 2)[1])
        if self.on_transaction:
            self.on_transaction(name, body, status)
        async with self.changed:
            self.changed.notify_all()
        writer.write(answer)
        return True

    def read(self, request):
        table, part = request.query("table"), request.query("part")
        first, last = request.query("from"), request.query("to")
        keys = sorted(k for k in self.rows if k[:2] == (table, part) and k[2] >= first and (not last or k[2] < last))
        rows, size = [], 0
        for key in keys[:READ_ROWS]:
            row = self.row(key)
            size += len(row["value"])
            if rows and size > CALL_BYTES:
                break
            rows.append(row)
        return self.answer(200, rows=rows, has_more=len(rows) < len(keys))


class Daemon:
    """One jvnode process, started with the command of the deploy file."""

    def __init__(self, stage, name):
        self.stage, self.name, self.process = stage, name, None
        self.ports = {}
        self.started_at = 0.0
        self.log = stage.folder / f"{name}.log"

    def address(self, what):
        return LOOPBACK, self.ports[what]

    async def start(self):
        if not self.ports:
            self.ports = {what: free_port() for what in ("entry", "readiness", "peer", "metrics")}
            self.store = await self.stage.store.door(self.name)
        settings = {f"{what}Address": f"{LOOPBACK}:{port}" for what, port in self.ports.items()}
        settings |= {"host": self.name, "availabilityZone": "z", "platformAddress": "%s:%d" % self.store,
                     "seeds": [], "processorShare": 0.5, "storeReadsPerSecond": 2000, "storeWritesPerSecond": 800,
                     "memoryMb": 340, "leaseMs": 3000, "stopGraceSeconds": 8}
        path = self.stage.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / "target" / "jvnode"), "--settings", str(path), stdout=log, stderr=log, cwd=ROOT)
        self.started_at = time.monotonic()

    def signal(self, what):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(what)

    def kill_now(self):
        """SIGKILL; the process executes nothing after this returns."""
        os.kill(self.process.pid, signal.SIGKILL)

    async def ready(self):
        answer = await http11.call(self.address("readiness"), http11.request("GET", "/v1/readiness", {}), 1)
        return answer is not None and answer.status == 200

    async def call(self, method, path, attempt, body=b"", limit=4.0, headers=None):
        names = wire.client_headers(attempt) | (headers or {})
        return await http11.call(self.address("entry"), http11.request(method, path, names, body), limit)


class Stage:
    def __init__(self, folder, seed=1):
        self.case = pathlib.Path(folder).resolve()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store, self.ledger = Store(seed), wire.Ledger()
        self.daemons, self.servers, self.tasks = [], [], []
        self.began = time.monotonic()
        self.record_file = (self.case / "record.txt").open("w")
        self.attempts = 0
        self.broken = []

    def record(self, text):
        print(f"{time.monotonic() - self.began:8.3f} s  {text}", file=self.record_file, flush=True)

    def rule_broken(self, text):
        self.broken.append(text)
        self.record(f"BROKEN: {text}")

    def attempt(self, letter="a"):
        self.attempts += 1
        return f"{letter}{self.attempts:07x}"

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def add_server(self, server):
        await server.start(LOOPBACK)
        server.rise()
        self.servers.append(server)
        self.spawn(server.beat())

    async def start(self, count, config):
        await self.store.publish("op", "config", config)
        self.daemons = [Daemon(self, f"h{n}") for n in range(count)]
        for daemon in self.daemons:
            await daemon.start()
        end = time.monotonic() + 15
        while not all([await daemon.ready() for daemon in self.daemons]):
            if time.monotonic() > end:
                raise CannotRun("the daemons are not ready after 15 s")
            await asyncio.sleep(0.1)
        self.record(f"{count} daemons are ready")

    def by_name(self, name):
        return next(daemon for daemon in self.daemons if daemon.name == name)

    async def end(self):
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.process is not None:
                await daemon.process.wait()
        for task in self.tasks:
            task.cancel()


def play(case, folder, limit=115, seed=1):
    """Runs `case(stage)` and exits with the code of the issue."""
    async def whole():
        stage = Stage(folder, seed)
        stage.record("with the disruption" if stage.trouble else "without the disruption (TROUBLE=0)")
        code = CANNOT_RUN
        try:
            async with asyncio.timeout(limit):
                await case(stage)
            code = BROKEN if stage.broken else HELD
        except CannotRun as problem:
            stage.record(f"cannot run: {problem}")
        except TimeoutError:
            stage.record(f"cannot run: not over after {limit} s")
        finally:
            await stage.end()
            stage.record({HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "the case could not run"}[code])
            stage.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            print(stage.folder)
        else:
            for path in stage.folder.iterdir():
                path.unlink()
            stage.folder.rmdir()
        return code

    binary = ROOT / "target" / "jvnode"
    if not binary.exists():
        print("target/jvnode is missing: run the build of deploy/system.toml first", file=sys.stderr)
        sys.exit(CANNOT_RUN)
    sys.exit(asyncio.run(whole()))
