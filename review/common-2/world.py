"""Stand-ins of the platform's store, of servers and of clients, by PROTOCOL.md, and the daemons as processes.

All of them live on loopback addresses. What was sent, answered and run goes to `record.txt` of the case.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ID, SEAL, INSTANCE = "Jacinthvale-Attempt-Id", "Jacinthvale-Response-Seal", "Jacinthvale-Expect-Instance"
NOT_RUN, VERSIONS, DEADLINE = "Jacinthvale-Not-Executed", "Jacinthvale-Weight-Versions", "Jacinthvale-Deadline-Ms"
LIMIT = 32 * 1024 * 1024
ROW_BYTES, TX_ENTRIES, TX_BYTES, READ_ROWS, READ_BYTES = 65536, 100, 1_000_000, 500, 1_000_000
STARTED = time.monotonic()


class Record:
    def __init__(self, folder):
        self.file = (folder / "record.txt").open("w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - STARTED:8.3f} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        return int(self.first[1])

    @property
    def path(self):
        return urllib.parse.urlsplit(self.first[1]).path

    def query(self, name, fallback=""):
        return urllib.parse.parse_qs(urllib.parse.urlsplit(self.first[1]).query).get(name, [fallback])[0]

    def header(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)


async def read_message(reader, is_response=False):
    """Raises IncompleteReadError or OSError where the connection ends before the message does."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    first = head[0].split(" ", 2)
    if not is_response and (len(first) != 3 or not first[2].startswith("HTTP/1.")):
        raise ValueError("no request: " + head[0][:80])
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_response and int(first[1]) not in (204, 304):
        body = await reader.read()
    return Message(first, headers, body)


