"""Stage for the scripts of the third review: the store, servers and clients by the users' pages, and jvnode processes.

The stand-ins are those of platform/soak; the store is held to the limits that the pages set.
"""

import asyncio
import bisect
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


def first_free_port(start):
    """Ports below those that the system gives to outgoing connections."""
    for port in range(start, 32000):
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


class Connection(asyncio.Protocol):
    """A connection to the store. Requests come one after the other."""

    def __init__(self, store, name):
        self.store, self.name, self.buffer, self.transport, self.waiting = store, name, b"", None, None

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, problem):
        if self.waiting:
            self.waiting.cancel()

    def data_received(self, data):
        self.buffer += data
        while self.waiting is None:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self.buffer[:end].decode("latin-1")
            lines = head.split("\r\n")
            length = next((int(line[15:]) for line in lines if line.lower().startswith("content-length:")), 0)
            if len(self.buffer) < end + 4 + length:
                return
            body, self.buffer = self.buffer[end + 4:end + 4 + length], self.buffer[end + 4 + length:]
            message = http11.Message(lines[0].split(" ", 2), {}, body)
            self.waiting = asyncio.get_running_loop().create_task(self.answer(message))

    async def answer(self, message):
        try:
            answer = await self.store.answer_to(self.name, message)
        finally:
            self.waiting = None
        if not self.transport.is_closing():
            self.transport.write(answer)
            self.data_received(b"")


class Store(wire.Store):
    """The store by the pages. Each daemon has an address of its own here, so that the store knows who asks."""

    def __init__(self, seed):
        super().__init__(random.Random(seed))
        self.on_read = None  # called as (reader's name, request) before each read
        self.on_transaction = None  # called as (writer's name, body, status) after each transaction, before its answer
        self.doors, self.news = [], {}

    async def door(self, name):
        """Opens an address for the daemon of that name."""
        server = await asyncio.get_running_loop().create_server(lambda: Connection(self, name), LOOPBACK, 0)
        self.doors.append(server)
        return server.sockets[0].getsockname()

    async def answer_to(self, name, request):
        path = request.target.path
        if path == "/v1/rows-tx":
            await asyncio.sleep(wire.TRANSACTION_S)
            return self.transact(name, request)
        if self.on_read:
            self.on_read(name, request)
        if path == "/v1/rows-get":
            return self.read(request)
        if path == "/v1/rows-feed":
            return await self.feed(request)
        return http11.response(404)

    def apply(self, body):
        answer = super().apply(body)
        for table in {entry["table"] for entry in body.get("puts", []) + body.get("remove", [])}:
            if table in self.news:
                self.news.pop(table).set()
        return answer

    def transact(self, name, request):
        body = json.loads(request.body)
        entries = sum(len(body.get(kind, [])) for kind in ("expected", "puts", "remove"))
        values = [len(put["value"]) * 3 // 4 for put in body.get("puts", [])]
        if entries > CALL_ENTRIES or len(request.body) > CALL_BYTES or max(values, default=0) > ROW_BYTES:
            return http11.response(400)
        answer = self.apply(body)
        if self.on_transaction:
            self.on_transaction(name, body, int(answer.split(b" ", 2)[1]))
        return answer

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

    async def feed(self, request):
        table, after = request.query("table"), int(request.query("after", "0"))
        end = time.monotonic() + int(request.query("wait_ms", "0")) / 1000
        while True:
            if after < self.history_from:
                return http11.response(410)
            start = bisect.bisect_right(self.log, after, key=lambda entry: entry[0])
            keys = dict.fromkeys(key for _, key in self.log[start:] if key[0] == table)
            left = end - time.monotonic()
            if keys or left <= 0:
                return self.answer(200, rows=[self.row(key) for key in keys], has_more=False)
            news, after = self.news.setdefault(table, asyncio.Event()), max(after, self.version)
            try:
                async with asyncio.timeout(left):
                    await news.wait()
            except TimeoutError:
                pass


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
            self.ports = {what: self.stage.free_port() for what in ("entry", "readiness", "peer", "metrics")}
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
        self.next_port = 20000 + os.getpid() % 8000

    def free_port(self):
        port = first_free_port(self.next_port)
        self.next_port = port + 1
        return port

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
        end = time.monotonic() + 15 + count * 0.1
        while not all(await asyncio.gather(*(daemon.ready() for daemon in self.daemons))):
            if time.monotonic() > end:
                raise CannotRun("the daemons are not ready in time")
            await asyncio.sleep(0.1 + count * 0.01)
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
