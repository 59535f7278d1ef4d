"""Planned stop of an entry host while requests are at every stage of a connection.

Guards against a stop that drops a request that was read, or cuts an answer that was written: behind
another request on the same connection, with its body on the way, at a host that has just started,
at a caller that reads slowly, and beside further signals.
"""

import http.server
import json
import pathlib
import signal
import socket
import sys
import threading
import time

CASES = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(CASES), str(CASES / "platform")]
import harness as h  # noqa: E402
from fleet import Platform, entry_ip  # noqa: E402
from load import service_configuration  # noqa: E402
from replicas import Replica  # noqa: E402

TIMEOUT_S = 12
GRACE_S = 8


class DelayedService(Replica):
    """Answers a path /get/DELAY_MS/BYTES after the delay with so many bytes."""

    def __init__(self, name, zone, controls):
        super().__init__(name, "lookup", zone, controls)
        replica = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                replica.requests.append(self.headers["X-Attempt-Id"])
                delay_ms, size = map(int, self.path.split("/")[2:4])
                time.sleep(delay_ms / 1000)
                self.send_response(200)
                self.send_header("X-Attempt-Id", self.headers["X-Attempt-Id"])
                self.send_header("X-Server-Stamp", "s")
                self.send_header("Content-Length", str(size))
                self.end_headers()
                self.wfile.write(b"x" * size)

        self.server.RequestHandlerClass = Handler


class Caller:
    """One connection to an entry host."""

    def __init__(self, platform, number, receive_buffer=None):
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(TIMEOUT_S)
        self.socket.connect((entry_ip(number), platform.front_port))
        self.reader = self.socket.makefile("rb")

    def send(self, name, delay_ms=0, size=2, body=b""):
        self.socket.sendall(request(name, delay_ms, size, len(body)) + body)

    def answer(self):
        """Returns the status and the length of the next answer, or why there is none."""
        try:
            line = self.reader.readline()
            if not line:
                return "closed"
            fields = {}
            while (field := self.reader.readline().strip()):
                name, value = field.decode().split(": ", 1)
                fields[name.lower()] = value
            size = int(fields.get("content-length", 0))
            return (int(line.split()[1]), len(self.reader.read(size)))
        except OSError as error:
            return type(error).__name__


def request(name, delay_ms, size, body_size):
    return (f"POST /get/{delay_ms}/{size} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {name}\r\n"
            f"X-Deadline-Ms: 10000\r\nApi-Key: key-1\r\nContent-Length: {body_size}\r\n\r\n").encode()


class Host:
    """An entry host of one case."""

    def __init__(self, platform, number):
        self.platform, self.number = platform, number
        self.process = platform.entry(number, **{"bounds.grace_s": GRACE_S})

    def caller(self, **more):
        return Caller(self.platform, self.number, **more)

    def wait_serving(self):
        def is_served():
            caller = self.caller()
            caller.send("warm-up")
            return caller.answer() == (200, 2)
        h.wait_until(is_served, 10, "a request served")

    def stop(self, *more):
        """Sends SIGTERM, and pairs of a delay and another signal after it."""
        self.process.send(signal.SIGTERM)
        for delay, other in more:
            time.sleep(delay)
            if self.process.alive():
                self.process.send(other)


def pipelined(host):
    """Three requests in one write, stopped during the first."""
    caller = host.caller()
    for i in range(3):
        caller.send(f"pipelined-{i}", delay_ms=400)
    time.sleep(0.2)
    host.stop()
    return [caller.answer() for _ in range(3)], [(200, 2)] * 3


def pipelined_after_the_signal(host):
    """A second request is sent while the first one is in progress, after the signal."""
    caller = host.caller()
    caller.send("first", delay_ms=1500)
    time.sleep(0.2)
    host.stop()
    time.sleep(0.5)
    caller.send("second", delay_ms=300)
    return [caller.answer() for _ in range(2)], [(200, 2)] * 2


def pipelined_body_on_its_way(host):
    """The second request on a connection has arrived in part when the first one is answered."""
    caller = host.caller()
    caller.send("first", delay_ms=600)
    body = b"x" * 4000
    whole = request("second", 0, 2, len(body)) + body
    caller.socket.sendall(whole[:2000])
    time.sleep(0.2)
    host.stop()
    time.sleep(1)
    caller.socket.sendall(whole[2000:])
    return [caller.answer() for _ in range(2)], [(200, 2)] * 2


def body_on_its_way(host):
    """The rest of a body arrives at several moments after the signal."""
    callers = [host.caller() for _ in range(4)]
    body = b"x" * 4000
    for i, caller in enumerate(callers):
        caller.socket.sendall(request(f"body-{i}", 100, 2, len(body)) + body[:1000])
    time.sleep(0.2)
    host.stop()
    answers = []
    for caller in callers:
        time.sleep(1.2)
        caller.socket.sendall(body[1000:])
        answers.append(caller.answer())
    # A host that has stopped to accept requests says that it did not run this one.
    return [answer in ((200, 2), (503, 0)) for answer in answers], [True] * 4


