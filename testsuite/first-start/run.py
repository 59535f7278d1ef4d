"""The first start of a region in which one control host is lost before the log exists.

Guards against a region that never gets a log, so that no configuration is ever acknowledged,
because one of the hosts that are to create it has lost its disk, is gone for good or was replaced.
"""

import json
import pathlib
import shutil
import sys

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import Platform, configuration  # noqa: E402

CONTROLS = [1, 2, 3]
REPLACEMENT = 4
VERSION = 3
# The platform's bound for service after losses (recover_s).
RECOVER_WITHIN_S = 12
# An entry host has to start and link first; the platform allows a change 2 s at running hosts.
IN_FORCE_WITHIN_S = 4


def wipe(platform, number):
    shutil.rmtree(platform.folder / f"core-{number}" / "data")


def lose_disk(platform, control, number):
    control.kill()
    wipe(platform, number)


def host_loses_its_disk_before_the_others_start(platform, number):
    lose_disk(platform, platform.control(number), number)
    for other in CONTROLS:
        platform.control(other, bootstrap="false" if other == number else "true")
    return CONTROLS


def start_two(platform, number):
    """Starts a host and its successor. Returns their processes and the number of the third host."""
    last = CONTROLS[(number + 1) % len(CONTROLS)]
    return {other: platform.control(other) for other in CONTROLS if other != last}, last


def host_loses_its_disk_before_the_last_one_starts(platform, number):
    controls, last = start_two(platform, number)
    lose_disk(platform, controls[number], number)
    platform.control(number, bootstrap="false")
    platform.control(last)
    return CONTROLS


def host_loses_its_disk_right_after_two_have_elected_a_leader(platform, number):
    controls, last = start_two(platform, number)
    def leads():
        return any(event.get("event") == "role_changed" and event.get("role") == "leader"
                   for control in controls.values() for event in list(control.events))
    h.wait_until(leads, RECOVER_WITHIN_S, "one of two hosts leads")
    lose_disk(platform, controls[number], number)
    platform.control(number, bootstrap="false")
    platform.control(last)
    return CONTROLS


def host_never_starts(platform, number):
    others = [other for other in CONTROLS if other != number]
    for other in others:
        platform.control(other)
    return others


def host_is_replaced_at_another_address(platform, number):
    others = host_never_starts(platform, number)
    platform.control(REPLACEMENT, bootstrap="false")
    return [*others, REPLACEMENT]


LOSSES = [host_loses_its_disk_before_the_others_start,
          host_loses_its_disk_before_the_last_one_starts,
          host_loses_its_disk_right_after_two_have_elected_a_leader, host_never_starts,
          host_is_replaced_at_another_address]


def acknowledged(platform, numbers, version):
    def put():
        return any(platform.put_at(configuration(version), number) == 200 for number in numbers)
    try:
        return h.wait_until(put, RECOVER_WITHIN_S, f"version {version} is acknowledged")
    except h.Timeout:
        return False


class FirstStart(Platform):
    def address(self, number):
        return f"127.0.0.{number}:{self.control_port}"

    def put_at(self, document, number):
        return h.call("POST", self.address(number), "/Config.Put", document).status

    def read_at(self, number):
        reply = h.call("GET", self.address(number), "/Config.Get")
        return reply.status == 200 and json.loads(reply.body)["version"]


def check_first_start(c, platform, lose, number):
    what = f"{lose.__name__.replace('_', ' ')} (core-{number})"
    try:
        running = lose(platform, number)
        entry = platform.entry(1)
        if not c.check(acknowledged(platform, running, VERSION), f"{what}: acknowledged"):
            return
        entry.wait_event("route_table_in_force", IN_FORCE_WITHIN_S, version=VERSION)
        for other in running:
            read = h.wait_until(lambda other=other: platform.read_at(other), RECOVER_WITHIN_S,
                                f"version {VERSION} is read at core-{other}")
            c.equal(read, VERSION, f"{what}: read at core-{other}")
    except h.Timeout as late:
        c.check(False, what, str(late))


def run(c, build):
    for lose in LOSSES:
        for number in CONTROLS:
            with FirstStart(build) as platform:
                check_first_start(c, platform, lose, number)


if __name__ == "__main__":
    h.main(run, __doc__)
