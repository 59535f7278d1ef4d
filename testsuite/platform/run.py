"""The programs on the users' platform, from the deploy templates, against stand-ins for its replicas.

Guards against a core that does not form from the seeds or forgets a configuration that it
acknowledged, an entry host that serves without one, an upstream that gets work after it left, a
revoked key that goes on working, and a slow reader of the logs that holds up requests.
"""

import http.client
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import harness as h  # noqa: E402
from fleet import Platform, configuration, entry_ip  # noqa: E402

def ask(address, path, key="key-1", body=b"", headers=None):
    """Sends one request. Returns its status, headers and body."""
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("POST", path, body, {"Host": "h.example", "X-Attempt-Id": h.uuid7(),
                                            "X-Deadline-Ms": "5000", "Api-Key": key,
                                            "X-Tokens": "10,20", **(headers or {})})
    reply = connection.getresponse()
    return reply.status, dict(reply.getheaders()), reply.read()


def ready(platform, number):
    try:
        return h.call("GET", f"{entry_ip(number)}:{platform.ready_port}", "/readyz").status
    except OSError:
        return 0


def is_whole(engines):
    held = set()
    for engine in engines:
        held.update(range(*engine.layers))
    return held == set(range(8))


def check_forming(c, platform, controls):
    leader = h.wait_until(
        lambda: next((p for p in controls for e in p.events
                      if e["event"] == "role_changed" and e["role"] == "leader"), None),
        10, "a leader")
    c.check(leader is not None, "the core formed itself from the seeds")
    platform.put_until(configuration(3))
    c.equal(platform.put(configuration(3), 2), 200, "the same configuration again")
    c.equal(platform.put(configuration(2), 3), 200, "an older one is acknowledged")
    c.equal(platform.put(configuration(3, keys=("other",))), 409, "another one under its version")
    broken = configuration(9)
    broken["routes"][0]["timeout_ms"] = 0
    c.equal(platform.put(broken), 400, "an invalid one")
    read = h.call("GET", platform.seeds[2], "/Config.Get").json()
    c.equal(read, configuration(3), "what is read back")


def check_serving(c, platform, front, engines, ledger):
    status, headers, body = ask(front, "/talk/1")
    c.equal(status, 200, "a generation")
    c.check(headers.get("X-Server-Stamp"), "the upstream's own mark")
    c.equal(body.count(b"data: token"), 20, "its events")
    served = next(e for e in engines if e.requests)
    sent = served.requests[0]["headers"]
    c.equal(sent.get("X-Tenant"), "customer", "the customer's name")
    c.check("Api-Key" not in sent, "the key stays here")
    hops = [hop.split("=")[1].split("-") for hop in sent["X-Hops"].split(",")]
    next_layer = 0
    for first, end in hops:
        c.equal(int(first), next_layer, "the chain goes on where it left off")
        next_layer = int(end)
    c.equal(next_layer, 8, "the chain ends with the last layer")
    status, _, body = ask(front, "/book/1", body=b"a booking")
    c.equal((status, body), (200, b"answer of l1"), "a booking")
    c.equal(ledger.requests[-1]["body"], b"a booking", "its body")
    c.equal(ask(front, "/none/1")[0], 404, "no route")
    c.equal(ask(front, "/book/1", key="nobody's")[0], 401, "an unknown key")


def explain(platform, *arguments, key="replace-with-a-random-key"):
    """Runs corneltrayctl explain. Returns its exit code and what it printed."""
    address = f"{entry_ip(1)}:{platform.ports['port_range.1']}"
    done = subprocess.run([str(platform.bin / "corneltrayctl"), "explain", "--server",
                           f"http://{address}", "--key", key, "--header", "Host: h.example",
                           "--header", f"X-Attempt-Id: {h.uuid7()}", *arguments],
                          capture_output=True, text=True, timeout=30, check=False)
    return done.returncode, done.stdout + done.stderr


def check_explain(c, platform, engines, ledger):
    before = len(ledger.requests), [len(e.requests) for e in engines]
    caller = ["--header", "Api-Key: key-1", "--header", "X-Tokens: 10,20"]
    code, text = explain(platform, "--target", "/book/1", "--json", *caller)
    c.equal(code, 0, "an explanation")
    told = json.loads(text)
    c.equal((told["customer"], told["service"]), ("customer", "ledger"), "what it is about")
    c.equal(told["admission"]["decision"], "send", "its admission")
    c.equal(told["choice"]["upstream"], "l1", "the replica that it would go to")
    c.equal([e["reason"] for e in told["candidates"]], ["chosen"], "why")
    code, text = explain(platform, "--target", "/talk/1", *caller)
    c.check(code == 0 and "chain=" in text and "UPSTREAM" in text,
            "the chain of a generation, as text")
    code, text = explain(platform, "--target", "/book/1", "--json", "--header", "Api-Key: nobody's")
    c.equal(json.loads(text)["admission"]["status"], 401, "a request that would be refused")
    c.check(explain(platform, "--target", "/book/1", key="another-operator-key")[0] != 0,
            "another operator key")
    c.equal((len(ledger.requests), [len(e.requests) for e in engines]), before, "nothing was sent")


