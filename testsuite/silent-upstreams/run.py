"""Upstreams that are silent as a whole for about a second and go on, beside changes of the configuration.

Guards against requests that end without a whole answer (504, a cut stream, a closed connection)
although their upstream goes on, when retries are scarce and other upstreams are silent as well.
"""

import argparse
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
from fleet import ENGINE, ZONES, Platform, configuration, entry_ip  # noqa: E402
from load import Fleet, put_configuration  # noqa: E402
from upstreams import Upstreams  # noqa: E402

HOSTS = 3
CALLERS = {"/get/": 10, "/talk/": 8}  # at each host
BOUNDS = {"bounds.retry_ratio": 0.1, "bounds.retry_slack": 10}
PLAY_S, START_S = 25, 20
DEADLINE_S = 10
EVENTS = 60
WHOLE_SHARE = 0.4  # of all requests; refusals are allowed, but a host that refuses most proves nothing
MIN_PAUSED = 100  # requests whose upstream was silent, so that the play shows something


class Configurations:
    """Configurations in series that allow the requests of all callers at any time."""

    def __init__(self, seeds):
        self.seeds, self.version = seeds, 0

    async def send(self):
        self.version += 1
        keys = ["key-1", "key-2"] if random.random() < 0.5 else ["key-1"]
        document = configuration(self.version, keys)
        talk, get = document["routes"]
        talk["timeout_ms"], get["timeout_ms"] = (random.choice((9000, 10000)) for _ in range(2))
        weight = random.choice((20, 50, 80))
        get.pop("service")
        get.update({"name": "get", "prefix": "/get/", "type": "safe", "goal_ms": 300,
                    "split": [{"service": "lookup", "weight": weight},
                              {"service": "stock", "weight": 100 - weight}]})
        if random.random() < 0.5:
            document["routes"].append({**talk, "name": "more", "prefix": "/more/"})
        engine = {**ENGINE, "kv_capacity": 20000}
        document["services"] = [
            {"name": "model", "health_path": "/healthz", "max_conns": 400, "engine": engine},
            {"name": "lookup", "health_path": "/healthz", "max_conns": 400},
            {"name": "stock", "health_path": "/healthz", "max_conns": 400}]
        await put_configuration(self.seeds, document)


class Caller:
    """Requests one after the other on a kept connection to one host."""

    def __init__(self, platform, host, prefix, upstreams):
        self.address = (entry_ip(host), platform.front_port)
        self.host, self.prefix, self.upstreams = host, prefix, upstreams
        self.connection, self.ends = None, []

    async def run(self, until):
        while time.monotonic() < until:
            await self.call()
            await asyncio.sleep(random.uniform(0.02, 0.2))
        self.close()

    async def call(self):
        """Sends a request. Returns how it ended, "whole" with its whole answer."""
        request, start = f"{random.getrandbits(64):016x}", time.monotonic()
        try:
            end = await asyncio.wait_for(self.exchange(request), DEADLINE_S + 2)
        except asyncio.TimeoutError:
            end = "no answer"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            end = "cut or closed" if request in self.upstreams.arrived else "closed unread"
        if end != "whole":
            self.close()
        self.ends.append((end, request, self.host, round(time.monotonic() - start, 3)))
        return end

    def close(self):
        if self.connection:
            self.connection[1].close()
        self.connection = None

    async def exchange(self, request):
        self.connection = self.connection or await asyncio.open_connection(*self.address)
        reader, writer = self.connection
        writer.write(f"POST {self.prefix}1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {request}\r\n"
                     f"X-Deadline-Ms: {DEADLINE_S * 1000}\r\nApi-Key: key-1\r\n"
                     f"X-Tokens: 10,{EVENTS}\r\nContent-Length: 0\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        if "content-length: " in head:
            size = int(head.split("content-length: ")[1].split("\r\n")[0])
            body = await reader.readexactly(size)
        else:
            body = await self.read_chunks(reader)
        if "connection: close" in head:
            self.close()
        if " 200 " not in head[:14]:
            return head[9:12]
        return "whole" if body == self.upstreams.body(self.prefix, request, EVENTS) else "spoilt"

    @staticmethod
    async def read_chunks(reader):
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return body


async def wait_serving(platform, fleet, upstreams):
    """Returns once every host answers on both routes."""
    end = time.monotonic() + START_S
    for host in fleet.entries:
        for prefix in CALLERS:
            caller = Caller(platform, host, prefix, upstreams)
            while await caller.call() != "whole":
                assert time.monotonic() < end, f"host {host}, {prefix}: {caller.ends[-1]}"
                await asyncio.sleep(0.1)
            caller.close()


async def disturb(until, fleet, upstreams, configurations):
    """Silent upstreams, and beside them configurations and SIGHUP."""
    async def every(mean_s, act):
        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(1 / mean_s))
            await act()

    async def reload():
        fleet.entries[random.choice(list(fleet.entries))].send(signal.SIGHUP)

    async def silence():
        upstreams.silence(random.choice((1, 1, 3)), random.uniform(0.6, 1.4))

    await asyncio.gather(every(0.5, silence), every(1.0, configurations.send), every(1.0, reload))


async def play(platform):
    """Returns how each request ended and the number of requests that met a silent upstream."""
    fleet = Fleet(platform, HOSTS, **BOUNDS)
    upstreams, configurations = Upstreams(platform.seeds, ZONES), Configurations(platform.seeds)
    await upstreams.start({"lookup": 3, "stock": 3, "model": 10})
    await configurations.send()
    await wait_serving(platform, fleet, upstreams)
    until = time.monotonic() + PLAY_S
    callers = [Caller(platform, host, prefix, upstreams)
               for host in fleet.entries for prefix, count in CALLERS.items() for _ in range(count)]
    disturbance = disturb(until, fleet, upstreams, configurations)
    await asyncio.gather(disturbance, *[caller.run(until) for caller in callers])
    upstreams.stop()
    return {prefix: [end for caller in callers if caller.prefix == prefix for end in caller.ends]
            for prefix in CALLERS}, len(upstreams.paused), configurations.version


def print_lost(platform, lost):
    """Prints what the hosts logged about the first of the lost requests."""
    for end, request, host, after in lost[:3]:
        print(f"{request} at host {host}: {end} after {after} s")
        process = next(p for p in platform.processes if p.name == f"edge-{host}")
        for event in process.events:
            if event.get("request_id") == request:
                print("   ", json.dumps(event))


def run(c, build, seed):
    random.seed(seed)
    with Platform(build) as platform:
        ends, paused, versions = asyncio.run(play(platform))
        print(f"{paused} requests met a silent upstream beside {versions} configurations")
        c.check(paused >= MIN_PAUSED, "upstreams fall silent with requests in progress")
        for prefix, requests in ends.items():
            count = collections.Counter(end for end, *_ in requests)
            print(f"{prefix}: {len(requests)} requests, {dict(count)}", flush=True)
            # A request that crosses a close, and is sent to no upstream, is not lost.
            lost = [r for r in requests if r[0] not in ("whole", "429", "503", "closed unread")]
            print_lost(platform, lost)
            c.equal(len(lost), 0, f"seed {seed}, {prefix}: requests without a whole answer")
            c.check(count["whole"] >= WHOLE_SHARE * len(requests),
                    f"seed {seed}, {prefix}: requests are answered")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=CASES.parent / "build")
    parser.add_argument("--seed", type=int, default=47)
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}", flush=True)
    c = h.Checks()
    run(c, arguments.build, arguments.seed)
    c.finish()


if __name__ == "__main__":
    main()
