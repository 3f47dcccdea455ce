"""One machine is stopped while callers go on, on the connections that they keep."""

import asyncio
import itertools
import pathlib
import random
import signal
import sys
import time
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import fleet as rig  # noqa: E402
from fleet import http11, wire  # noqa: E402

CASE = pathlib.Path(__file__).resolve().parent
GRACE_S, SLACK_S = 8.0, 0.2  # grace_s, loss_slack_ms
EARLY_S = 3.0               # Requests sent up to then may be cut in the last sixth of the grace.
CALLERS = 51                # clients of the site
IDLE_S = (4.0, 11.0)        # Pause of a caller between two requests; connections may idle for 12 s.
WORK_S = (0.025, 0.19)      # Work of a quote: its mean and its longest; deadline and timeout are 2 s.
EVENTS, EVENT_S = 60, 0.1   # Four of five requests ask for a stream of 6 s; deadline, timeout: 20 s.


class Balancer:
    """The platform before the machines of a zone, by PROTOCOL.md, "Ingress"."""

    def __init__(self, fleet):
        self.fleet, self.misses = fleet, {d.name: 0 for d in fleet.daemons}
        self.last, self.next = None, 0.0

    async def watch(self):
        while True:
            answers = await asyncio.gather(*(d.ready() for d in self.fleet.daemons))
            for daemon, ready in zip(self.fleet.daemons, answers):
                self.misses[daemon.name] = 0 if ready else self.misses[daemon.name] + 1
            used = [d.name for d in self.used()]
            if used != self.last:
                ready = [name for name, missed in self.misses.items() if missed < 2]
                self.fleet.record.write("platform", f"in rotation: {ready}; new connections go to {used}")
            self.last = used
            self.next = time.monotonic() + 1
            await asyncio.sleep(1)

    async def before_next(self, ahead):
        """Waits until shortly before the next question for readiness."""
        await asyncio.sleep(max(0.0, self.next - ahead - time.monotonic()) or 1 - ahead)

    def used(self):
        ready = [d for d in self.fleet.daemons if self.misses[d.name] < 2]
        return ready if 2 * len(ready) >= len(self.fleet.daemons) else self.fleet.daemons

    def pick(self, client):
        used = self.used()
        return used[zlib.crc32(client.encode()) % len(used)]


class Server(wire.Upstream):
    """Works on a request for some time; knows which requests reached it."""

    def __init__(self, begun, *rest):
        super().__init__(*rest)
        self.begun = begun

    async def serve(self, request, writer, echo):
        attempt = request.headers.get(wire.ID, "")
        self.begun[attempt] = time.monotonic()
        mean, longest = WORK_S
        await asyncio.sleep(min(longest, self.random.expovariate(1 / mean)))
        writer.write(http11.response(200, wire.answer_body(request.target.path, attempt, request.body),
                                     echo | {wire.SEAL: "s"}))
        return True

    async def generate(self, request, writer, echo):
        self.begun[request.headers.get(wire.ID, "")] = time.monotonic()
        return await super().generate(request, writer, echo)


