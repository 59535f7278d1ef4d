"""The control interface while a control host stands still, on the users' platform.

Guards against a valid change without an acknowledgement for four seconds, because the few hosts
that take it cost a second each time the caller picks the one that stands still.
"""

import http.client
import json
import pathlib
import sys
import time

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import Platform, ZONES, configuration, entry_ip  # noqa: E402

ENTRIES = [1, 2, 3]
ACKNOWLEDGE_WITHIN_S = 4.0
# How long callers of the platform wait for an answer, and pause before the next host.
ANSWER_WITHIN_S = 1.0
FIRST_PAUSE_S = 0.1
LOST_ANSWERS = 3


def send(method, address, path, document=None):
    """Sends one call. Returns its status and body, or None after a second without an answer."""
    connection = http.client.HTTPConnection(address, timeout=ANSWER_WITHIN_S)
    try:
        connection.request(method, path, json.dumps(document) if document else None)
        reply = connection.getresponse()
        return reply.status, reply.read()
    except OSError:
        return None
    finally:
        connection.close()


def time_to_acknowledge(document, hosts):
    """Sends a change to one host after the other, as an operator does that loses some answers."""
    start = time.monotonic()
    pause, lost = FIRST_PAUSE_S, 0
    for turn in range(20):
        answer = send("POST", hosts[turn % len(hosts)], "/Config.Put", document)
        if answer and answer[0] == 200:
            if lost == LOST_ANSWERS:
                break
            lost += 1
        time.sleep(pause)
        pause *= 2
        if time.monotonic() - start > 2 * ACKNOWLEDGE_WITHIN_S:
            break
    return time.monotonic() - start


def follower(controls):
    """Returns the number of a control host that does not lead."""
    leaders = [i for i, p in enumerate(controls, 1) for e in p.events
               if e["event"] == "role_changed" and e["role"] == "leader"]
    return next(i for i in (2, 3, 1) if i not in leaders[-1:])


def check_changes(c, platform, frozen):
    hosts = platform.control_interface(ENTRIES)
    hosts = hosts[frozen - 1:] + hosts[:frozen - 1]  # the worst order begins with the frozen one
    for version in (10, 20, 30):
        took = time_to_acknowledge(configuration(version), hosts)
        c.check(took < ACKNOWLEDGE_WITHIN_S, f"version {version} is acknowledged in time",
                f"{took:.2f} s")


def check_every_entry_host(c, platform):
    for number in ENTRIES:
        address = f"{entry_ip(number)}:{platform.control_port}"
        start = time.monotonic()
        answer = send("POST", address, "/Config.Put", configuration(30))
        took = time.monotonic() - start
        c.check(answer is not None and answer[0] == 200, f"edge-{number} acknowledges a change",
                f"{answer} after {took:.2f} s")
        answer = send("GET", address, "/Config.Get")
        c.check(answer is not None and answer[0] == 200, f"edge-{number} reads the configuration",
                f"{answer}")
        if answer:
            c.equal(json.loads(answer[1]), configuration(30), "what is read back")
        c.equal(send("POST", address, "/Config.Put", {"version": 31})[0], 400, "an invalid change")
        c.equal(send("POST", address, "/Config.Put", configuration(30, keys=("other",)))[0], 409,
                "another one under its version")
        c.equal(send("GET", address, "/none")[0], 404, "a call that does not exist")


def check_upstreams(c, platform, processes):
    """An upstream that reaches entry hosts only is known at all, and its leave is too."""
    entry_addresses = [f"{entry_ip(number)}:{platform.control_port}" for number in ENTRIES]
    ledger = platform.replica("l1", "ledger", "a", controls=entry_addresses)
    c.check(ledger.acknowledged.wait(5), "an announcement is acknowledged through an entry host")
    ledger.leave()
    h.wait_until(lambda: any(e["event"] == "upstream_announced" and e["state"] == "leaving"
                             for p in processes for e in p.events), 5, "the departure is known")


def run(c, build):
    with Platform(build) as platform:
        controls = [platform.control(i) for i in (1, 2, 3)]
        for number, zone in zip(ENTRIES, ZONES):
            platform.entry(number, zone=zone)
        platform.put_until(configuration(3))
        frozen = follower(controls)
        controls[frozen - 1].freeze()
        try:
            check_changes(c, platform, frozen)
            check_every_entry_host(c, platform)
            check_upstreams(c, platform, controls)
        finally:
            controls[frozen - 1].thaw()
        h.wait_until(lambda: platform.put(configuration(40), frozen) == 200, 10,
                     "the host that stood still takes changes again")


if __name__ == "__main__":
    h.main(run, __doc__)
