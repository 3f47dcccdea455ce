"""A small deployment on loopback for the scripts of the review.

Starts daemons by the command of deploy/system.toml, each on its own loopback address, with the project's own
stand-ins of the store and of the servers (platform/soak/), a record and a check. Every process that is started
is ended.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "platform" / "soak"))
sys.dont_write_bytecode = True
import http11  # noqa: E402
import standins as wire  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
# Figures of the settings of a small deployment (sites/cfsan-rollout.toml).
LEASE_MS, GRACE_S, MEMORY_MB, CPU_SHARE, READS, WRITES = 3000, 8, 150, 0.5, 2000, 800
PORTS = {"entryAddress": 8001, "readinessAddress": 8002, "peerAddress": 8003, "metricsAddress": 9464}


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, who, text):
        self._file.write(f"{self.now():8.3f} s  {who:<10} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Daemon:
    """One jvnode. Signals go to its own id only."""

    def __init__(self, fleet, index, store_address):
        self.fleet, self.name, self.store_address = fleet, f"h{index}", store_address
        octets = os.getpid() % 60000
        self.ip = f"127.{20 + octets // 250 % 200}.{1 + octets % 250}.{1 + index}"
        self.process = None
        self.log = fleet.folder / f"{self.name}.log"

    def address(self, what):
        return self.ip, PORTS[what]

    @property
    def entry(self):
        return self.address("entryAddress")

    def command(self, settings):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split(" ")
        return [str(ROOT / words[0])] + [str(settings) if w.startswith("/etc/") else w for w in words[1:]]

    def settings(self):
        """The fields of deploy/jvnode.json.template."""
        seeds = [f"{d.ip}:{PORTS['peerAddress']}" for d in self.fleet.daemons[:3]] or [f"{self.ip}:{PORTS['peerAddress']}"]
        fields = {name: f"{self.ip}:{port}" for name, port in PORTS.items()}
        return fields | {"host": self.name, "availabilityZone": "z", "seeds": seeds, "processorShare": CPU_SHARE,
                         "platformAddress": "%s:%d" % self.store_address, "storeReadsPerSecond": READS,
                         "storeWritesPerSecond": WRITES, "memoryMb": MEMORY_MB, "leaseMs": LEASE_MS,
                         "stopGraceSeconds": GRACE_S} | self.fleet.extra_settings

    async def start(self):
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(*self.command(path), stdout=log, stderr=log, cwd=ROOT)
        self.fleet.record.write(self.name, "process started")

    def signal(self, what):
        if self.process and self.process.returncode is None:
            self.fleet.record.write(self.name, f"gets {signal.Signals(what).name}")
            self.process.send_signal(what)

    @property
    def ended(self):
        return self.process.returncode

    async def ready(self):
        answer = await http11.call(self.address("readinessAddress"), http11.request("GET", "/v1/readiness", {}), 1)
        return answer is not None and answer.status == 200

    async def until_ready(self, limit):
        end = time.monotonic() + limit
        while not await self.ready():
            if self.ended is not None or time.monotonic() > end:
                raise CannotRun(f"{self.name} is not ready, exit code {self.ended}")
            await asyncio.sleep(0.05)

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class Fleet:
    """Store, servers and daemons of one play."""

    def __init__(self, record, folder, size):
        self.record, self.folder, self.size = record, folder, size
        self.store, self.daemons, self.servers, self.tasks = None, [], [], set()
        self.extra_settings = {}

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start_daemons(self, store_address):
        self.daemons = [Daemon(self, n, store_address) for n in range(self.size)]
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.until_ready(20)
        self.record.write("platform", f"{self.size} daemons are ready")

    async def end(self):
        for daemon in self.daemons:
            await daemon.end()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def play(case_folder, size, work, limit=110):
    """Runs work(fleet, trouble), which returns the list of broken promises, and exits as the issue says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(case_folder) / "record.txt")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    record.write("case", f"{'with' if trouble else 'without'} the disruption, {time.strftime('%Y-%m-%d')}")

    async def whole():
        fleet = Fleet(record, folder, size)
        try:
            async with asyncio.timeout(limit):
                return await work(fleet, trouble)
        finally:
            await fleet.end()

    try:
        if not (ROOT / "target" / "jvnode").exists():
            raise CannotRun("target/jvnode is missing: run the build of deploy/system.toml first")
        broken = asyncio.run(whole())
        code = BROKEN if broken else HELD
        for text in broken:
            record.write("check", f"broken: {text}")
        record.write("check", "the rule was broken" if broken else "the rule held")
    except (CannotRun, OSError, TimeoutError) as problem:
        record.write("case", f"could not run: {problem!r}")
        code = NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)