def slow_reader(host):
    """An answer of 3 MB is read over five seconds."""
    caller = host.caller(receive_buffer=16384)
    caller.send("slow", size=3_000_000)
    time.sleep(0.3)
    host.stop()
    data = b""
    try:
        while len(data) < 3_000_000:
            part = caller.socket.recv(60_000)
            if not part:
                break
            data += part
            time.sleep(0.05 if len(data) < 2_500_000 else 0)
    except OSError as error:
        return type(error).__name__, "3 MB"
    return len(data) >= 3_000_000, True


def read_after_the_end(host):
    """Answers that fit the buffers are read only after the process has ended."""
    callers = [host.caller() for _ in range(3)]
    callers[0].send("alone", size=50_000)
    callers[1].send("with-body", size=50_000, body=b"x" * 100_000)
    callers[2].send("late", delay_ms=3300, size=50_000)
    time.sleep(0.3)
    host.stop()
    host.process.popen.wait(GRACE_S + 2)
    return [caller.answer() for caller in callers], [(200, 50_000)] * 3


def bytes_behind_the_last_answer(host):
    """A caller sends another request behind one whose answer it has not read when the host ends."""
    callers = [host.caller() for _ in range(3)]
    for caller in callers:
        caller.send("last", delay_ms=3000, size=50_000)
    time.sleep(0.3)
    host.stop()
    time.sleep(2.6)
    callers[0].send("behind")
    time.sleep(0.35)
    callers[1].send("behind")
    time.sleep(0.05)
    callers[2].send("behind")
    host.process.popen.wait(GRACE_S + 2)
    return [caller.answer() for caller in callers], [(200, 50_000)] * 3


def other_signals(host):
    """Signals in series after the first one."""
    caller = host.caller()
    caller.send("long", delay_ms=4000)
    time.sleep(0.2)
    more = [(0.1, s) for s in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)]
    host.stop(*more, *[(0.7, signal.SIGTERM)] * 4)
    answer = caller.answer()
    return (answer, host.process.popen.wait(GRACE_S)), ((200, 2), 0)


def long_request(host):
    """A request that ends just before the grace period does."""
    caller = host.caller()
    caller.send("long", delay_ms=7000)
    time.sleep(0.2)
    host.stop()
    return caller.answer(), (200, 2)


def kept_connections(host):
    """Callers that send one request after the other and honour Connection: close."""
    lost = []

    def call(number, until):
        caller, count = None, 0
        while time.monotonic() < until:
            try:
                caller = caller or host.caller()
            except OSError:
                return
            count += 1
            name, sent = f"kept-{number}-{count}", time.monotonic()
            try:
                caller.send(name, delay_ms=20)
                answer = caller.answer()
            except OSError as error:
                answer = type(error).__name__
            if answer != (200, 2):
                after = time.monotonic() - sent
                if after > 0.2 or name in {x for r in host.platform.replicas for x in r.requests}:
                    lost.append((name, answer, round(after, 3)))
                caller = None
            time.sleep(0.01 * (number % 7))

    until = time.monotonic() + 6
    threads = [threading.Thread(target=call, args=(i, until)) for i in range(12)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    host.stop()
    for thread in threads:
        thread.join()
    return lost, []


def stopped_right_after_its_start(host):
    """Requests at a host that knows no routes yet when it is stopped."""
    host.process.send(signal.SIGKILL)
    host.process.popen.wait(5)
    host.process = host.platform.entry(host.number, **{"bounds.grace_s": GRACE_S})
    callers = [host.caller() for _ in range(4)]
    for caller in callers:
        caller.send("early")
    host.stop()
    return [caller.answer() in ((200, 2), (503, 0)) for caller in callers], [True] * 4


CASES_TO_PLAY = [pipelined, pipelined_after_the_signal, pipelined_body_on_its_way, body_on_its_way,
                 slow_reader, read_after_the_end, bytes_behind_the_last_answer, other_signals,
                 long_request, kept_connections, stopped_right_after_its_start]


def run(c, build):
    with Platform(build) as platform:
        for number in (1, 2, 3):
            platform.control(number)
        services = [DelayedService(f"lookup-{z}", z, platform.seeds) for z in "abc"]
        platform.replicas += services
        platform.put_until(service_configuration(timeout_ms=10000, attempts=2, goal_ms=10000))
        hosts = [Host(platform, i + 1) for i in range(len(CASES_TO_PLAY))]
        for host in hosts:
            host.wait_serving()
        plays = [lambda play=play, host=host: play(host)
                 for play, host in zip(CASES_TO_PLAY, hosts)]
        for play, (seen, expected) in zip(CASES_TO_PLAY, h.in_parallel(*plays)):
            print(f"{play.__name__}: {json.dumps(seen)}", flush=True)
            c.equal(seen, expected, play.__doc__)


if __name__ == "__main__":
    h.main(run, __doc__)
