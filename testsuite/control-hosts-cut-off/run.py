"""Both control hosts that an entry host is linked to are cut off together from the other ones.

Guards against an entry host that keeps to control hosts which cannot reach a majority: it served an
old configuration, refused every key once its lease had run out, and sent requests to upstreams that
had left, although a majority of the control hosts was within its reach. Guards as well against a
departure that it acknowledges after only those have heard of it, so that other entry hosts go on to
send requests to the upstream.
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

    def __init__(self, number, region, replicas):
        super().__init__(daemon=True)
        self.host, self.front = f"edge-{number}", f"{entry_ip(number)}:{region.front_port}"
        self.replicas = list(replicas)
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


def is_settled(entry):
    return linked_control_hosts(entry) == own_zone() and follows_own_zone(entry)


def sleep_until(at):
    time.sleep(max(0.0, at - time.monotonic()))


def check_cut(c, region, entry, callers, version, mode):
    """One cut, with changes and departures acknowledged by the majority, and one at the entry host."""
    what = f"links {'closed' if mode == 'refuse' else 'silent'}"
    h.wait_until(lambda: is_settled(entry), RETURN_WITHIN_S, "linked to the own zone alone")
    # In the zones of the callers, so that they are preferred until they leave.
    leaving = region.replica(f"leaving-{version}", "new", ZONES[0],
                             controls=[region.address(number) for number in OTHERS])
    told_at_entry = region.replica(f"told-at-entry-{version}", "new", ZONES[1],
                                   controls=[region.address(number) for number in OTHERS])
    for caller in callers:
        caller.replicas += [leaving, told_at_entry]
    region.put_until(changed_configuration(version, "new"))
    h.wait_until(lambda: leaving.requests and told_at_entry.requests, 10,
                 "the upstreams that will leave are used")

    begin = time.monotonic()
    region.cut(mode)
    time.sleep(0.3)
    changed_at = region.put_until(changed_configuration(version + 1, "old"))
    leaving.leave()
    left_at = time.monotonic()
    sleep_until(begin + CUT_S / 2 - 1.0)
    told_at_entry.controls = [f"{entry_ip(1)}:{region.control_port}"]
    told_at_entry.leave()
    told_at = time.monotonic()
    counted_from = max(begin + CONTACT_S, changed_at + CONFIG_APPLY_S)
    sleep_until(begin + CUT_S / 2)
    # Back to the new service, so that the departures show.
    middle = time.monotonic()
    back_at = region.put_until(changed_configuration(version + 2, "new"))
    sleep_until(begin + CUT_S)
    end = time.monotonic()
    region.heal()

    back_from = max(back_at + CONFIG_APPLY_S, left_at + DRAIN_S, told_at + DRAIN_S)
    for caller in callers:
        first = caller.between(counted_from, middle)
        c.check(len(first) > 20, f"{what}: {caller.host} was asked while in touch", len(first))
        c.equal(collections.Counter(first), {(200, "old-1"): len(first)},
                f"{what}: every request with a key at {caller.host} runs by the new configuration")
        second = caller.between(back_from, end)
        c.check(len(second) > 20, f"{what}: {caller.host} was asked later", len(second))
        c.equal(collections.Counter(second), {(200, "new-1"): len(second)},
                f"{what}: no request at {caller.host} runs by an older configuration")
        for upstream, since in ((leaving, left_at), (told_at_entry, told_at)):
            late = [answer for answer in caller.between(since + DRAIN_S, end)
                    if answer[1] == upstream.name]
            c.equal(len(late), 0, f"{what}: requests at {caller.host} that run at {upstream.name}, "
                                  "which has left")
    h.wait_until(lambda: is_settled(entry), RETURN_WITHIN_S,
                 f"{what}: back in the own zone, without further links")
    leaving.close()
    told_at_entry.close()


def run(c, build):
    with Region(build) as region:
        for number in CONTROLS:
            region.start_control(number, True)
        entries = [region.entry(number, wait=False, zone=ZONES[number - 1]) for number in (1, 2)]
        majority = [region.address(number) for number in OTHERS]
        replicas = [region.replica(f"{service}-1", service, "c", controls=majority)
                    for service in ("old", "new")]
        region.put_until(changed_configuration(3, "old"))
        callers = [Caller(number, region, replicas) for number in (1, 2)]
        for caller in callers:
            caller.start()
        try:
            check_cut(c, region, entries[0], callers, 10, "hold")
            check_cut(c, region, entries[0], callers, 20, "refuse")
        finally:
            for caller in callers:
                caller.stop()


if __name__ == "__main__":
    h.main(run, __doc__)
