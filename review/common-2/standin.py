"""A small deployment on loopback addresses for the scripts of the second review.

Starts the programs of the deploy file from target/bin with the settings templates of deploy/, and
has a stand-in for a replica that speaks the users' protocol: heartbeats, orders, reports, requests.
"""

import http.client
import json
import pathlib
import signal
import socket
import sys
import threading
import time
import uuid

TOP = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(TOP / "testsuite"))
sys.path.insert(0, str(TOP / "testsuite" / "platform"))
import fleet  # noqa: E402
import harness  # noqa: E402

LAYERS = 8
PROGRAMS = ["corneltray-gateway", "corneltray-control"]
HOST = "h.example"
KEY = "key-1"


def has_programs():
    return all((TOP / "target" / "bin" / name).exists() for name in PROGRAMS)


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.3f}  {text}\n")
            self.file.flush()


def engine_profile():
    profile = dict(fleet.ENGINE)
    profile.update({"slots": 192, "kv_capacity": 100000, "layers": LAYERS, "layer_mb": 100.0})
    profile["kinds"] = [{"name": "card", "size_mb": 2000.0, "pace": 1.0, "read_factor": 1.0}]
    return profile


def route(name, prefix, kind, service, timeout_ms, goal_ms, **more):
    entry = {"name": name, "host": HOST, "prefix": prefix, "type": kind, "timeout_ms": timeout_ms,
             "goal_ms": goal_ms, "prio": 1, "service": service, "attempts": 2, "public": False,
             "sticky": False, "resumable": False, "itl_target_ms": 200}
    entry.update(more)
    return entry


def configuration(version, routes, services, keys=(KEY,)):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4 << 20,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant", "api_keys": list(keys), "prio": 1}]}


def attempt_id():
    return uuid.uuid4().hex[:16]


def address_of(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


def request_bytes(path, attempt, deadline_ms, body=b"", key=KEY, **headers):
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
             f"X-Deadline-Ms: {deadline_ms}", f"Api-Key: {key}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.error = 0, {}, b"", ""
        self.first_at = self.end_at = None

    def __repr__(self):
        if self.error:
            return f"{self.error} (status {self.status}, {len(self.body)} bytes)"
        return f"{self.status}, {len(self.body)} bytes"


def call(address, path, attempt, deadline_ms, body=b"", key=KEY, **headers):
    """One request on a channel of its own. Waits as long as its deadline, and half a second."""
    answer = Answer()
    connection = http.client.HTTPConnection(address, timeout=deadline_ms / 1000 + 0.5)
    try:
        fields = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms),
                  "Api-Key": key}
        fields.update({name.replace("_", "-"): str(value) for name, value in headers.items()})
        connection.request("POST", path, body, fields)
        reply = connection.getresponse()
        answer.status, answer.headers = reply.status, dict(reply.getheaders())
        while piece := reply.read1(65536):
            answer.first_at = answer.first_at or time.monotonic()
            answer.body += piece
    except (OSError, http.client.HTTPException) as error:
        answer.error = type(error).__name__
    finally:
        connection.close()
    answer.end_at = time.monotonic()
    return answer


class Channel:
    """The head and body of one request that a replica reads from a channel, and its answer."""

    def __init__(self, sock):
        self.sock = sock
        self.file = sock.makefile("rb")

    def read(self):
        """Returns method, path, headers and body of the next request, or None at the end."""
        line = self.file.readline(65536)
        if not line.endswith(b"\r\n"):
            return None
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = self.file.readline(65536)
            if not line.endswith(b"\r\n"):
                return None
            if line == b"\r\n":
                break
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = self.file.read(length) if length else b""
        if len(body) != length:
            return None
        return method, path, headers, body

    def send(self, data):
        self.sock.sendall(data)

    def answer(self, status, headers, body=b""):
        head = [f"HTTP/1.1 {status} Status"] + [f"{n}: {v}" for n, v in headers.items()]
        head.append(f"Content-Length: {len(body)}")
        self.send(("\r\n".join(head) + "\r\n\r\n").encode() + body)

    def close(self):
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.file.close()
        self.sock.close()


