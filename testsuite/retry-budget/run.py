"""Retries of all entry hosts together while every replica fails.

Guards against hosts that together send more retries than the allowance, in a burst of failures and
while hosts or control hosts are killed.
"""

import asyncio
import collections
import json
import pathlib
import random
import signal
import sys
import time

CASES = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(CASES), str(CASES / "platform")]
import harness as h  # noqa: E402
from fleet import Platform, configuration, entry_ip  # noqa: E402

HOSTS = 15
REPLICAS = 6
CALLS_PER_S = 10  # at each host
BURST = 40  # requests at each host
RATIO, SLACK, WINDOW_S = 0.2, 424, 10
WARM_UP_S, FAILING_S = 3, 14


class FailingService:
    """Replicas on one event loop. They answer, or reset each connection once `fails` is set."""

    def __init__(self):
        self.fails = False
        self.arrivals = collections.defaultdict(list)  # times, by request
        self.tasks = []

    async def start(self, seeds):
        for number in range(REPLICAS):
            server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            self.tasks.append(asyncio.create_task(self.announce(number, port, seeds)))

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

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
                request = fields.get("x-attempt-id", "")
                if request:
                    self.arrivals[request].append(time.monotonic())
                if self.fails:
                    return writer.transport.abort()
                writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\nX-Server-Stamp: s\r\n"
                             "Content-Length: 2\r\n\r\nok".encode())
        except (asyncio.IncompleteReadError, OSError):
            return None
        finally:
            writer.close()


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


class Callers:
    """Requests to every host at a fixed rate, each on a connection of its own."""

    def __init__(self, port):
        self.port, self.sent, self.answers = port, {}, collections.Counter()

    async def run(self, host, until):
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.call(host)))
            await asyncio.sleep(random.expovariate(CALLS_PER_S))
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


def worst_window(sent, arrivals):
    """Returns the retries and the allowed number of the window that is worst by their difference."""
    requests = sorted(sent.values())
    retries = sorted(t for times in arrivals.values() for t in sorted(times)[1:])

    def count(times, begin):
        return sum(begin <= t < begin + WINDOW_S for t in times)

    windows = []
    for begin in retries:
        most = max(count(requests, begin - shift) for shift in (0, WINDOW_S / 2, WINDOW_S))
        windows.append((count(retries, begin), RATIO * most + SLACK))
    return max(windows, key=lambda window: window[0] - window[1], default=(0, SLACK))


def lookup_configuration():
    document = configuration(1)
    document["routes"] = [{"name": "get", "host": "h.example", "prefix": "/get/", "type": "safe",
                           "timeout_ms": 4000, "goal_ms": 300, "prio": 1, "service": "lookup",
                           "attempts": 3, "public": False, "sticky": False, "resumable": False}]
    document["services"] = [{"name": "lookup", "health_path": "/healthz", "max_conns": 2000}]
    return document


class Fleet:
    """Entry and control hosts that can be killed and started again."""

    def __init__(self, platform):
        self.platform = platform
        self.controls = {n: platform.control(n) for n in (1, 2, 3)}
        self.entries = {n: self.start_entry(n) for n in range(1, HOSTS + 1)}

    def start_entry(self, number):
        return self.platform.entry(number, zone="abc"[number % 3], wait=False,
                                   **{"bounds.retry_ratio": RATIO, "bounds.retry_slack": SLACK})

    def kill_entry(self, number):
        self.entries[number].send(signal.SIGKILL)
        self.entries[number].popen.wait(5)
        self.entries[number] = self.start_entry(number)

    def kill_control(self, number):
        self.controls[number].send(signal.SIGKILL)
        self.controls[number].popen.wait(5)
        self.controls[number] = self.platform.control(number, wait=False)


async def calm(_fleet, _callers, _until):
    pass


async def burst(fleet, callers, until):
    """Many requests at every host at the same moment, just over nine seconds apart."""
    while time.monotonic() < until:
        calls = [callers.call(host) for host in fleet.entries for _ in range(BURST)]
        await asyncio.gather(*calls, asyncio.sleep(9.2))


async def kill_entries(fleet, _callers, until):
    while time.monotonic() < until:
        for number in random.sample(sorted(fleet.entries), 5):
            fleet.kill_entry(number)
        await asyncio.sleep(2)


async def kill_controls(fleet, _callers, until):
    for number in (1, 2, 3, 1):
        if time.monotonic() < until:
            fleet.kill_control(number)
            await asyncio.sleep(3)


async def freeze_entries(fleet, _callers, until):
    while time.monotonic() < until:
        frozen = [fleet.entries[number] for number in random.sample(sorted(fleet.entries), 5)]
        for entry in frozen:
            entry.send(signal.SIGSTOP)
        await asyncio.sleep(2.5)
        for entry in frozen:
            entry.send(signal.SIGCONT)


TROUBLES = {"calm": calm, "burst": burst, "freeze_entries": freeze_entries, "kill_entries": kill_entries, "kill_controls": kill_controls}


async def play(platform, trouble):
    fleet, service, callers = Fleet(platform), FailingService(), Callers(platform.front_port)
    await service.start(platform.seeds)
    for _ in range(50):
        if await post(random.choice(platform.seeds), "/Config.Put", lookup_configuration()):
            break
        await asyncio.sleep(0.2)
    await asyncio.sleep(3)
    until = time.monotonic() + WARM_UP_S + FAILING_S
    tasks = [asyncio.create_task(callers.run(host, until)) for host in fleet.entries]
    await asyncio.sleep(WARM_UP_S)
    service.fails = True
    tasks.append(asyncio.create_task(trouble(fleet, callers, until)))
    await asyncio.gather(*tasks)
    for task in service.tasks:
        task.cancel()
    return callers, service


def run(c, build, troubles=tuple(TROUBLES)):
    for name in troubles:
        with Platform(build) as platform:
            callers, service = asyncio.run(play(platform, TROUBLES[name]))
        used, allowed = worst_window(callers.sent, service.arrivals)
        seen = f"{name}: {used} retries in {WINDOW_S} s, {allowed:.0f} allowed"
        print(seen, dict(callers.answers), flush=True)
        c.check(used <= allowed, seen)
        c.check(used > allowed / 4, f"{seen}: the failures use the allowance")


if __name__ == "__main__":
    h.main(run, __doc__)
