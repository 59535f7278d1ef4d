"""Clients that stay outside the limits, or use them to the full, at each door of the processes.

Guards against a process that ends because such clients take its memory or its descriptors, and
against one that serves nobody else meanwhile. The processes get less memory and fewer descriptors
by their settings than on their machines, so that a small crowd is enough. With --large they get
what the deployments have, and the crowds are as large as clients have been seen to be.

One test is one kind of crowd at one door. It checks that every process lives, that its memory and
its open descriptors stay under the limits of its settings, and that ordinary requests are answered
at every door while the crowd is still connected.
"""

import argparse
import dataclasses
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
for folder in (HERE.parent, HERE.parent / "platform"):
    sys.path.insert(0, str(folder))
import crowd as cr  # noqa: E402
import harness as h  # noqa: E402
import runtest  # noqa: E402
from fleet import Platform, configuration, entry_ip  # noqa: E402

RESERVED_DESCRIPTORS = 200  # of the limit, for files outside the data folder
ANSWER_S = 15  # deadline for an ordinary request, tried again while it is refused as not run


@dataclasses.dataclass
class Scale:
    """Limits of the processes, and sizes of the crowds."""
    entry_mb: int
    control_mb: int
    max_fds: int
    body: int  # the largest that callers may send
    bodies: int
    operator_bodies: int
    field_requests: int
    field_clients: int
    ahead_requests: int
    ahead_clients: int
    half_clients: int
    unread_clients: int
    value_clients: int
    send_s: float


SMALL = Scale(entry_mb=64, control_mb=96, max_fds=700, body=cr.MB, bodies=100, operator_bodies=24,
              field_requests=20, field_clients=300, ahead_requests=20000, ahead_clients=40,
              half_clients=600, unread_clients=100, value_clients=6, send_s=1.5)
LARGE = Scale(entry_mb=112, control_mb=256, max_fds=2870, body=4 * cr.MB, bodies=150,
              operator_bodies=60, field_requests=200, field_clients=300, ahead_requests=100000,
              ahead_clients=100, half_clients=2800, unread_clients=300, value_clients=24, send_s=10.0)


@dataclasses.dataclass
class Door:
    name: str
    address: str
    path: str
    method: str  # of requests without a body
    body: int    # the largest allowed


def doors(platform, scale):
    entry = entry_ip(1)
    front = f"{entry}:{platform.front_port}"
    metrics = f"{entry}:{platform.ports['port_range.1']}"
    operator_body = 8 * cr.MB
    return [
        Door("route", front, "/book/1", "POST", scale.body),
        Door("no-route", front, "/none/1", "POST", scale.body),
        Door("front-ready", front, "/readyz", "GET", scale.body),
        Door("ready", f"{entry}:{platform.ready_port}", "/readyz", "GET", scale.body),
        Door("metrics", metrics, "/metrics", "GET", scale.body),
        Door("entry-operators", f"{entry}:{platform.control_port}", "/Config.Get", "GET",
             operator_body),
        Door("control-operators", platform.seeds[0], "/Config.Get", "GET", operator_body),
    ]


def shapes(door, scale):
    """Yields the name, the payloads, the number of clients and the size of the pieces."""
    is_operator = "operators" in door.name
    bodies = scale.operator_bodies if is_operator else scale.bodies
    post = "/Config.Put" if is_operator else door.path
    yield "short-bodies", [cr.body_that_stops_short(post, door.body)], bodies, cr.MB
    yield "small-pieces", [cr.body_that_stops_short(post, door.body)], bodies, 4096
    yield "chunks", [cr.chunks_that_stop_short(post, door.body)], bodies, cr.MB
    yield ("far-over", [cr.body_far_over(post, door.body), cr.chunks_far_over(post, door.body)],
           bodies, cr.MB)
    yield ("short-fields", [cr.heads_of_short_fields(door.path, door.method, scale.field_requests)],
           scale.field_clients, cr.MB)
    yield ("sent-ahead", [cr.requests_sent_ahead(door.path, door.method, scale.ahead_requests)],
           scale.ahead_clients, cr.MB)
    yield "half-heads", [cr.half_a_head(door.path)], scale.half_clients, cr.MB
    if is_operator:
        paths = ["/Config.Put", "/Replicas.Heartbeat/x", "/Replicas.Deregister/x"]
        yield ("many-values", [cr.body_of_many_values(path, door.body) for path in paths],
               scale.value_clients, cr.MB)
    if door.name == "route":
        yield ("unread-answers", [cr.requests_sent_ahead("/book/large", "POST", 4)],
               scale.unread_clients, cr.MB)


