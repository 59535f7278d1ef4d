"""Both control hosts that an entry host is linked to are cut off together from the other ones.

Guards against an entry host that keeps to control hosts which cannot reach a majority: it served an
old configuration, refused every key once its lease had run out, and sent requests to upstreams that
had left, although a majority of the control hosts was within its reach.
"""

import collections
import pathlib
import sys
import threading
import time

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
sys.path.insert(0, str(TESTSUITE / "first-start-faults"))
import harness as h  # noqa: E402
from fleet import ZONES, configuration, entry_ip  # noqa: E402
from region import FaultyRegion, control_ip  # noqa: E402

CONTROLS = range(1, 7)  # two in each of three availability zones
CUT_OFF = [1, 4]  # those of the zone of the entry host
OTHERS = [number for number in CONTROLS if number not in CUT_OFF]
# Bounds of the platform's page for a region with two control hosts in each zone.
CONTACT_S, CONFIG_APPLY_S, DRAIN_S = 4.0, 2.5, 2.5
# Longer than the lease on keys (bounds.revoke_ms, 5 s).
CUT_S = 12.0
RETURN_WITHIN_S = 20.0  # to the own zone, after the heal
ASK_EVERY_S = 0.05


class Region(FaultyRegion):
    def __init__(self, build):
        super().__init__(build, True, CONTROLS)

    def settings(self, *arguments, **more):
        return super().settings(*arguments, **{"fault_budget.machines": 2, **more})

    def cut(self, mode):
        self.modes = {frozenset((f"core-{a}", f"core-{b}")): mode for a in CUT_OFF for b in OTHERS}

    def heal(self):
        self.modes = {}

    def put_until(self, document):
        """Returns when a control host of the majority has acknowledged the configuration."""
        h.wait_until(lambda: any(self.put_at(self.address(n), document) for n in OTHERS), 10,
                     "a configuration is acknowledged")
        return time.monotonic()


class Caller(threading.Thread):
    """Sends requests with a key all the time, and keeps what became of each."""

    def __init__(self, front, replicas):
        super().__init__(daemon=True)
        self.front, self.replicas = front, replicas
        self.sent, self.ending = [], threading.Event()  # attempt, time and status

    def run(self):
        while not self.ending.wait(ASK_EVERY_S):
            attempt, at = h.uuid7(), time.monotonic()
            headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500",
                       "Api-Key": "key-1"}
            try:
                status = h.call("POST", self.front, "/book/1", b"a booking", headers).status
            except OSError:
                status = None
            self.sent.append((attempt, at, status))

    def stop(self):
        self.ending.set()
        self.join()

    def between(self, begin, end):
        """Returns the statuses and the names of the upstreams of requests sent in this time."""
        ran_at = {request["headers"].get("X-Attempt-Id"): replica.name
                  for replica in self.replicas for request in list(replica.requests)}
        return [(status, ran_at.get(attempt)) for attempt, at, status in self.sent
                if begin <= at < end]


def changed_configuration(version, service):
    document = configuration(version)
    document["services"] += [{"name": name, "health_path": "/healthz", "max_conns": 100}
                             for name in ("old", "new")]
    document["routes"][1]["service"] = service
    return document


def linked_control_hosts(entry):
    """The control hosts that an entry host is linked to, by its log."""
    linked = set()
    for event in list(entry.events):
        if event.get("event") == "control_link_up":
            linked.add(event["control_host"])
        elif event.get("event") == "control_link_lost":
            linked.discard(event["control_host"])
    return linked


def follows_own_zone(entry):
    followed = [event["control_host"] for event in list(entry.events)
                if event.get("event") == "control_source_followed"]
    return followed and followed[-1] in own_zone()


def own_zone():
    return {control_ip(number) for number in CUT_OFF}


def check_cut(c, region, entry, caller, version, mode):
    """One cut, with a change and a departure acknowledged by the majority right after its begin."""
    what = f"links {'closed' if mode == 'refuse' else 'silent'}"
    h.wait_until(lambda: linked_control_hosts(entry) == own_zone() and follows_own_zone(entry),
                 RETURN_WITHIN_S, "the entry host is linked to its own zone alone")
    # In the own zone, so that it is preferred until it leaves.
    leaving = region.replica(f"leaving-{version}", "new", ZONES[0],
                             controls=[region.address(number) for number in OTHERS])
    caller.replicas.append(leaving)
    region.put_until(changed_configuration(version, "new"))
    h.wait_until(lambda: leaving.requests, 10, "the upstream that will leave is used")
    begin = time.monotonic()
    region.cut(mode)
    time.sleep(0.3)
    changed_at = region.put_until(changed_configuration(version + 1, "old"))
    leaving.leave()
    left_at = time.monotonic()
    time.sleep(max(0.0, begin + CONTACT_S - time.monotonic()))
    in_touch_at = time.monotonic()
    time.sleep(max(0.0, changed_at + CONFIG_APPLY_S - time.monotonic()))
    counted_from = time.monotonic()
    # Back to the new service, so that the departure shows.
    time.sleep(max(0.0, begin + CUT_S / 2 - time.monotonic()))
    middle = time.monotonic()
    back_at = region.put_until(changed_configuration(version + 2, "new"))
    time.sleep(max(0.0, begin + CUT_S - time.monotonic()))
    end = time.monotonic()
    region.heal()

    first = caller.between(counted_from, middle)
    c.check(len(first) > 20, f"{what}: requests were sent in touch", len(first))
    c.equal(collections.Counter(first), {(200, "old-1"): len(first)},
            f"{what}: every request with a key runs by the acknowledged configuration")
    second = caller.between(max(back_at + CONFIG_APPLY_S, left_at + DRAIN_S, in_touch_at), end)
    c.check(len(second) > 20, f"{what}: requests were sent after the second change", len(second))
    c.equal(collections.Counter(second), {(200, "new-1"): len(second)},
            f"{what}: none runs by an older configuration, or at the upstream that has left")
    h.wait_until(lambda: linked_control_hosts(entry) == own_zone() and follows_own_zone(entry),
                 RETURN_WITHIN_S, f"{what}: back in the own zone, without further links")
    leaving.close()


def run(c, build):
    with Region(build) as region:
        for number in CONTROLS:
            region.start_control(number, True)
        entry = region.entry(1, wait=False, zone=ZONES[0])
        majority = [region.address(number) for number in OTHERS]
        replicas = [region.replica(f"{service}-1", service, "b", controls=majority)
                    for service in ("old", "new")]
        region.put_until(changed_configuration(3, "old"))
        caller = Caller(f"{entry_ip(1)}:{region.front_port}", replicas)
        caller.start()
        try:
            check_cut(c, region, entry, caller, 10, "hold")
            check_cut(c, region, entry, caller, 20, "refuse")
        finally:
            caller.stop()


if __name__ == "__main__":
    h.main(run, __doc__)