def response(status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, data, limit):
    """One call on a new connection. Returns the response, or None where there was no whole one."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address, limit=LIMIT)
            writer.write(data)
            return await read_message(reader, True)
    except (asyncio.IncompleteReadError, OSError, ValueError, TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


class Listener:
    """Serves each connection with `handle(message, writer)`, which tells whether the connection stays."""

    def __init__(self, handle):
        self.handle, self.writers, self.address = handle, set(), None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=LIMIT)
        self.address = self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.handle(await read_message(reader), writer):
                await writer.drain()
        except ValueError:
            writer.write(response(400, b"", {"Connection": "close"}))
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            if not writer.is_closing():
                writer.close()


class Store:
    """Rows, feed and conditional transactions. A transaction takes `tx_s`, those of one part one after another."""

    def __init__(self, record, answer_s=0.004, tx_s=0.005):
        self.record, self.answer_s, self.tx_s = record, answer_s, tx_s
        self.rows, self.log, self.version = {}, [], 1
        self.changed, self.parts = asyncio.Condition(), {}
        self.http = Listener(self.handle)

    async def start(self):
        await self.http.start()

    def row(self, key):
        value, version = self.rows.get(key, ("", 0))
        entry = dict(zip(("table", "part", "key"), key)) | {"value": value, "ver": version}
        return entry if version else entry | {"removed": True}

    def answer(self, status, **fields):
        now = int((time.monotonic() - STARTED) * 1000) + 1_000_000
        return response(status, json.dumps(fields | {"ver": self.version, "now_ms": now}).encode())

    def apply(self, body):
        named = [(entry["table"], entry["part"], entry["key"]) for entry in body.get("expected", [])]
        versions = [entry["ver"] for entry in body.get("expected", [])]
        if any(self.rows.get(key, ("", 0))[1] != version for key, version in zip(named, versions)):
            return self.answer(412, rows=[self.row(key) for key in named])
        self.version += 1
        for put in body.get("puts", []):
            key = (put["table"], put["part"], put["key"])
            self.rows[key] = (put["value"], self.version)
            self.log.append((self.version, key))
        for gone in body.get("remove", []):
            key = (gone["table"], gone["part"], gone["key"])
            if self.rows.pop(key, None):
                self.log.append((self.version, key))
        return self.answer(200)

    async def publish(self, table, name, value):
        """A write of the operator or of a server; None removes the row."""
        entry = {"table": table, "part": "", "key": name}
        if value is None:
            self.apply({"remove": [entry]})
        else:
            self.apply({"puts": [entry | {"value": base64.b64encode(json.dumps(value).encode()).decode()}]})
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, message, writer):
        await asyncio.sleep(self.answer_s)
        if message.path == "/v1/rows-tx":
            return await self.transaction(message, writer)
        if message.path == "/v1/rows-get":
            writer.write(self.read(message))
        elif message.path == "/v1/rows-feed":
            writer.write(await self.feed(message))
        else:
            writer.write(response(404))
        return True

    async def transaction(self, message, writer):
        body = json.loads(message.body)
        entries = [body.get(kind, []) for kind in ("expected", "puts", "remove")]
        parts = {entry["part"] for kind in entries for entry in kind}
        if sum(map(len, entries)) > TX_ENTRIES or len(message.body) > TX_BYTES or len(parts) > 1:
            writer.write(response(400))
            return True
        async with self.parts.setdefault(next(iter(parts), ""), asyncio.Lock()):
            await asyncio.sleep(self.tx_s)
            answer = self.apply(body)
        async with self.changed:
            self.changed.notify_all()
        writer.write(answer)
        return True

    def read(self, message):
        table, part = message.query("table"), message.query("part")
        first, last = message.query("from"), message.query("to")
        keys = sorted(k for k in self.rows if k[:2] == (table, part) and k[2] >= first and (not last or k[2] < last))
        rows, size = [], 0
        for key in keys[:READ_ROWS]:
            size += len(self.rows[key][0]) + 200
            if rows and size > READ_BYTES:
                break
            rows.append(self.row(key))
        return self.answer(200, rows=rows, has_more=len(rows) < len(keys))

    async def feed(self, message):
        table, after = message.query("table"), int(message.query("after", "0"))
        end = time.monotonic() + int(message.query("wait_ms", "0")) / 1000
        while True:
            keys = dict.fromkeys(key for version, key in self.log if version > after and key[0] == table)
            left = end - time.monotonic()
            if keys or left <= 0:
                return self.answer(200, rows=[self.row(key) for key in keys], has_more=False)
            try:
                async with asyncio.timeout(left), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass


class Server:
    """One server of a service. `work(message, writer, echo)` answers a request that it runs."""

    def __init__(self, store, name, service, slots, work, models=None):
        self.store, self.name, self.service, self.slots, self.work = store, name, service, slots, work
        self.models, self.running, self.orders, self.beats = models or {}, 0, 0, 0
        self.born = int(time.time() * 1000)
        self.http = Listener(self.handle)

    async def start(self):
        await self.http.start()
        return asyncio.create_task(self.beat())

    def state(self):
        models = [{"name": name, "version": version, "adapters": []} for name, version in self.models.items()]
        return {"stage": "both", "models": models} if models else {}

    async def beat(self):
        while True:
            self.beats += 1
            entry = {"service": self.service, "address": "%s:%d" % self.http.address, "zone": "a", "version": "v1",
                     "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq_no": self.beats, "born": self.born}
            await self.store.publish("servers", self.name, entry | self.state())
            await asyncio.sleep(1.2)

    async def handle(self, message, writer):
        wanted, attempt = message.header(INSTANCE), message.header(ID)
        if wanted and wanted != self.name:
            writer.write(response(421, b"", {"Jacinthvale-Instance-Id": self.name}))
            return True
        if message.path == "/v1/report":
            report = self.state() | {"busy": False, "seq_no": self.orders, "queue_depth": 0, "in_flight": self.running,
                                     "kv_used": 0, "kv_total": 44572, "handles": 0, "born": self.born}
            writer.write(response(200, json.dumps(report).encode()))
            return True
        if message.path == "/v1/order":
            writer.write(response(400))
            return True
        if not attempt:
            writer.write(response(400, b"", {NOT_RUN: "1"}))
            return True
        if self.running >= self.slots:
            writer.write(response(503, b"", {ID: attempt, NOT_RUN: "1"}))
            return True
        self.running += 1
        try:
            return await self.work(self, message, writer, {ID: attempt})
        finally:
            self.running -= 1


class Node:
    """A daemon with the command of the deploy file and settings like its template."""

    def __init__(self, world, index):
        self.world, self.name, self.process = world, f"edge-{index}", None
        self.ip = f"127.{50 + os.getpid() % 150}.{os.getpid() // 150 % 250}.{index + 1}"
        self.log = world.folder / f"{self.name}.log"

    def address(self, port):
        return self.ip, port

    entry = property(lambda self: self.address(8144))

    async def start(self):
        settings = {"host": self.name, "availabilityZone": "a", "entryAddress": f"{self.ip}:8144",
                    "readinessAddress": f"{self.ip}:8140", "peerAddress": f"{self.ip}:8146",
                    "metricsAddress": f"{self.ip}:9464", "platformAddress": "%s:%d" % self.world.store.http.address,
                    "seeds": [f"{node.ip}:8146" for node in self.world.nodes[:3]], "processorShare": 0.5,
                    "storeReadsPerSecond": 2000, "storeWritesPerSecond": 800, "memoryMb": 340, "leaseMs": 3000,
                    "stopGraceSeconds": 8}
        path = self.world.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / "target" / "jvnode"), "--settings", str(path), stdout=log, stderr=log, cwd=ROOT)

    async def ready(self):
        answer = await call(self.address(8140), request("GET", "/v1/readiness", {}), 1)
        return answer is not None and answer.status == 200

    def signal(self, what):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(what)


class World:
    """Store, servers and daemons of one run."""

    def __init__(self, record):
        self.record, self.folder = record, pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store, self.nodes, self.servers, self.tasks = None, [], [], []

    async def start(self, config, versions, servers, nodes, **store):
        self.store = Store(self.record, **store)
        await self.store.start()
        await self.store.publish("op", "config", config)
        for model, version in versions.items():
            await self.store.publish("op", f"version/{model}", {"model": model, "version": version})
        for name, service, slots, work, models in servers:
            server = Server(self.store, name, service, slots, work, models)
            self.tasks.append(await server.start())
            self.servers.append(server)
        self.nodes = [Node(self, index) for index in range(nodes)]
        for node in self.nodes:
            await node.start()
        end = time.monotonic() + 15
        while not all([await node.ready() for node in self.nodes]):
            if time.monotonic() > end:
                raise RuntimeError("the daemons are not ready after 15 s")
            await asyncio.sleep(0.1)
        self.record(f"{nodes} daemons are ready")

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            if node.process is not None:
                await node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, limit_s=110):
    """`case(world, record, trouble)` returns a list of breaches of the rule. Exits with 0, 1 or 2."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(record)
        try:
            async with asyncio.timeout(limit_s):
                return await case(world, record, trouble)
        finally:
            await world.end()

    record(f"TROUBLE={int(trouble)}")
    if not (ROOT / "target" / "jvnode").exists():
        record("target/jvnode is missing: build with the command of deploy/system.toml")
        sys.exit(2)
    try:
        breaches = asyncio.run(run())
    except Exception as error:
        record(f"the case could not run: {error!r}")
        sys.exit(2)
    for breach in breaches:
        record("BROKEN " + breach)
    record("the rule was broken" if breaches else "the rule held")
    sys.exit(1 if breaches else 0)
