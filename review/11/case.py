"""A process is killed while it stores a long result; a short one is listed at that position."""

import asyncio
import base64
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-3"))
import stage as st  # noqa: E402
from stage import wire  # noqa: E402

# The long item: 40 events of 20 KB, 4 s. Its result, 0.8 MB, fits a page of 1 MB and no transaction of 1 MB as base64.
LONG, LONG_EVENTS, LONG_EVENT_BYTES = "itemlong", 40, 20_000
# The short items: 46 events of 40 bytes, 4.6 s. They end after the long one, and before a second run of it.
SHORT, SHORT_EVENTS = ("itemshorta", "itemshortb"), 46
EVENT_S = 0.1
WATCH_S = 16.0


def event_text(item, number):
    text = f"{item}:{number}:"
    return text.ljust(LONG_EVENT_BYTES if item == LONG else 40, "x")


def whole_text(item):
    events = LONG_EVENTS if item == LONG else SHORT_EVENTS
    return "\n".join(event_text(item, number) for number in range(1, events + 1))


class Engine(wire.Upstream):
    """A model server: one event each 0.1 s; it resumes after Last-Event-Id."""

    stage = None

    async def generate(self, request, writer, echo):
        item = request.headers[wire.ID]
        after = int(request.headers.get("last-event-id", "0"))
        self.stage.record(f"{self.id} runs {item} after event {after}")
        version = self.versions[request.headers[wire.MODEL]]
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in echo.items())
        writer.write((head + f"{wire.SEAL}: s\r\n{wire.VERSIONS}: {version}\r\n\r\n").encode())
        events = LONG_EVENTS if item == LONG else SHORT_EVENTS
        for number in range(after + 1, events + 1):
            await asyncio.sleep(EVENT_S)
            if writer.is_closing() or not self.up:
                return False
            event = f"id: {number}\ndata: {event_text(item, number)}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.stage.record(f"{self.id} has made all events of {item}")
        return True


def batch_body():
    requests = []
    for item in (LONG, *SHORT):
        tokens = 2400 if item == LONG else 2800
        requests.append({"id": item, "path": f"{wire.BATCH_PREFIX}{item}", "tokens": tokens + 40, "group": f"g{item}",
                         "headers": {"Jacinthvale-Model": "m0", "Jacinthvale-Token-Count": f"40,{tokens}"},
                         "body": base64.b64encode(b"prompt").decode()})
    return json.dumps({"train_step": 0, "model": "m0", "min_version": 1, "group_count": 3,
                       "requests": requests}).encode()


class LongResult:
    """Kills the process that wrote last under a condition, once it has stored a part of the long result."""

    def __init__(self, stage):
        self.stage, self.killed, self.killed_at, self.parts = stage, None, 0.0, 0

    def on_transaction(self, name, body, status):
        puts = [put for put in body.get("puts", []) if put["table"] == "results"]
        if not puts or status != 200:
            return
        size = sum(len(put["value"]) for put in puts)
        self.stage.record(f"{name} stores rows {puts[0]['key']} to {puts[-1]['key']}, {size} bytes")
        if size < 600_000 or self.killed:
            return
        self.parts += 1
        if self.stage.trouble:
            self.killed, self.killed_at = self.stage.by_name(name), time.monotonic()
            self.killed.kill_now()
            self.stage.record(f"SIGKILL to {name}, which wrote last under a condition")


class Reader:
    """Reads the batch job at all daemons and keeps what was read at each position."""

    def __init__(self, stage, batch):
        self.stage, self.batch = stage, batch
        self.known = {}  # position -> (time of the first read, daemon, result)
        self.told = set()

    async def read(self, daemon, after, excused):
        asked = time.monotonic()
        answer = await daemon.call("GET", wire.page_path(self.batch, after), self.stage.attempt("r"), limit=2.5)
        if answer is None or answer.status == 503:
            return
        if answer.status != 200:
            if not excused:
                self.fault(daemon, after, f"answers {answer.status} for the batch job")
            return
        total, results = wire.decode_page(answer.body)
        for position, result in enumerate(results, after):
            if position not in self.known:
                self.known[position] = (time.monotonic(), daemon.name, result)
                self.stage.record(f"{daemon.name}: position {position} is {result[0]}, {result[1]}, {len(result[2])} bytes")
            elif self.known[position][2] != result:
                self.fault(daemon, position, f"position {position} is {result[0]}, it was {self.known[position][2][0]}")
            if result[1] == "succeeded" and result[2] != whole_text(result[0]):
                self.fault(daemon, position, f"{result[0]} has another text")
        missing = after + len(results)
        if missing in self.known and not results and not excused and asked - self.known[missing][0] > st.SETTLE_S:
            read_at, name, result = self.known[missing]
            self.fault(daemon, missing, f"has nothing at position {missing}, where {name} showed {result[0]} "
                       f"{asked - read_at:.2f} s before")

    def fault(self, daemon, position, text):
        if (daemon.name, position) not in self.told:
            self.told.add((daemon.name, position))
            self.stage.rule_broken(f"{daemon.name} {text}")


async def case(stage):
    config = wire.config(1, 0)
    config["routes"][0] |= {"max_attempts": 3, "due_ms": 30000, "retention_s": 120}
    for name in ("e0", "e1"):
        engine = Engine(stage.store, stage.ledger, stage.store.random, name, "engines", 12)
        engine.stage = stage
        await stage.add_server(engine)
    await stage.start(3, config)
    await asyncio.sleep(st.CONTACT_S)
    trouble = LongResult(stage)
    stage.store.on_transaction = trouble.on_transaction
    batch = stage.attempt("b")
    answer = await stage.daemons[0].call("POST", wire.BATCH_PREFIX + batch, batch, batch_body())
    stage.record(f"batch job {batch}: {answer and answer.status}")
    if answer is None or answer.status != 202:
        raise st.CannotRun("the batch job was not accepted")
    reader = Reader(stage, batch)
    end, restarted = time.monotonic() + 6 + WATCH_S, False
    while time.monotonic() < end:
        if trouble.killed and not restarted and time.monotonic() - trouble.killed_at > 0.5:
            restarted = True
            await trouble.killed.process.wait()
            await trouble.killed.start()
            stage.record(f"{trouble.killed.name} is started again")
        for daemon in stage.daemons:
            excused = daemon is trouble.killed and (
                not restarted or time.monotonic() - daemon.started_at < st.CONTACT_S + 1)
            if daemon.process.returncode is None:
                # A trainer reads on from where it is, and at times from an earlier position.
                for after in sorted({0, len(reader.known), max(0, len(reader.known) - 1)}):
                    await reader.read(daemon, after, excused)
        await asyncio.sleep(0.25)
    if not trouble.parts:
        raise st.CannotRun("no result was stored in parts")
    stage.record(f"read: {[(p, known[2][0]) for p, known in sorted(reader.known.items())]}")
    if len(reader.known) < 3 and not stage.broken:
        raise st.CannotRun("the batch job did not end")


if __name__ == "__main__":
    st.play(case, pathlib.Path(__file__).parent)
