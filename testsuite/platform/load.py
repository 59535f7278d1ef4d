"""Load on the programs of the users' platform: replicas of a service and callers on one event loop."""

import asyncio
import collections
import json
import random
import time

from fleet import configuration, entry_ip


def service_configuration(timeout_ms, attempts, goal_ms=300):
    """One route of repeatable requests to the service "lookup"."""
    document = configuration(1)
    document["routes"] = [{"name": "get", "host": "h.example", "prefix": "/get/", "type": "safe",
                           "timeout_ms": timeout_ms, "goal_ms": goal_ms, "prio": 1,
                           "service": "lookup", "attempts": attempts, "public": False,
                           "sticky": False, "resumable": False}]
    document["services"] = [{"name": "lookup", "health_path": "/healthz", "max_conns": 2000}]
    return document


async def post(address, path, body):
    """Returns whether the control host answered with 200."""
    ip, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 0.7)
        try:
            data = json.dumps(body).encode()
            writer.write(f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            return b" 200 " in await asyncio.wait_for(reader.readline(), 0.7)
        finally:
            writer.close()
    except (OSError, asyncio.TimeoutError):
        return False


async def put_configuration(seeds, document):
    for _ in range(50):
        if await post(random.choice(seeds), "/Config.Put", document):
            return
        await asyncio.sleep(0.2)
    raise RuntimeError("configuration not acknowledged")


class Service:
    """Replicas that answer, reset each connection once `fails` is set, or name a limit."""

    def __init__(self):
        self.fails = False
        self.limit = None  # requests a second that each replica names
        self.arrivals = collections.defaultdict(list)  # times and replicas, by request
        self.tasks = []

    async def start(self, replicas, seeds):
        for number in range(replicas):
            async def serve(reader, writer, number=number):
                await self.serve(number, reader, writer)
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            self.tasks.append(asyncio.create_task(self.announce(number, port, seeds)))

    def stop(self):
        for task in self.tasks:
            task.cancel()

    async def announce(self, number, port, seeds):
        born, sequence = int(time.time() * 1000), 0
        while True:
            sequence += 1
            body = {"service": "lookup", "addr": f"127.0.0.1:{port}", "zone": "abc"[number % 3],
                    "version": "v1", "slots": 50, "state": "ready", "seq": sequence, "born": born}
            for seed in random.sample(seeds, len(seeds)):
                if await post(seed, f"/Replicas.Heartbeat/lookup-{number}", body):
                    break
            await asyncio.sleep(0.3)

    async def serve(self, number, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
                request = fields.get("x-attempt-id", "")
                if request:
                    self.arrivals[request].append((time.monotonic(), number))
                if self.fails:
                    return writer.transport.abort()
                limit = f"Server-Limit: {self.limit}\r\n" if self.limit is not None else ""
                writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\nX-Server-Stamp: s\r\n"
                             f"{limit}Content-Length: 2\r\n\r\nok".encode())
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            return None
        finally:
            writer.close()


class Callers:
    """Requests to every host at a fixed rate, each on a connection of its own."""

    def __init__(self, port, calls_per_s):
        self.port, self.calls_per_s = port, calls_per_s
        self.sent, self.answers = {}, collections.Counter()

    async def run(self, host, until):
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.call(host)))
            await asyncio.sleep(random.expovariate(self.calls_per_s))
        await asyncio.gather(*tasks)

    async def call(self, host):
        request = f"{len(self.sent):016x}"
        self.sent[request] = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(entry_ip(host), self.port)
            writer.write(f"GET /get/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {request}\r\n"
                         "X-Deadline-Ms: 4000\r\nApi-Key: key-1\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 6)
            self.answers[line[9:12].decode() or "closed"] += 1
            writer.close()
        except (OSError, asyncio.TimeoutError):
            self.answers["closed"] += 1


class Fleet:
    """Entry and control hosts that can be killed and started again."""

    def __init__(self, platform, hosts, **bounds):
        self.platform, self.bounds = platform, bounds
        self.controls = {n: platform.control(n) for n in (1, 2, 3)}
        self.entries = {n: self.start_entry(n) for n in range(1, hosts + 1)}

    def start_entry(self, number):
        return self.platform.entry(number, zone="abc"[number % 3], wait=False, **self.bounds)

    def restart_entry(self, number, signal_number):
        self.entries[number].send(signal_number)
        self.entries[number].popen.wait(10)
        self.entries[number] = self.start_entry(number)

    def restart_control(self, number, signal_number):
        self.controls[number].send(signal_number)
        self.controls[number].popen.wait(10)
        self.controls[number] = self.platform.control(number, wait=False)