class Watched:
    """A process under test, and the limits that it must keep."""

    def __init__(self, start, memory_mb, max_fds):
        self.start, self.process, self.memory_mb = start, start(), memory_mb
        self.max_open = max_fds - RESERVED_DESCRIPTORS
        self.most_open = 0
        self.peak = 0.0  # MB, of the last test

    def restart(self):
        """Starts the process anew, so that a broken limit counts in one test only."""
        self.process.kill()
        self.process = self.start()

    def begin(self):
        self.most_open = 0
        if self.process.alive():  # the peak of the resident memory counts from here
            pathlib.Path(f"/proc/{self.process.pid}/clear_refs").write_text("5")

    def look(self):
        if self.process.alive():
            folder = pathlib.Path(f"/proc/{self.process.pid}/fd")
            self.most_open = max(self.most_open, len(list(folder.iterdir())))

    def peak_mb(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024

    def faults(self):
        """Returns what broke, as texts."""
        if not self.process.alive():
            return [f"{self.process.name} has ended"]
        found = []
        self.peak = self.peak_mb()
        if self.peak > self.memory_mb:
            found.append(f"{self.process.name} took {self.peak:.0f} of {self.memory_mb} MB")
        if self.most_open > self.max_open:
            found.append(f"{self.process.name} had {self.most_open} of {self.max_open} descriptors "
                         "open")
        return found


class Site:
    """A running installation: three control processes, one entry process, one upstream."""

    def __init__(self, platform, scale):
        self.platform, self.scale = platform, scale
        limits = {"limits.max_fds": scale.max_fds}
        self.control_limits = {**limits, "limits.memory_mb": scale.control_mb}
        self.entry_limits = {**limits, "limits.memory_mb": scale.entry_mb}
        self.bootstrap = "true"
        for i in (2, 3):
            self.start_control(i)
        self.watched = [Watched(lambda: platform.entry(1, **self.entry_limits), scale.entry_mb,
                                scale.max_fds),
                        Watched(lambda: self.start_control(1), scale.control_mb, scale.max_fds)]
        self.doors = doors(platform, scale)
        routes = configuration(1)
        routes["limits"]["max_body_bytes"] = scale.body
        platform.put_until(routes)
        # Whitespace makes it as long as the interface for operators takes.
        self.largest_configuration = h.json.dumps({**routes, "version": 2}).ljust(8 * cr.MB).encode()
        self.small_configuration = {**routes, "version": 3}
        self.upstream = platform.replica("l1", "ledger", "a")
        answer = bytes(2 * cr.MB)
        handler = self.upstream.server.RequestHandlerClass
        plain = handler.answer

        def answer_by_path(request, status, body):
            plain(request, status, answer if request.path == "/book/large" else body)
        handler.answer = answer_by_path

    def start_control(self, number):
        return self.platform.control(number, bootstrap=self.bootstrap, **self.control_limits)

    @staticmethod
    def answers(address, method, path, statuses, body=b"", headers=None, timeout=2):
        try:
            reply = h.call(method, address, path, body, headers, timeout)
        except (OSError, h.http.client.HTTPException):
            return False
        return reply.status in statuses

    def ask(self, path, status, body=b"", headers=None):
        """Whether an ordinary request of a customer is answered with this status."""
        fields = {"Host": "h.example", "Api-Key": "key-1", "X-Deadline-Ms": "5000",
                  "X-Attempt-Id": h.uuid7(), **(headers or {})}
        return self.answers(self.doors[0].address, "POST", path, (status,), body, fields)

    def book(self, body=b"a booking", headers=None):
        return self.ask("/book/1", 200, body, headers)

    def put_largest(self, door):
        """Sends the largest configuration until it is acknowledged: a slow disk refuses some."""
        h.wait_until(lambda: self.answers(door.address, "POST", "/Config.Put", (200,),
                                          self.largest_configuration, timeout=ANSWER_S),
                     3 * ANSWER_S, f"the largest configuration is taken at {door.name}")

    def closed_for_memory(self):
        """Returns the metrics of connections that were closed, or refused, for memory."""
        found = []
        port = self.platform.ports["port_range.1"]
        for ip in (entry_ip(1), "127.0.0.1"):
            text = h.call("GET", f"{ip}:{port}", "/metrics").body.decode()
            found += [f"{ip} {line}" for line in text.splitlines()
                      if "connections_closed" in line and '"memory"' in line
                      and not line.endswith(" 0")]
        return found

    def unanswered(self):
        """Returns the doors at which an ordinary request is not answered in time."""
        by_name = {door.name: door.address for door in self.doors}
        requests = {
            "a booking": self.book,
            "no route": lambda: self.ask("/none/1", 404),
            "readiness": lambda: self.answers(by_name["ready"], "GET", "/readyz", (200,)),
            "metrics": lambda: self.answers(by_name["metrics"], "GET", "/metrics", (200,)),
            "operators at the entry host":
                lambda: self.answers(by_name["entry-operators"], "GET", "/Config.Get", (200,)),
            "operators at the control host":
                lambda: self.answers(by_name["control-operators"], "GET", "/Config.Get", (200,)),
        }
        failed = []
        for name, is_answered in requests.items():
            try:
                h.wait_until(is_answered, ANSWER_S, name)
            except h.Timeout as error:
                failed.append(str(error))
        return failed

    def play(self, door, payloads, count, piece):
        """Plays one crowd. Returns what broke, as texts."""
        for one in self.watched:
            one.begin()
        with cr.Crowd(door.address, payloads, count, piece) as crowd:
            crowd.send(self.scale.send_s)
            for one in self.watched:
                one.look()
            faults = self.unanswered()
            for one in self.watched:
                one.look()
        for one in self.watched:
            if broken := one.faults():
                faults += broken
                one.restart()
        if faults:
            self.unanswered()  # waits until the new processes serve
        return faults


def check_calm(c, site):
    """Guards against limits that refuse what a single client may send."""
    h.wait_until(site.book, 15, "a booking is served")
    site.bootstrap = "false"
    c.check(site.book(bytes(site.scale.body)), "the largest body is served in calm")
    fields = {f"F{i}": "x" * 1000 for i in range(15)}
    c.check(site.book(headers=fields), "a head of almost the largest size is served in calm")
    many = {f"f{i}": "" for i in range(1500)}
    c.check(site.ask("/none/1", 404, headers=many), "a head of very many fields is read in calm")
    for door in site.doors:
        if "operators" in door.name:
            site.put_largest(door)
    c.equal(site.closed_for_memory(), [], "requests refused for memory in calm")
    # The crowds at the operators' doors ask for it.
    site.platform.put_until(site.small_configuration)


def run(c, arguments):
    scale = LARGE if arguments.large else SMALL
    known_red = runtest.known_red()
    skipped = 0
    with Platform(arguments.build) as platform:
        site = Site(platform, scale)
        check_calm(c, site)
        for door in site.doors:
            for shape, payloads, count, piece in shapes(door, scale):
                name = f"abuse/{shape}/{door.name}"
                if arguments.only and arguments.only not in name:
                    continue
                began = time.monotonic()
                faults = site.play(door, payloads, count, piece)
                if arguments.verbose:
                    peaks = ", ".join(f"{one.process.name} {one.peak:.0f} MB {one.most_open}"
                                      for one in site.watched)
                    print(f"{name}: {peaks}, {time.monotonic() - began:.1f} s", flush=True)
                if faults and name in known_red:
                    skipped += 1
                    print(f"{name}: failed, listed in KNOWN-RED.txt: {'; '.join(faults)}")
                    continue
                c.check(not faults, name, "; ".join(faults))
    if skipped:
        print(f"listed in KNOWN-RED.txt: {skipped}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=HERE.parent.parent / "build")
    parser.add_argument("--large", action="store_true", help="limits and crowds as deployed")
    parser.add_argument("--only", help="only the tests whose name contains this text")
    parser.add_argument("--verbose", action="store_true", help="print the peaks of each test")
    arguments = parser.parse_args()
    checks = h.Checks()
    run(checks, arguments)
    checks.finish()


if __name__ == "__main__":
    main()