def check_changes(c, platform, front, ledger, other):
    ledger.leave()
    before = len(ledger.requests)
    for _ in range(10):
        c.equal(ask(front, "/book/1")[2], b"answer of l2", "the booking goes elsewhere")
    c.equal(len(ledger.requests), before, "requests to the upstream that leaves")
    platform.put_until(configuration(12, keys=("key-2",)))
    h.wait_until(lambda: ask(front, "/book/1")[0] == 401, 2, "the revoked key is refused")
    c.equal(ask(front, "/book/1", key="key-2")[0], 200, "the new key")
    c.check(other.requests, "the other replica served")


def check_restart(c, platform, controls, front):
    for process in controls:
        process.kill()
    shutil.rmtree(platform.folder / "core-2" / "data")
    controls = [platform.control(i, bootstrap="false") for i in (1, 2, 3)]
    h.wait_until(lambda: h.call("GET", platform.seeds[0], "/Config.Get").status == 200, 15,
                 "the configuration can be read")
    read = h.call("GET", platform.seeds[0], "/Config.Get").json()
    c.equal(read["version"], 12, "the configuration survived a wiped disk and a stop of all")
    h.wait_until(lambda: ready(platform, 1) == 200, 15, "the entry host is ready again")
    c.equal(ask(front, "/book/1", key="key-2")[0], 200, "it serves again")
    return controls


def check_silent_reader(c, platform):
    """Starts an entry host whose standard output nobody reads."""
    path = platform.settings("entry.toml", "edge-2", entry_ip(2), "a")
    process = subprocess.Popen([str(platform.bin / "corneltray-gateway"), "--settings", str(path)],
                               stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
                               start_new_session=True)
    try:
        h.wait_until(lambda: ready(platform, 2) == 200, 10, "the second entry host is ready")
        front = f"{entry_ip(2)}:{platform.front_port}"
        slowest = 0.0
        for _ in range(600):
            start = time.monotonic()
            c.equal(ask(front, "/none/" + "x" * 300, key="key-2")[0], 404, "a refusal")
            slowest = max(slowest, time.monotonic() - start)
        c.check(slowest < 1.0, "no request waits for the reader of the logs", f"{slowest:.3f} s")
        process.send_signal(signal.SIGTERM)
        c.equal(process.wait(12), 0, "it stops although nobody reads")
    finally:
        process.kill()
        process.stdout.close()


def check_stop(c, platform, entry, front):
    results = []
    talk = threading.Thread(target=lambda: results.append(
        ask(front, "/talk/2", key="key-2", headers={"X-Tokens": "10,100"})))
    talk.start()
    time.sleep(0.3)
    entry.send(signal.SIGTERM)
    h.wait_until(lambda: ready(platform, 1) == 503, 2, "not ready after SIGTERM")
    talk.join()
    c.equal(results[0][2].count(b"data: token"), 100, "a generation in progress is finished")
    c.equal(entry.popen.wait(12), 0, "exit status")
    c.equal(entry.wait_event("drained")["cut_off"], 0, "requests cut off")


def run(c, build):
    with Platform(build) as platform:
        controls = [platform.control(i) for i in (1, 2, 3)]
        entry = platform.entry(1)
        c.equal(ready(platform, 1), 503, "not ready without a configuration")
        check_forming(c, platform, controls)
        engines = [platform.replica(f"e{i}", "model", "a", kind="card") for i in range(3)]
        ledger = platform.replica("l1", "ledger", "a")
        h.wait_until(lambda: is_whole(engines), 15, "every layer is held")
        h.wait_until(lambda: ready(platform, 1) == 200, 10, "the entry host is ready")
        front = f"{entry_ip(1)}:{platform.front_port}"
        h.wait_until(lambda: ask(front, "/talk/0")[0] == 200, 10, "a generation is served")
        for engine in engines:
            engine.requests.clear()
        check_serving(c, platform, front, engines, ledger)
        check_explain(c, platform, engines, ledger)
        c.check(json.dumps(entry.events).find("key-1") < 0, "no key in the logs")
        other = platform.replica("l2", "ledger", "a")
        h.wait_until(lambda: any(e["event"] == "upstream_announced" and e["upstream"] == "l2"
                                 for p in controls for e in p.events), 10, "the other replica")
        check_changes(c, platform, front, ledger, other)
        controls = check_restart(c, platform, controls, front)
        check_silent_reader(c, platform)
        check_stop(c, platform, entry, front)


if __name__ == "__main__":
    h.main(run, __doc__)
