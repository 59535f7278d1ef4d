"""Starts the programs for the end-to-end cases, talks to them and computes the expected answers.

Nothing here waits for a fixed time: every wait is for an event or a condition, under a deadline.
"""

import argparse
import atexit
import http.client
import json
import os
import pathlib
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import uuid

START_S = 20  # deadline for a program to report that it listens
OPERATOR_KEY = "operator-key-for-tests"
SHARED_KEY = "shared-key-for-tests-only"
CUSTOMER_KEY = "customer-key-for-tests"
MASK = (1 << 64) - 1


class Timeout(AssertionError):
    """A bounded wait ended without the event."""


def wait_until(condition, seconds, what):
    """Returns the first true value of `condition`; raises Timeout after `seconds`."""
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= end:
            raise Timeout(f"not within {seconds} s: {what}")
        time.sleep(0.01)


# The fake model, as defined in src/fake-engine/fake_model.h.

def mix(x):
    x = (x + 0x9e3779b97f4a7c15) & MASK
    x = ((x ^ (x >> 30)) * 0xbf58476d1ce4e5b9) & MASK
    x = ((x ^ (x >> 27)) * 0x94d049bb133111eb) & MASK
    return x ^ (x >> 31)


def hash_text(text):
    value = 0xcbf29ce484222325
    for byte in text.encode():
        value = ((value ^ byte) * 0x100000001b3) & MASK
    return value