class Clients:
    """What clients sent, and which requests ended without an answer."""

    def __init__(self, fleet, balancer):
        self.fleet, self.balancer, self.over = fleet, balancer, False
        self.numbers, self.answered, self.cut, self.refused = itertools.count(), 0, [], 0

    async def exchange(self, client, daemon, reader, writer, method, path, headers, body=b""):
        """One request on an open connection. Returns the answer, or None."""
        attempt = headers["Jacinthvale-Attempt-Id"]
        writer.write(http11.request(method, path, headers, body))
        sent = time.monotonic()
        try:
            async with asyncio.timeout(22):
                answer = await http11.read_message(reader, True)
            self.answered += 1
            return answer
        except TimeoutError:
            ended = "has no answer after 22 s"
        except (asyncio.IncompleteReadError, OSError) as problem:
            ended = f"ends without a complete answer ({type(problem).__name__})"
        self.cut.append((attempt, daemon, sent, time.monotonic(), f"{method} {path}"))
        self.fleet.record.write(client, f"{attempt} {method} {path} at {daemon.name} {ended} "
                                        f"{time.monotonic() - sent:.3f} s after it was sent")
        return None

    async def connect(self, client):
        daemon = self.balancer.pick(client)
        try:
            return daemon, *await asyncio.open_connection(*daemon.entry)
        except OSError:
            self.refused += 1
            return daemon, None, None

    async def ask(self, client):
        """Keeps a connection for many requests, until the daemon closes it."""
        draw, writer = random.Random(client), None
        await asyncio.sleep(draw.uniform(0, IDLE_S[1]))
        while not self.over:
            if writer is None:
                daemon, reader, writer = await self.connect(client)
                if writer is None:
                    await asyncio.sleep(0.1)
                    continue
            attempt = f"q{next(self.numbers):08x}"
            path = draw.choice([wire.STREAM_PREFIX + "letter"] * 4 + [wire.SAFE_PREFIX + "quote"])
            left_ms = 20000 if path.startswith(wire.STREAM_PREFIX) else 2000
            answer = await self.exchange(client, daemon, reader, writer, "POST", path,
                                         wire.client_headers(attempt, left_ms), b"text")
            if answer is None or answer.headers.get("connection", "").lower() == "close":
                writer.close()
                writer = None
            await asyncio.sleep(draw.uniform(*IDLE_S))


async def work(fleet, trouble):
    record = fleet.record
    fleet.store = wire.Store(random.Random(1))
    await fleet.store.start("127.0.0.1")
    await fleet.store.publish("op", "config", wire.config(1, 0))
    wire.PIECE_S, wire.STREAM_EVENTS = EVENT_S, EVENTS
    ledger, begun = wire.Ledger(), {}
    for n in range(12):
        service = "plain" if n < 9 else "streams"
        server = Server(begun, fleet.store, ledger, random.Random(n), f"{service[0]}{n}", service, 6 if n < 9 else 12)
        await server.start("127.0.0.1")
        server.rise()
        fleet.spawn(server.beat())
    await fleet.start_daemons(fleet.store.address)
    balancer = Balancer(fleet)
    fleet.spawn(balancer.watch())
    clients = Clients(fleet, balancer)
    for n in range(CALLERS):
        fleet.spawn(clients.ask(f"caller{n}"))
    await asyncio.sleep(IDLE_S[1] + 4)  # By now each caller has a connection, and all machines are in touch.

    stopped, daemon = {}, fleet.daemons[0]
    if trouble:
        stopped[daemon.name] = time.monotonic()
        daemon.signal(signal.SIGTERM)
        await daemon.process.wait()
        record.write(daemon.name, f"ended with code {daemon.ended}, {time.monotonic() - stopped[daemon.name]:.2f} s after SIGTERM")
        await asyncio.sleep(0.5)
        await daemon.start()
    else:
        await asyncio.sleep(GRACE_S)
    await asyncio.sleep(4)
    clients.over = True
    await asyncio.sleep(EVENTS * EVENT_S + 1)
    record.write("check", f"{clients.answered} requests were answered, {clients.refused} connections were refused, "
                          f"{len(clients.cut)} requests ended without an answer")
    broken = []
    for attempt, daemon, sent, ended, what in clients.cut:
        at = stopped.get(daemon.name)
        if at is None or not at <= sent <= at + GRACE_S + 1:
            record.write("check", f"{attempt} {what} at {daemon.name} is not beside a stop")
            continue
        read = attempt in begun or ended > sent + SLACK_S
        excused = sent <= at + EARLY_S and ended >= at + GRACE_S * 5 / 6
        if read and not excused:
            broken.append(f"LOST: {attempt} {what}, sent to {daemon.name} {sent - at:.2f} s after its SIGTERM, "
                          + ("was at a server and " if attempt in begun else "")
                          + f"got no answer when the daemon ended {ended - sent:.2f} s later")
    return broken


rig.play(CASE, 3, work)
