"""Streams, while the table of servers holds one entry of another writer. TROUBLE=0: without that entry."""

import asyncio
import errno
import itertools
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import world as w  # noqa: E402

HOST, SERVICE = "ficu95.example", "quote-app"
ROUTE = {"host": HOST, "service": SERVICE, "timeout_ms": 3000, "slo_ms": 400, "max_attempts": 2, "priority": 2}
CONFIG = {"version": 3, "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000,
                                   "idle_timeout_ms": 20000},
          "routes": [ROUTE | {"name": "draft", "path_prefix": "/draft/", "route_type": "streaming"},
                     ROUTE | {"name": "lookup", "path_prefix": "/lookup/", "route_type": "safe"}],
          "services": [{"name": SERVICE}]}
# Fields are missing: zone, version, cold_left_ms, seq_no, born. No connection to the address can be made.
FOREIGN = {"service": SERVICE, "address": "127.255.255.255:8144", "slots": 6, "state": "ready"}
SECONDS, NODES, CLIENTS, RESTART_S = 25, 3, 12, 0.5


def fails_at_once(host, port):
    """True if a connection to the address fails without delay because there is no way to it."""
    with socket.socket() as probe:
        probe.setblocking(False)
        return probe.connect_ex((host, port)) == errno.ENETUNREACH


async def case(world, record, trouble):
    host, port = FOREIGN["address"].split(":")
    if not fails_at_once(host, int(port)):
        raise RuntimeError("this system tries to connect to " + FOREIGN["address"])
    at_server, cut, numbers = set(), [], itertools.count(1)

    async def work(server, message, writer, echo):
        attempt = message.header(w.ID)
        at_server.add(attempt)
        if message.path.startswith("/lookup/"):
            await asyncio.sleep(0.2)
            writer.write(w.response(200, b"figure", echo | {w.SEAL: "3e1b.07.5a2"}))
            return True
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in echo.items())
        writer.write((head + f"{w.SEAL}: 3e1b.07\r\n\r\n").encode())
        for number in range(1, 6):
            await asyncio.sleep(0.04)
            if writer.is_closing():
                return False
            event = f"id: {number}\ndata: {attempt}:{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(b"0\r\n\r\n")
        return True

    await world.start(CONFIG, {}, [(f"i-{n}", SERVICE, 8, work, {}) for n in range(3)], NODES)
    end = time.monotonic() + SECONDS
    ends = dict.fromkeys((node.name for node in world.nodes), 0)

    async def keep_running(node):
        """The platform: a process that exits is started again after a short delay."""
        while True:
            code = await node.process.wait()
            ends[node.name] += 1
            record(f"{node.name} ended by itself with code {code}; its last line: {node.log.read_text().splitlines()[-1]}")
            await asyncio.sleep(RESTART_S)
            await node.start()

    keepers = [asyncio.create_task(keep_running(node)) for node in world.nodes]
    if trouble:
        await world.store.publish("servers", "i-7f3a91c2", FOREIGN)
        record(f"the table of servers holds i-7f3a91c2 {FOREIGN}")
    answers = {}

    async def client(index):
        while time.monotonic() < end:
            node = world.nodes[index % NODES]
            try:
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(*node.entry)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.3)
                continue
            try:
                while time.monotonic() < end:
                    attempt = f"{next(numbers):016x}"
                    path = f"/lookup/{attempt}" if index % 4 else f"/draft/{attempt}"
                    headers = {"Host": HOST, w.ID: attempt, w.DEADLINE: "3000"}
                    writer.write(w.request("POST", path, headers, b"vehicle"))
                    async with asyncio.timeout(4):
                        answer = await w.read_message(reader, True)
                    answers[answer.status] = answers.get(answer.status, 0) + 1
                    await asyncio.sleep(0.02)
            except (asyncio.IncompleteReadError, OSError, TimeoutError):
                if attempt in at_server and path.startswith("/lookup/"):
                    cut.append(attempt)
                    record(f"{node.name} closes the connection of {attempt} ({path}), which is at a sound server")
            finally:
                writer.close()

    await asyncio.gather(*[client(index) for index in range(CLIENTS)])
    for keeper in keepers:
        keeper.cancel()
    record(f"answers by status: {answers}; processes that ended by themselves: {ends}")
    breaches = []
    if len(cut) > 3:
        breaches.append(f"LOST: {len(cut)} requests were at a sound server when their connection was closed without an answer")
    often = [name for name, count in ends.items() if count >= 3]
    if len(often) >= 2:
        breaches.append(f"Fault: the processes of {', '.join(often)} ended by themselves three times or more")
    return breaches


w.main(case, 60)