class Replica:
    """Announces itself about every 0.4 s, obeys orders at once, and hands requests to `serve`.

    `serve(replica, channel, path, headers, body)` answers one request; it returns False to close
    the channel.
    """

    HEARTBEAT_S = 0.4

    def __init__(self, name, service, zone, controls, serve, kind=None, ip="127.0.0.1", slots=192):
        self.name, self.service, self.zone, self.kind, self.slots = name, service, zone, kind, slots
        self.controls, self.serve = list(controls), serve
        self.layers = [0, 0]
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.orders, self.fence = 0, 0
        self.channels, self.lock = set(), threading.Lock()
        self.stopped = threading.Event()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, 0))
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    def _accept(self):
        while not self.stopped.is_set():
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve_channel, args=(sock,), daemon=True).start()

    def _serve_channel(self, sock):
        channel = Channel(sock)
        with self.lock:
            self.channels.add(channel)
        try:
            while request := channel.read():
                if not self._serve_request(channel, *request):
                    break
        except (OSError, ValueError):
            pass
        with self.lock:
            self.channels.discard(channel)
        channel.close()

    def _serve_request(self, channel, method, path, headers, body):
        if path == "/report":
            report = {"phase": "both", "models": self._models(), "busy": False, "seq": self.orders,
                      "queued": 0, "active": 1, "kv_used": 0, "kv_total": 800000, "handles": 0,
                      "pace": 1.0, "stalled": []}
            channel.answer(200, {"Content-Type": "application/json"}, json.dumps(report).encode())
            return True
        if path == "/healthz":
            channel.answer(200, {"X-Instance": self.name})
            return True
        if headers.get("x-expect-instance", self.name) != self.name:
            channel.answer(421, {"X-Attempt-Id": headers.get("x-attempt-id", ""), "X-Not-Run": "1"})
            return True
        if path == "/order":
            channel.answer(self._take(json.loads(body)), {})
            return True
        return self.serve(self, channel, path, headers, body) is not False

    def _take(self, order):
        if order.get("fence", 0) < self.fence:
            return 412
        self.fence = order.get("fence", 0)
        self.orders += 1
        self.layers = [order["from"], order["to"]]
        return 202

    def _models(self):
        return [{"name": "m", "version": 1, "adapters": []}] if self.kind else []

    def _announce(self):
        turn = 0
        while not self.stopped.is_set():
            self.sequence += 1
            beat = {"service": self.service, "addr": self.address, "zone": self.zone,
                    "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                    "seq": self.sequence, "born": self.born}
            if self.kind:
                beat.update({"phase": "both", "type": self.kind, "models": self._models(),
                             "layers": {"from": self.layers[0], "to": self.layers[1],
                                        "version": 1}})
            for _ in self.controls:
                if self._post(self.controls[turn % len(self.controls)], beat):
                    break
                turn += 1
            self.stopped.wait(self.HEARTBEAT_S)

    def _post(self, address, beat):
        connection = http.client.HTTPConnection(address, timeout=1)
        try:
            connection.request("POST", "/Replicas.Heartbeat/" + self.name, json.dumps(beat),
                               {"Content-Type": "application/json"})
            return connection.getresponse().status // 100 == 2
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def close(self):
        self.stopped.set()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            channels = list(self.channels)
        for channel in channels:
            try:
                channel.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Deployment:
    """Three control hosts, entry hosts and replicas. Ends all that it started."""

    def __init__(self, record, entries=1, **settings):
        self.record = record
        self.platform = fleet.Platform(TOP / "target")
        self.replicas, self.entries = [], {}
        self.controls = [self.platform.control(number) for number in (1, 2, 3)]
        for number in range(1, entries + 1):
            self.entries[number] = self.platform.entry(number, **settings)

    def replica(self, *arguments, **more):
        self.replicas.append(Replica(*arguments[:3], self.platform.seeds, *arguments[3:], **more))
        return self.replicas[-1]

    def front(self, number=1):
        return f"{fleet.entry_ip(number)}:{self.platform.front_port}"

    def put(self, document):
        self.platform.put_until(document)
        self.record.write(f"operator: configuration {document['version']} acknowledged")

    def wait_served(self, number, path, seconds=25, **headers):
        """Waits until the entry host serves a request of this path."""
        harness.wait_until(
            lambda: call(self.front(number), path, attempt_id(), 2000, **headers).status == 200,
            seconds, f"{path} is served")

    def close(self):
        for replica in self.replicas:
            replica.close()
        self.platform.close()


def main(folder, run, trouble):
    """Runs a case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the programs are ended as well
    record = Record(folder)
    if not has_programs():
        record.write("the programs of the deploy file are not built")
        return 2
    try:
        broken = run(record, trouble)
    except Exception as error:  # the case itself failed, which says nothing about the rule
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        return 2
    for line in broken:
        record.write("BROKEN: " + line)
    record.write("the rule was broken" if broken else "the rule held")
    print(f"{'broken' if broken else 'held'}: {len(broken)}", flush=True)
    return 1 if broken else 0