def piece(hidden):
    text = " "
    for shift in (16, 32):
        bits = hidden >> shift
        text += "bdfgklmnprstvwyz"[bits % 16] + "aeiou"[(bits // 16) % 5]
    return text


def expected(prompt, max_tokens, layers, model="assistant", version="1", adapter="", accepted=()):
    """Returns the tokens, the text pieces and the finish reason of a whole answer."""
    seed = hash_text(f"{model}\n{version}\n{adapter}")
    keys = [mix((seed + layer + 1) & MASK) for layer in range(layers)]
    state, tokens, texts = hash_text(prompt), list(accepted), []
    for token in accepted:
        state = mix((state + token) & MASK)
    while len(tokens) < max_tokens:
        hidden = state
        for key in keys:
            hidden = mix(hidden ^ key)
        tokens.append(hidden % 50000)
        texts.append(piece(hidden))
        state = mix((state + tokens[-1]) & MASK)
        if prompt.endswith(".") and tokens[-1] % 8 == 0:
            return tokens, texts, "stop"
    return tokens, texts, "length"


# HTTP and server-sent events.

class Reply:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body)

    def error(self):
        """The error object of the body, or an empty one."""
        try:
            return self.json().get("error", {})
        except (ValueError, AttributeError):
            return {}

    def __repr__(self):
        return f"{self.status} {dict(self.headers)} {self.body[:400]!r}"


def call(method, address, path, body=None, headers=None, timeout=15):
    """One request on a connection of its own. A dict is sent as JSON, bytes and text as they are."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        sent = {"Content-Type": "application/json"} if data is not None else {}
        connection.request(method, path, data, {**sent, **(headers or {})})
        answer = connection.getresponse()
        return Reply(answer.status, answer.headers, answer.read())
    finally:
        connection.close()


class Stream:
    """A POST whose answer is a stream of server-sent events."""

    def __init__(self, address, path, body, headers=None, timeout=15):
        self.connection = http.client.HTTPConnection(address, timeout=timeout)
        self.connection.request("POST", path, json.dumps(body),
                                {"Content-Type": "application/json", **(headers or {})})
        self.answer = self.connection.getresponse()
        self.status, self.headers = self.answer.status, self.answer.headers
        self.times = []  # arrival of each event

    def next(self):
        """Returns the next event as JSON, "[DONE]", or None at the end."""
        while True:
            line = self.answer.readline()
            if not line:
                return None
            if line.startswith(b"data:"):
                self.times.append(time.monotonic())
                text = line[5:].strip().decode()
                return text if text == "[DONE]" else json.loads(text)

    def rest(self):
        return list(iter(self.next, None))

    def close(self):
        sock = self.connection.sock
        self.answer.close()
        self.connection.close()
        if sock is not None:
            sock.close()


def uuid7(age_s=0.0):
    """A UUID version 7 whose time lies `age_s` seconds back."""
    value = int((time.time() - age_s) * 1000) << 80 | 7 << 76 | 2 << 62
    return str(uuid.UUID(int=value | uuid.uuid4().int & (0xfff << 64 | (1 << 62) - 1)))


# Processes.

class Process:
    """A program whose JSON lines on standard output are events."""

    def __init__(self, command, name, log_path):
        self.name, self.command, self.log_path = name, command, log_path
        self.events, self.lock = [], threading.Condition()
        self.errors = open(log_path, "ab")  # closed with the process
        self.popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.errors,
                                      start_new_session=True)
        self.pid = self.popen.pid
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()
        self.http = self.peer = None

    def _read(self):
        for line in self.popen.stdout:
            self.errors.write(line)
            self.errors.flush()
            try:
                event = json.loads(line)
            except ValueError:
                continue
            with self.lock:
                self.events.append(event)
                self.lock.notify_all()
        with self.lock:
            self.lock.notify_all()

    def wait_event(self, name, seconds=START_S, since=0, **fields):
        """Returns the first event at or after position `since` that has the name and fields."""
        def find():
            for event in self.events[since:]:
                if event.get("event") == name and all(event.get(k) == v for k, v in fields.items()):
                    return event
            return None
        end = time.monotonic() + seconds
        with self.lock:
            while not (found := find()):
                ended = self.popen.poll() is not None and not self.reader.is_alive()
                if ended or not self.lock.wait(max(0.0, min(0.2, end - time.monotonic()))):
                    if ended or time.monotonic() >= end:
                        raise Timeout(f"{self.name}: no event {name} {fields} in {seconds} s; "
                                      f"status {self.popen.poll()}; last: {self.tail()}")
            return found

    def tail(self, lines=8):
        return "\n".join(pathlib.Path(self.log_path).read_text(errors="replace").splitlines()[-lines:])

    def alive(self):
        return self.popen.poll() is None

    def send(self, number):
        if self.alive():
            os.kill(self.pid, number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.popen.wait(10)

    def freeze(self):
        """Returns when every thread has stopped; the signal alone lets some run for a moment."""
        self.send(signal.SIGSTOP)
        wait_until(lambda: not self.alive() or self._is_stopped(), 5, f"{self.name} is stopped")

    def _is_stopped(self):
        tasks = pathlib.Path(f"/proc/{self.pid}/task").iterdir()
        try:
            return all((task / "stat").read_text().rpartition(") ")[2][0] == "T" for task in tasks)
        except OSError:  # a thread has ended in the meantime, so not all were stopped
            return False

    def thaw(self):
        self.send(signal.SIGCONT)

    def stop(self, seconds=20):
        """Sends SIGTERM and returns the exit status."""
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            raise Timeout(f"{self.name}: no exit {seconds} s after SIGTERM; {self.tail()}") from None

    def fault(self, fault, **fields):
        reply = call("POST", self.http, "/fake/fault", {"fault": fault, **fields})
        assert reply.status == 200, reply

    def counts(self):
        return call("GET", self.http, "/fake/counts").json()

    def sockets(self):
        """Inode numbers of the sockets that the process has open."""
        found = set()
        try:
            for name in os.listdir(f"/proc/{self.pid}/fd"):
                try:
                    target = os.readlink(f"/proc/{self.pid}/fd/{name}")
                except OSError:
                    continue
                if target.startswith("socket:["):
                    found.add(int(target[8:-1]))
        except OSError:
            pass
        return found


def socket_inode(local_port, remote_port):
    """Inode of the loopback connection with these ports, as seen from its client side."""
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if (int(columns[1].split(":")[1], 16), int(columns[2].split(":")[1], 16)) == (
                local_port, remote_port):
            return int(columns[9])
    return None


class Forwarder:
    """Forwards TCP to `target`. For each chunk the mode decides: "pass", "drop" (bytes vanish,
    connections stay open) or "refuse" (connections are closed). With `owner_of`, which is called
    once for each connection with its client port, the mode is `mode_of(owner)`."""

    def __init__(self, target=None):
        self.target, self.mode, self.mode_of, self.owner_of = target, "pass", None, None
        self.silenced = set()  # connections that never carry another byte
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.pairs, self.ending = {}, False
        threading.Thread(target=self._accept, daemon=True).start()

    def _mode(self, owner):
        if self.ending:
            return "refuse"
        return self.mode_of(owner) if self.mode_of else self.mode

    def _accept(self):
        while True:
            try:
                client, peer = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client, peer[1]), daemon=True).start()

    def _serve(self, client, port):
        upstream = None
        self.pairs[port] = client
        owner = self.owner_of(port) if self.owner_of else None
        try:
            while (mode := self._mode(owner)) == "drop":
                if select.select([client], [], [], 0.1)[0] and not client.recv(65536):
                    return
            if mode == "refuse" or self.target is None:
                return
            host, target_port = self.target.rsplit(":", 1)
            upstream = socket.create_connection((host, int(target_port)), 5)
            upstream.settimeout(None)
            for end in (client, upstream):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._pump(client, upstream, port, owner)
        except OSError:
            pass
        finally:
            self.pairs.pop(port, None)
            client.close()
            if upstream:
                upstream.close()

    def _pump(self, client, upstream, port, owner):
        while True:
            ready, _, _ = select.select([client, upstream], [], [], 0.2)
            mode = self._mode(owner)
            if mode == "refuse":
                return
            for end in ready:
                data = end.recv(65536)
                if not data:
                    return
                if mode == "pass" and port not in self.silenced:
                    (upstream if end is client else client).sendall(data)

    def silence_open(self):
        """Every connection open now stays open and carries nothing more; new ones work."""
        self.silenced.update(self.pairs)

    def close(self):
        self.ending = True
        self.listener.close()


# Cases.

class Checks:
    """Collects named checks; a failed one does not end the case."""

    def __init__(self):
        self.passed, self.failed = 0, 0

    def check(self, ok, what, detail=""):
        if ok:
            self.passed += 1
        else:
            self.failed += 1
            print(f"FAILED: {what} {detail}", flush=True)
        return ok

    def equal(self, got, want, what):
        return self.check(got == want, what, f"got {got!r}, expected {want!r}")

    def finish(self):
        print(f"{self.passed} passed, {self.failed} failed")
        sys.exit(1 if self.failed or not self.passed else 0)


class Bench:
    """A temporary folder with the processes and forwarders of one case. The folder with the logs
    stays when CORNELTRAY_TEST_KEEP is set."""

    def __init__(self, build):
        self.bin = pathlib.Path(build).resolve() / "bin"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="corneltray-test-"))
        self.processes, self.forwarders = [], []
        atexit.register(self.close)

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            for process in self.processes:
                print(f"--- {process.name} ({process.popen.poll()})\n{process.tail(12)}", flush=True)
        self.close()

    def close(self):
        for process in self.processes:
            process.kill()
            process.popen.stdout.close() if not process.reader.is_alive() else None
        for forwarder in self.forwarders:
            forwarder.close()
        self.processes, self.forwarders = [], []
        if "CORNELTRAY_TEST_KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, program, *arguments, name=None, wait=True):
        name = name or program
        process = Process([str(self.bin / program), *map(str, arguments)], name,
                          self.folder / f"{name}.log")
        self.processes.append(process)
        if wait:
            self.wait_listening(process)
        return process

    @staticmethod
    def wait_listening(process):
        event = process.wait_event("listening")
        process.http, process.peer = event.get("http_address"), event.get("peer_address")

    def forwarder(self, target=None):
        self.forwarders.append(Forwarder(target))
        return self.forwarders[-1]

    def engine(self, name, holds=(), announce=(), zone="dkr-a", extra=(), wait=True):
        arguments = ["--name", name, "--availability-zone", zone]
        for hold in holds:
            arguments += ["--hold", hold]
        for target in announce:
            arguments += ["--announce", target]
        return self.start("fake-engine", *arguments, *extra, name=name, wait=wait)

    def service(self, name, service="ledger", announce=(), zone="dkr-a", extra=(), wait=True):
        arguments = ["--name", name, "--service", service, "--availability-zone", zone]
        for target in announce:
            arguments += ["--announce", target]
        return self.start("fake-service", *arguments, *extra, name=name, wait=wait)


# A whole region.

LAYERS = 12
MODEL = "assistant"
HOLD = f"{MODEL}:1::"
CHAINS = (("0-5", "6-11"), ("0-3", "4-11"))  # the layer ranges of the engines of one zone

BASE = f"""
[[model]]
name = "{MODEL}"
version = "1"
adapters = ["wolof"]
layers = {LAYERS}
bytes_per_layer = 1000
max_prompt_bytes = 4000
max_tokens = 1000

[[customer]]
name = "tests"
key = "{CUSTOMER_KEY}"
requests_per_s = 100000.0
burst = 100000.0

[[service]]
name = "ledger"
lookup_path = "/v1/bookings/{{key}}"

[bookings]
resolve_after_ms = 300
"""


def auth(**headers):
    """Headers of a caller; underscores in names become hyphens."""
    return {"Authorization": f"Bearer {CUSTOMER_KEY}",
            **{name.replace("_", "-"): str(value) for name, value in headers.items()}}


def deadline(seconds):
    """The deadline header for `seconds` from now."""
    return {"Corneltray_Deadline_Ms": int((time.time() + seconds) * 1000)}


class Answer:
    """A streamed answer as a caller sees it; `read` collects until the end."""

    def __init__(self, entry, prompt, max_tokens, adapter="", timeout=20, **headers):
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
        if adapter:
            body["adapter"] = adapter
        self.stream = Stream(entry.http, "/v1/completions", body, auth(**headers), timeout)
        self.status, self.request_id = self.stream.status, self.stream.headers.get("X-Request-Id")
        self.texts, self.finish_reason, self.error, self.is_done = [], None, None, False
        if self.status != 200:
            self.error = json.loads(self.stream.answer.read()).get("error")

    def take(self):
        """Reads one event. Returns false at the end of the stream."""
        event = self.stream.next()
        if event is None:
            return False
        if event == "[DONE]":
            self.is_done = True
        elif "error" in event:
            self.error = event["error"]
        else:
            choice = event["choices"][0]
            if choice.get("text"):
                self.texts.append(choice["text"])
            self.finish_reason = choice.get("finish_reason") or self.finish_reason
        return True

    def read(self):
        while self.take():
            pass
        return self

    def check(self, checks, prompt, max_tokens, what, adapter=""):
        """Checks that the caller got the whole answer to this very request."""
        _, texts, reason = expected(prompt, max_tokens, LAYERS, adapter=adapter)
        return checks.equal(
            (self.status, "".join(self.texts), self.finish_reason, self.is_done, self.error),
            (200, "".join(texts), reason, True, None), f"{what}: the whole answer")

    def longest_pause(self):
        times = self.stream.times
        return max((b - a for a, b in zip(times, times[1:])), default=0.0)


class Region(Bench):
    """Control hosts, entry hosts, engines and services over three availability zones."""

    ZONES = ("dkr-a", "dkr-b", "dkr-c")

    def __init__(self, build, controls=3, entries=3, partitions=False, base=BASE, overlays=None,
                 drain_grace_ms=100, apply=True):
        super().__init__(build)
        self.partitions, self.cuts, self.drain_grace_ms = partitions, set(), drain_grace_ms
        self.zone_of, self.settings, self.fronts = {}, {}, {}
        self.store = self.folder / "bookings.jsonl"
        self.control_names = [f"control-{i}" for i in range(controls)]
        if partitions:
            for i in range(controls):
                self._front(f"control-{i}", self.ZONES[i % 3])
        self.controls = [self.control(i) for i in range(controls)]
        if apply:
            self.apply(0, base, overlays)
        self.entries = [self.entry(i) for i in range(entries)]
        for process in self.entries:
            self.wait_listening(process)

    def _front(self, name, zone):
        front = self.fronts[name] = self.forwarder()
        front.owner_of = lambda port: self._zone_of_client(front.port, port)
        front.mode_of = lambda owner: "drop" if frozenset((owner, zone)) in self.cuts else "pass"

    def _zone_of_client(self, front_port, client_port):
        """The availability zone of the process that opened a connection to a forwarder."""
        inode = socket_inode(client_port, front_port)
        for process in list(self.processes):
            if inode in process.sockets():
                return self.zone_of.get(process.name)
        return None

    def cut_off(self, zone):
        """Partitions one availability zone from the others."""
        self.cuts = {frozenset((zone, other)) for other in self.ZONES if other != zone}

    def heal(self):
        self.cuts = set()

    def seeds(self, name):
        if self.partitions:
            return [self.fronts[c].address for c in self.control_names if c != name]
        return [p.peer for p in self.processes if p.name in self.control_names and p.name != name]

    def write_settings(self, name, zone, folder="", http="127.0.0.1:0", peer="127.0.0.1:0", more=""):
        front = self.fronts.get(name)
        quoted = ", ".join(f'"{s}"' for s in self.seeds(name))
        controls = ", ".join(f'"{c}"' for c in self.control_names)
        path = self.folder / f"{name}.toml"
        path.write_text(f"""[host]
name = "{name}"
region = "dkr"
site = "dkr"
availability_zone = "{zone}"
data_folder = "{folder}"
[http]
address = "{http}"
threads = 96
[peer]
address = "{peer}"
advertise = "{front.address if front else ''}"
seeds = [{quoted}]
shared_key = "{SHARED_KEY}"
[operator]
key = "{OPERATOR_KEY}"
[control]
hosts = [{controls}]
[drain]
grace_ms = {self.drain_grace_ms}
deadline_ms = 20000
{more}""")
        return path

    def launch(self, program, name, zone, folder="", http="127.0.0.1:0", peer="127.0.0.1:0",
               more=""):
        self.zone_of[name] = zone
        if self.partitions and name not in self.fronts:
            self._front(name, zone)
        self.settings[name] = (program, zone, folder, more)
        path = self.write_settings(name, zone, folder, http, peer, more)
        process = self.start(program, "--settings", path, name=name)
        if name in self.fronts:
            self.fronts[name].target = process.peer
        return process

    def control(self, number, formatted=False):
        """Formats the data folder of a control host and starts it."""
        name, zone = self.control_names[number], self.ZONES[number % 3]
        folder = self.folder / name
        if not formatted:
            path = self.write_settings(name, zone, folder)
            done = subprocess.run([str(self.bin / "corneltray-control"), "--settings", str(path),
                                   "--format"], capture_output=True, text=True, timeout=20,
                                  check=False)
            assert done.returncode == 0, done
        return self.launch("corneltray-control", name, zone, folder)

    def entry(self, number, zone=None):
        return self.launch("corneltray-entry", f"entry-{number}", zone or self.ZONES[number % 3])

    def restart(self, process):
        """Starts an ended program again with its addresses and data folder."""
        program, zone, folder, more = self.settings[process.name]
        self.processes.remove(process)
        fresh = self.launch(program, process.name, zone, folder, process.http, process.peer, more)
        for group in (self.controls, getattr(self, "entries", [])):
            if process in group:
                group[group.index(process)] = fresh
        return fresh

    def zone_engines(self, zone, announce, chains=CHAINS, layers_per_s=0, holds=(HOLD,), extra=()):
        """Starts the engines of one zone; each holds one range of layers."""
        found = []
        for c, chain in enumerate(chains):
            for s, layers in enumerate(chain):
                found.append(self.engine(
                    f"{zone}-chain{c}-stage{s}", [hold + layers for hold in holds],
                    [entry.http for entry in announce], zone,
                    ["--layers-per-s", layers_per_s, "--model-layers", f"{MODEL}:{LAYERS}", *extra]))
                self.zone_of[found[-1].name] = zone
        return found

    def ledgers(self, count=3, service="ledger", extra=(), shared=True):
        """Starts replicas over the zones; they share their bookings through one file."""
        store = ["--store", self.store] if shared else []
        return [self.service(f"{service}-{i}", service, [
            e.http for e in self.entries if self.zone_of[e.name] == self.ZONES[i % 3]],
                             self.ZONES[i % 3], [*store, *extra]) for i in range(count)]

    def booked(self, key):
        """How often a key was booked, from the file that outlives every process."""
        if not self.store.exists():
            return 0
        rows = [json.loads(line) for line in self.store.read_text().splitlines()]
        return sum(row["key"] == key for row in rows)

    # Operators.

    def admin(self, method, process, path, body=None, timeout=15):
        return call(method, process.http, f"/admin/v1/{path}", body,
                    {"Authorization": f"Bearer {OPERATOR_KEY}"}, timeout)

    def change(self, process, revision, base, overlays=None, change_id=None, timeout=15):
        """One operator's change. Returns the reply."""
        return self.admin("POST", process, "configuration", {
            "change_id": change_id or str(uuid.uuid4()), "expected_revision": revision,
            "base": base, "overlays": overlays or {}}, timeout)

    def apply(self, revision, base=BASE, overlays=None):
        """Applies a change through any control host once there is a leader."""
        change_id = str(uuid.uuid4())
        def attempt():
            for process in self.controls:
                if process.alive():
                    reply = self.change(process, revision, base, overlays, change_id)
                    if reply.status == 200:
                        return reply
            return None
        return wait_until(attempt, 15, f"a change over revision {revision} is accepted").json()

    def revision(self, process):
        try:
            reply = self.admin("GET", process, "configuration", timeout=2)
            return reply.json().get("revision", 0) if reply.status == 200 else 0
        except OSError:
            return 0

    def status(self, process):
        try:
            reply = self.admin("GET", process, "status", timeout=2)
            return reply.json() if reply.status == 200 else {}
        except OSError:
            return {}

    def leader(self, among=None):
        """The control host that leads by its own status."""
        def find():
            return next((p for p in among or self.controls
                         if p.alive() and self.status(p).get("role") == "leader"), None)
        return wait_until(find, 10, "a leader")

    def time_to_claim(self, entry):
        """Seconds until a booking with a fresh key is done."""
        begin = time.monotonic()
        wait_until(lambda: outcome(self.book(entry, uuid7(), seconds=5)) == "done", 15, "a claim")
        return time.monotonic() - begin

    # Callers.

    def wait_ready(self, entries=None, model=True, service=None, seconds=15):
        """Waits until each entry host answers the model and the service."""
        for entry in entries or self.entries:
            wait_until(lambda e=entry: call("GET", e.http, "/readyz").status == 200, seconds,
                       f"{entry.name} is ready")
            if model:
                wait_until(lambda e=entry: self.complete(e, "probe", 1).status == 200, seconds,
                           f"{entry.name} answers")
            if service:
                wait_until(lambda e=entry: self.stock(e, "probe", service).status == 200, seconds,
                           f"{entry.name} reaches {service}")

    def complete(self, entry, prompt, max_tokens, timeout=20, **headers):
        return call("POST", entry.http, "/v1/completions",
                    {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": False},
                    auth(**headers), timeout)

    def book(self, entry, key, body=None, seconds=5.0, service="ledger", timeout=None):
        """One booking call. Returns None when the connection broke or stayed silent."""
        try:
            return call("POST", entry.http, f"/v1/services/{service}/v1/bookings",
                        body or {"cloth": 7}, auth(Idempotency_Key=key, **deadline(seconds)),
                        timeout or seconds + 3)
        except (OSError, http.client.HTTPException):
            return None

    def stock(self, entry, item, service="ledger", timeout=10, **headers):
        return call("GET", entry.http, f"/v1/services/{service}/v1/stock/{item}", None,
                    auth(**headers), timeout)


def outcome(reply):
    """The outcome that a caller reads, or None without a reply."""
    return reply.headers.get("Corneltray-Outcome") if reply is not None else None


def in_parallel(*functions):
    """Runs the functions at once and returns their results; the first exception is raised."""
    results, errors = [None] * len(functions), []

    def run(i):
        try:
            results[i] = functions[i]()
        except BaseException as error:  # noqa: BLE001: raised again below
            errors.append(error)
    threads = [threading.Thread(target=run, args=(i,)) for i in range(len(functions))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if errors:
        raise errors[0]
    return results


def stages_of(*engines):
    """The "stages" of a generate body from (engine, first, last) tuples."""
    return [{"name": e.name, "address": e.http, "first_layer": first, "last_layer": last}
            for e, first, last in engines]


def generate_body(stages, prompt="a prompt", max_tokens=4, request_id="r", attempt=0, accepted=(),
                  model="assistant", version="1", adapter=""):
    return {"request_id": request_id, "attempt": attempt, "model": model, "version": version,
            "adapter": adapter, "priority": 0, "prompt": prompt, "accepted": list(accepted),
            "max_tokens": max_tokens, "deadline_unix_ms": int(time.time() * 1000) + 30000,
            "stages": stages}


def layer_runs(engine_counts, request_id):
    """Maps (attempt, token index) to the sorted list of layers that the engines ran for it."""
    runs = {}
    for counts in engine_counts:
        for attempt, tokens in counts["runs"].get(request_id, {}).items():
            for index, ranges in tokens.items():
                layers = runs.setdefault((int(attempt), int(index)), [])
                for first, last in ranges:
                    layers.extend(range(first, last + 1))
    return {key: sorted(layers) for key, layers in runs.items()}


def check_layer_runs(checks, engine_counts, request_id, count, layers, what):
    """Checks that no layer ran twice in an attempt and each token had one attempt with all layers."""
    runs = layer_runs(engine_counts, request_id)
    whole = list(range(layers))
    repeated = {key: run for key, run in runs.items() if len(set(run)) != len(run)}
    complete = {index for (_, index), run in runs.items() if run == whole}
    checks.equal(repeated, {}, f"{what}: no layer ran twice for a token")
    checks.equal(sorted(set(range(count)) - complete), [], f"{what}: each token ran all layers")


def main(run, description):
    """Entry of a case: `run(checks, build)` does the work."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--build", default=pathlib.Path(__file__).resolve().parent.parent / "build")
    checks = Checks()
    run(checks, parser.parse_args().build)
    checks.finish()
