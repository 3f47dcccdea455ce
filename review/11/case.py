"""A daemon that reads the list of servers for others is killed while a server leaves; some never learn that it left."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-3"))
import stage as st  # noqa: E402
from stage import wire  # noqa: E402

# From 100 daemons on, eight of them read the list from the store and the others ask those.
DAEMONS, READERS = 104, 8
# Bounds of the sheet of the large deployment.
DRAIN_S, CONTACT_S = 4.0, 5.0
# The leaving server serves for drain_ms after its entry is gone and some seconds more.
LINGER_S = 8.0
CALM_S, CALL_PAUSE_S = 8.0, 1.0
KILL_TO_REMOVAL_S, KILL_TO_START_S = 0.4, 0.5
WORK_S = (0.3, 0.5)


class Application(wire.Upstream):
    """A server of a plain service; tells the case which requests it ran and when."""

    case = None

    async def handle(self, request, writer):
        wanted = request.headers.get(wire.INSTANCE)
        if self.up and wanted == self.id and request.headers.get(wire.ID):
            self.case.on_request(self, request.headers[wire.ID])
        return await super().handle(request, writer)

    left = False

    async def serve(self, request, writer, echo):
        await asyncio.sleep(self.random.uniform(*WORK_S) * self.pace)
        if self.up:
            body = wire.answer_body(request.target.path, echo[wire.ID], request.body)
            writer.write(st.http11.response(200, body, echo | {wire.SEAL: "s"}))
        return self.up

    async def beat(self):
        beats = 0
        while self.up and not self.left:
            beats += 1
            host, port = self.told_address
            await self.store.publish("servers", self.id, {
                "service": self.service, "address": f"{host}:{port}", "zone": "z", "version": self.software,
                "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq_no": beats, "born": self.born})
            await asyncio.sleep(wire.BEAT_S)


class Case:
    def __init__(self, stage):
        self.stage = stage
        self.sent = {}  # attempt -> (daemon, time)
        self.statuses = {}
        self.leaving, self.gone_at, self.over = None, None, False
        self.reads = {}  # daemon -> number of its reads of the list of servers
        self.killed = None
        self.late = {}  # daemon -> requests that reached the server after drain_ms
        self.late_attempts, self.lost = set(), 0

    def on_read(self, name, request):
        if request.target.path == "/v1/rows-feed" and request.query("table") == "servers":
            self.reads[name] = self.reads.get(name, 0) + 1

    def on_request(self, server, attempt):
        if server is not self.leaving or self.gone_at is None or attempt not in self.sent:
            return
        after = time.monotonic() - self.gone_at
        daemon, sent_at = self.sent[attempt]
        # Only what the client sent after that time, too: the time of this process's own work isn't held against jvnode.
        if sent_at - self.gone_at > DRAIN_S and daemon is not self.killed:
            self.late_attempts.add(attempt)
            count = self.late[daemon.name] = self.late.get(daemon.name, 0) + 1
            if count == 1:
                self.stage.rule_broken(f"{attempt}, sent to {daemon.name}, reached {server.id} {after:.2f} s after its entry "
                                       "was gone")

    async def client(self, daemon, offset):
        """One client of each daemon: a request a second, on an unsafe route and a new connection."""
        await asyncio.sleep(offset)
        while not self.over:
            began = time.monotonic()
            if daemon.process.returncode is None and not (daemon is self.killed and began < daemon.started_at + 1):
                attempt = self.stage.attempt("c")
                self.sent[attempt] = (daemon, began)
                answer = await daemon.call("POST", f"{wire.ONCE_PREFIX}{attempt}", attempt, b"x", limit=3)
                status = answer.status if answer else "none"
                self.lost += attempt in self.late_attempts and status != 200
                self.statuses[status] = self.statuses.get(status, 0) + 1
            await asyncio.sleep(max(0, CALL_PAUSE_S - (time.monotonic() - began)))


async def case(stage):
    play = Case(stage)
    stage.store.on_read = play.on_read
    # "Servers of one service differ in speed": those of the site by 1.0, 1.0 and 1.3.
    for name, pace in (("p0", 1.3), ("p1", 1.0)):
        server = Application(stage.store, stage.ledger, stage.store.random, name, "plain", 120)
        server.case, server.pace = play, pace
        await stage.add_server(server)
    await stage.start(DAEMONS, wire.config(1, 0))
    for number, daemon in enumerate(stage.daemons):
        stage.spawn(play.client(daemon, CALL_PAUSE_S * number / DAEMONS))
    await asyncio.sleep(CALM_S)
    play.reads.clear()
    await asyncio.sleep(2)
    readers = sorted(play.reads, key=play.reads.get, reverse=True)[:READERS]
    stage.record(f"reads of the list from the store in 2 s, by daemon: {dict(sorted(play.reads.items()))}")
    if len(play.reads) > DAEMONS / 2:
        raise st.CannotRun("the daemons do not share the reads of the list")
    victim = stage.by_name(readers[0])
    stage.record(f"answers so far: {play.statuses}")
    if stage.trouble:
        play.killed = victim
        victim.kill_now()
        await victim.process.wait()
        stage.record(f"SIGKILL to {victim.name}, which reads the list for others")
    await asyncio.sleep(KILL_TO_REMOVAL_S)
    play.leaving = stage.servers[1]
    play.leaving.left = True  # it never reports draining, and goes on serving
    await stage.store.publish("servers", play.leaving.id, None)
    play.gone_at = time.monotonic()
    stage.record(f"{play.leaving.id} leaves: its entry is gone, it serves {DRAIN_S + LINGER_S:.0f} s more")
    await asyncio.sleep(KILL_TO_START_S - KILL_TO_REMOVAL_S)
    if stage.trouble:
        await victim.start()
        stage.record(f"{victim.name} is started again")
    await asyncio.sleep(DRAIN_S + LINGER_S)
    play.leaving.crash()
    await asyncio.sleep(1)
    play.over = True
    stage.record(f"{play.leaving.id} has exited; {play.lost} of the requests that came to it late got no answer of a server")
    stage.record(f"answers: {play.statuses}")
    stage.record(f"requests that reached it later than {DRAIN_S:.0f} s after its entry was gone, by daemon: {play.late}")


if __name__ == "__main__":
    st.play(case, pathlib.Path(__file__).parent)
