"""Stand-in for a runner, as a process of its own. Its only argument is a JSON object with what it is.

It follows PROTOCOL.md, "Runners" and "Requests": it registers in the store, reports, takes orders, and answers each
request with a stream (model runners) or a whole body (plain ones). What it runs stands in the record.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time

import http1

HEARTBEAT_S = 1.2
EVENT_S = 0.02
LAYER_MB = 1000


class Runner:
    def __init__(self, what):
        self.what = what
        self.id, self.address, self.service = what["id"], what["address"], what["service"]
        self.size_mb = what.get("sizeMb")
        self.born = int(time.time() * 1e3)
        self.sequence = self.orders = self.running = 0
        self.span, self.busy = (0, 0), False
        self.served = False
        self.state, self.leaves = "ready", False
        self.random = random.Random(what.get("seed", 0) + self.born)
        self.file = os.open(what["record"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def record(self, what, **fields):
        line = {"t": round(time.time(), 3), "runner": self.id, "what": what, **fields}
        os.write(self.file, (json.dumps(line) + "\n").encode())

    def entry(self):
        entry = {"service": self.service, "address": self.address, "zone": self.what["zone"], "version": "v1",
                 "slots": self.what["slots"], "state": self.state, "coldLeftMs": 0, "born": self.born,
                 "sequence": self.sequence}
        if self.size_mb:
            entry["kind"] = self.what["kind"]
            entry["layers"] = {"from": self.span[0], "to": self.span[1], "version": 1}
        return entry

    async def publish(self):
        self.sequence += 1
        key = self.id.encode()
        record = bytes([len(key)]) + key + json.dumps(self.entry()).encode()
        body = len(record).to_bytes(4, "big") + record
        await http1.call(self.what["store"], "POST", "/-/log-append?topic=keyed.servers&part=0", body=body)

    async def beat(self):
        while True:
            if not self.leaves:
                await self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def leave(self):
        """Writes no more entries; the platform removes the last one."""
        self.leaves = True

    def drain(self):
        self.state = "draining"
        asyncio.ensure_future(self.publish())

    def report(self):
        return {"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": self.busy,
                "layers": {"from": self.span[0], "to": self.span[1], "version": 1}, "kind": self.what.get("kind"),
                "sequence": self.orders, "born": self.born, "queued": 0, "running": self.running,
                "kvUsed": self.running, "kvTotal": 1000, "handles": 0, "pace": 1.0, "stalled": []}

    async def order(self, order):
        if order["operation"] == "repath":
            return 404
        if order["operation"] != "place":
            return 400
        span = (order["from"], order["to"])
        if order.get("precondition", self.orders) != self.orders or self.busy:
            return 409
        if span == self.span:
            return 200
        self.orders += 1
        self.record("order", span=span)
        if (span[1] - span[0]) * LAYER_MB > self.size_mb:
            self.record("more layers than its memory holds", span=span)
            os.kill(os.getpid(), signal.SIGKILL)
        self.busy = True

        async def load():
            share = (span[1] - span[0]) / 8
            await asyncio.sleep(self.what["loadS"] * share * (1.0 if self.served else 0.1))
            self.span, self.busy = span, False
            await self.publish()
        asyncio.ensure_future(load())
        return 202

    async def serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None:
                    return
                if request.target == "/-/report":
                    if not self.size_mb:
                        writer.write(http1.response(404))
                    else:
                        body = json.dumps(self.report()).encode()
                        writer.write(http1.response(200, body, {"Content-Type": "application/json"}))
                elif request.target == "/-/order":
                    writer.write(http1.response(await self.order(json.loads(request.body))))
                elif request.target == "/health":
                    status = 200 if self.state == "ready" and not self.leaves else 503
                    writer.write(http1.response(status, b"", {"Instance": self.id}))
                elif request.headers.get("expect-instance", self.id) != self.id:
                    writer.write(http1.response(421, b"", {"Instance": self.id}))
                else:
                    await self.run(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def own_fields(self, request):
        return {"Request-Id": request.headers["request-id"], "Server-Stamp": "%s.%s" % (self.id, self.born),
                "Server-Load": "%d,0,%d" % (self.running, self.what["slots"])}

    async def run(self, request, writer):
        headers, fields = request.headers, self.own_fields(request)
        told = {"id": headers["request-id"], "path": request.target, "tenant": headers.get("tenant"),
                "body": request.body[:40].decode("latin-1")}
        if self.size_mb and not await self.path_fits(headers):
            self.record("declined", **told)
            writer.write(http1.response(421, b"", {**fields, "At-Server": self.address, "Not-Executed": "1"}))
            return
        self.record("arrived", **told)
        self.running += 1
        self.served = True
        try:
            if self.size_mb:
                await self.stream(request, writer, fields, told)
            else:
                await asyncio.sleep(self.what.get("workS", 0.02))
                self.record("ran", **told)
                writer.write(http1.response(200, b"answer to " + told["id"].encode(), fields))
        finally:
            self.running -= 1

    async def path_fits(self, headers):
        """Whether each runner of the path holds its part."""
        hops = headers.get("hops", "%s=0-8" % self.address).split(",")
        for n, hop in enumerate(hops):
            address, span = hop.split("=")
            part = tuple(int(layer) for layer in span.split("-"))
            if n == 0:
                held = self.span if address == self.address and not self.busy else (0, 0)
            else:
                got = await http1.call(address, "GET", "/-/report", limit=1.0)
                layers = json.loads(got[2])["layers"] if got and got[0] == 200 else {"from": 0, "to": 0}
                held = (layers["from"], layers["to"])
            if part[0] < held[0] or part[1] > held[1]:
                return False
        return True

    async def stream(self, request, writer, fields, told):
        headers = request.headers
        events = int(headers.get("token-counts", "100,80").split(",")[1]) // 2
        first = int(headers["last-event-id"]) + 1 if "last-event-id" in headers else 0
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += ["%s: %s" % field for field in fields.items()]
        await asyncio.sleep(EVENT_S)
        self.record("began", first=first, **told)
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        if self.what.get("crashes") and request.body.startswith(b"POISON"):
            # The request ends the runner a moment after it has begun to run.
            asyncio.get_running_loop().call_later(self.random.uniform(*self.what["crashes"]), self.crash, told)
        for event in range(first, events):
            data = b"id: %d\ndata: %d of %d\n\n" % (event, event, events)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        self.record("ran", **told)

    def crash(self, told):
        self.record("crashed", **told)
        os.kill(os.getpid(), signal.SIGKILL)


async def main():
    runner = Runner(json.loads(sys.argv[1]))
    host, port = runner.address.rsplit(":", 1)
    await asyncio.start_server(runner.serve, host, int(port), reuse_address=True)
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, runner.leave)
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR2, runner.drain)
    await runner.beat()


asyncio.run(main())
