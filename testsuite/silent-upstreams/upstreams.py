"""Stand-ins for sound upstreams that can be silent: engines with layers, and plain services."""

import asyncio
import json
import random
import time

from load import post

HEARTBEAT_S = 0.3
WORK_S = 0.04  # of a plain service, before the answer and again inside it
EVENT_S = 0.02


class Upstream:
    """One upstream. While it is silent, it sends nothing at all."""

    def __init__(self, upstreams, name, service, zone):
        self.upstreams, self.name, self.service, self.zone = upstreams, name, service, zone
        self.is_engine = service == "model"
        self.layers, self.fence, self.orders, self.sequence = [0, 0], 0, 0, 0
        self.silent_until, self.address = 0.0, ""
        self.born = int(time.time() * 1000)

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return asyncio.create_task(self.announce())

    async def wait_silence(self, request=""):
        """Waits until the upstream is not silent."""
        while (left := self.silent_until - time.monotonic()) > 0:
            if request:
                self.upstreams.paused.add(request)
            await asyncio.sleep(left)

    async def announce(self):
        while True:
            await self.wait_silence()
            self.sequence += 1
            body = {"service": self.service, "addr": self.address, "zone": self.zone,
                    "version": "v1", "slots": 50, "state": "ready", "seq": self.sequence,
                    "born": self.born}
            if self.is_engine:
                body.update({"type": "card",
                             "models": [{"name": "m", "version": 1, "adapters": []}],
                             "layers": {"from": self.layers[0], "to": self.layers[1], "version": 1}})
            for seed in random.sample(self.upstreams.seeds, len(self.upstreams.seeds)):
                if await post(seed, f"/Replicas.Heartbeat/{self.name}", body):
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {name.lower(): value.strip() for name, _, value
                          in (line.partition(":") for line in head[1:] if line)}
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                await self.answer(writer, head[0].split()[1], fields, body)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            return None
        finally:
            writer.close()

    async def answer(self, writer, path, fields, body):
        request = fields.get("x-attempt-id", "")
        if path in ("/order", "/report", "/healthz"):
            await self.wait_silence()
            status = self.take_order(json.loads(body)) if path == "/order" else 200
            report = json.dumps({"seq": self.orders}).encode() if path == "/report" else b""
            return writer.write(make_head(status, request, f"Content-Length: {len(report)}") + report)
        if fields.get("x-expect-instance") != self.name:
            return writer.write(make_head(421, request, "Content-Length: 0"))
        self.upstreams.arrived.add(request)
        if self.is_engine:
            return await self.stream(writer, request, fields)
        return await self.answer_lookup(writer, request)

    def take_order(self, order):
        if order["fence"] < self.fence:
            return 412
        self.fence, self.layers = order["fence"], [order["from"], order["to"]]
        self.orders += 1
        return 202

    async def answer_lookup(self, writer, request):
        body = self.upstreams.body("/get/", request)
        whole = make_head(200, request, f"Content-Length: {len(body)}") + body
        for part in (whole[:-4], whole[-4:]):
            await asyncio.sleep(WORK_S)
            await self.wait_silence(request)
            writer.write(part)
            await writer.drain()

    async def stream(self, writer, request, fields):
        # A stage that is silent holds up the whole chain.
        chain = [self] + [self.upstreams.by_address[hop.split("=")[0]]
                          for hop in fields.get("x-hops", "").split(",") if hop]
        first, last = int(fields.get("last-event-id") or 0) + 1, int(fields["x-tokens"].split(",")[1])
        await self.wait_silence(request)
        writer.write(make_head(200, request, "Content-Type: text/event-stream",
                               "Transfer-Encoding: chunked"))
        for number in range(first, last + 1):
            await asyncio.sleep(EVENT_S)
            for stage in chain:
                await stage.wait_silence(request)
            event = make_event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Upstreams:
    """All upstreams of a play, and what they saw."""

    def __init__(self, seeds, zones):
        self.seeds, self.zones = seeds, zones
        self.by_address, self.tasks = {}, []
        self.arrived, self.paused = set(), set()  # requests

    async def start(self, counts):
        for service, count in counts.items():
            for number in range(count):
                upstream = Upstream(self, f"{service}-{number}", service,
                                    self.zones[number % len(self.zones)])
                self.tasks.append(await upstream.start())
                self.by_address[upstream.address] = upstream

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def silence(self, count, seconds):
        """Makes some upstreams silent. None is silent again before it has sent for a second."""
        now = time.monotonic()
        free = [u for u in self.by_address.values() if u.silent_until + 1 < now]
        for upstream in random.sample(free, min(count, len(free))):
            upstream.silent_until = now + seconds

    @staticmethod
    def body(prefix, request, events=0):
        """Returns the whole body of the answer to a request."""
        if prefix == "/talk/":
            return b"".join(make_event(number) for number in range(1, events + 1))
        return f"answer to {request}".encode()


def make_event(number):
    return f"id: {number}\ndata: token {number}\n\n".encode()


def make_head(status, request, *fields):
    stamp = ("X-Server-Stamp: s",) if status == 200 else ()
    lines = (f"HTTP/1.1 {status} X", f"X-Attempt-Id: {request}", *stamp, *fields, "", "")
    return "\r\n".join(lines).encode()
