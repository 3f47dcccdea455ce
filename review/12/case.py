"""A client puts a second request into the path of an item; a server runs it."""

import asyncio
import base64
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-3"))
import stage as st  # noqa: E402
from stage import http11, wire  # noqa: E402

# Ids that clients send. Nobody sends the last one: it stands only inside the path of an item.
ITEMS, NOBODYS = ("item0001", "item0002", "item0003"), "nobodys1"
EVENTS = 3
WATCH_S = 6.0


def smuggling_path():
    """Ends the first request, holds a whole second one, and begins a third whose head jvnode completes."""
    path = f"{wire.BATCH_PREFIX}{ITEMS[0]}"
    own = (f"Host: {wire.HOST}\r\nJacinthvale-Attempt-Id: {ITEMS[0]}\r\nJacinthvale-Model: m0\r\n"
           "Content-Length: 1\r\n\r\n1")
    inside = (f"POST {wire.BATCH_PREFIX}inside HTTP/1.1\r\nHost: {wire.HOST}\r\nJacinthvale-Attempt-Id: {NOBODYS}\r\n"
              "Jacinthvale-Model: m0\r\nJacinthvale-Token-Count: 40,30\r\nContent-Length: 1\r\n\r\n1")
    return f"{path} HTTP/1.1\r\n{own}{inside}POST {path}"


class Engine(wire.Upstream):
    """A model server. It runs each request that bears an id, as the pages say."""

    stage = None

    async def generate(self, request, writer, echo):
        item = request.headers[wire.ID]
        if not item:
            writer.write(http11.response(400, b"", {wire.NOT_RUN: "1"}))
            return True
        self.stage.record(f"{self.id} runs {request.method} {request.target.path}, id {item}, for instance "
                          f"{request.headers.get(wire.INSTANCE)}")
        self.stage.ran.append(item)
        version = self.versions[request.headers[wire.MODEL]]
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in echo.items())
        writer.write((head + f"{wire.SEAL}: s\r\n{wire.VERSIONS}: {version}\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(0.05)
            if writer.is_closing() or not self.up:
                return False
            event = f"id: {number}\ndata: {item}:{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


def batch_body(trouble):
    requests = [{"id": item, "path": f"{wire.BATCH_PREFIX}{item}", "tokens": 70, "group": "g0",
                 "headers": {"Jacinthvale-Model": "m0", "Jacinthvale-Token-Count": "40,30"},
                 "body": base64.b64encode(b"prompt").decode()} for item in ITEMS]
    if trouble:
        requests[0]["path"] = smuggling_path()
    return json.dumps({"train_step": 0, "model": "m0", "min_version": 1, "group_count": 1,
                       "requests": requests}).encode()


async def case(stage):
    stage.ran = []
    config = wire.config(1, 0)
    config["routes"][0] |= {"max_attempts": 3, "due_ms": 7500, "retention_s": 40}
    for name in ("e0", "e1"):
        engine = Engine(stage.store, stage.ledger, stage.store.random, name, "engines", 12)
        engine.stage = stage
        await stage.add_server(engine)
    await stage.start(3, config)
    await asyncio.sleep(st.CONTACT_S)
    batch = stage.attempt("b")
    answer = await stage.daemons[0].call("POST", wire.BATCH_PREFIX + batch, batch, batch_body(stage.trouble))
    stage.record(f"batch job {batch} with items {', '.join(ITEMS)}: {answer and answer.status}")
    if answer is None:
        raise st.CannotRun("the batch job got no answer")
    await asyncio.sleep(WATCH_S)
    page = await stage.daemons[1].call("GET", wire.page_path(batch, 0), stage.attempt("r"))
    listed = wire.decode_page(page.body)[1] if page is not None and page.status == 200 else []
    stage.record(f"listed: {[(result[0], result[1]) for result in listed]}")
    for item in sorted(set(stage.ran) - set(ITEMS)):
        stage.rule_broken(f"a server ran {item} {stage.ran.count(item)} times, an id that no client sent")
    if not stage.trouble and len(listed) < len(ITEMS):
        raise st.CannotRun("the batch job did not end")


if __name__ == "__main__":
    st.play(case, pathlib.Path(__file__).parent, limit=60)
