"""The control hosts of one zone are cut off from the other control hosts.

Six control hosts, two in each of three zones, and one entry host in the first zone. The links
between control hosts pass proxies, of which those between the two of the first zone and the other
four hold all bytes for a while. The entry host reaches all six directly. Right after the begin of
the cut the operator moves a route to another service at the majority. A caller asks for the route
all the time.
"""

import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standin  # noqa: E402
sys.path.insert(0, str(standin.TOP / "testsuite" / "first-start-faults"))
import region as regions  # noqa: E402
from link_proxy import LinkProxy  # noqa: E402

CONTROLS = range(1, 7)
CUT_OFF = (1, 4)  # the control hosts of the first zone, in which the entry host is
OTHERS = [number for number in CONTROLS if number not in CUT_OFF]
# The figures of the sheet of corralon-federal-grown, and the length of its core_cut.
CONTACT_S, CONFIG_APPLY_S, CUT_S = 4.0, 2.5, 5.5
SETTLE_S = 25.0  # for the members of the log, and for the entry host to come to its own zone
PUT_AFTER_S = 0.3
ASK_EVERY_S = 0.05


class Region(regions.FaultyRegion):
    """With proxies before six control hosts, and two tolerated losses."""

    def __init__(self):
        regions.REPLACEMENT = CONTROLS[-1]  # the highest number that it knows
        super().__init__(standin.TOP / "target", True)
        known = {proxy.listener.getsockname()[0] for proxy in self.proxies}
        self.proxies += [self._proxy(number) for number in CONTROLS
                         if regions.control_ip(number) not in known]

    def settings(self, *arguments, **more):
        return super().settings(*arguments, **{"fault_budget.machines": 2, **more})

    def cut(self):
        self.modes = {frozenset((f"core-{a}", f"core-{b}")): "hold"
                      for a in CUT_OFF for b in OTHERS}

    def heal(self):
        self.modes = {}


def configuration(version, service):
    return standin.configuration(
        version,
        # Public, since the entry host refuses all keys once its lease on them has run out.
        [standin.route("look", "/look/", "safe", service, 1500, 200, public=True)],
        [{"name": name, "health_path": "/healthz", "max_conns": 500} for name in ("old", "new")])


class Runs:
    """Which service ran which request."""

    def __init__(self, record):
        self.record, self.by_attempt = record, {}

    def serve(self, replica, channel, path, headers, body):
        attempt = headers["x-attempt-id"]
        self.by_attempt[attempt] = replica.service
        self.record.write(f"replica {replica.name} of service {replica.service}: runs {attempt}")
        channel.answer(200, {"X-Attempt-Id": attempt, "X-Server-Stamp": "stamp-" + replica.name,
                             "Keep-Alive": "timeout=5"}, b"answer")


class Caller(threading.Thread):
    def __init__(self, record, front):
        super().__init__(daemon=True)
        self.record, self.front = record, front
        self.sent, self.stopped = [], threading.Event()  # attempt and time

    def run(self):
        while not self.stopped.wait(ASK_EVERY_S):
            attempt = standin.attempt_id()
            self.sent.append((attempt, time.monotonic()))
            answer = standin.call(self.front, "/look/1", attempt, 1500)
            self.record.write(f"caller: {attempt} gets {answer!r}")


def run(record, trouble):
    region, replicas = Region(), []
    try:
        return play(record, trouble, region, replicas)
    finally:
        for replica in replicas:
            replica.close()
        region.close()


def play(record, trouble, region, replicas):
    for number in CONTROLS:
        region.start_control(number, True)
    region.entry(1, wait=False, zone="a")
    nodes = [region.address(number) for number in CONTROLS]
    runs = Runs(record)
    for service in ("old", "new"):
        replicas.append(standin.Replica(service + "-1", service, "a", nodes, runs.serve, slots=50))
    put(record, region, OTHERS, configuration(3, "old"), 20)
    front = f"{standin.fleet.entry_ip(1)}:{region.front_port}"
    standin.harness.wait_until(
        lambda: standin.call(front, "/look/1", standin.attempt_id(), 1500).status == 200, 20,
        "the first route is served")
    time.sleep(SETTLE_S)
    caller = Caller(record, front)
    caller.start()
    begin = time.monotonic()
    if trouble:
        region.cut()
        record.write(f"control hosts {CUT_OFF} are cut off from the other control hosts")
    time.sleep(PUT_AFTER_S)
    acked_at = put(record, region, OTHERS, configuration(5, "new"), 3)
    time.sleep(max(0.0, begin + CUT_S - time.monotonic()))
    region.heal()
    record.write("the cut has healed")
    time.sleep(CONTACT_S)
    caller.stopped.set()
    caller.join()
    # In touch: contact_ms after the begin of the cut until its end.
    counted_from = max(begin + CONTACT_S, acked_at + CONFIG_APPLY_S)
    counted = [(attempt, at) for attempt, at in caller.sent if counted_from <= at < begin + CUT_S]
    old = [(attempt, at) for attempt, at in counted if runs.by_attempt.get(attempt) == "old"]
    new = [attempt for attempt, _ in counted if runs.by_attempt.get(attempt) == "new"]
    record.write(f"of {len(counted)} requests sent while the entry host was in touch and "
                 f"{CONFIG_APPLY_S} s and more after the acknowledgement, {len(new)} ran at the new "
                 f"service and {len(old)} at the old one")
    if not counted:
        raise RuntimeError("no request was sent in the time that counts")
    return [f"{attempt}, sent {at - acked_at:.2f} s after the acknowledgement and "
            f"{at - begin:.2f} s after the begin of the cut, was run by the old service"
            for attempt, at in old]


def put(record, region, numbers, document, seconds):
    """Sends a configuration to control hosts until one acknowledges it. Returns when it did."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for number in numbers:
            if region.put_at(region.address(number), document):
                record.write(f"operator: version {document['version']} is acknowledged by control "
                             f"host {number}")
                return time.monotonic()
        time.sleep(0.1)
    raise RuntimeError(f"version {document['version']} is not acknowledged")


# TROUBLE=0: the same without the disruption.
sys.exit(standin.main(FOLDER, run, trouble=os.environ.get("TROUBLE", "1") != "0"))
