"""Processes whose seeds are entry hosts, on the users' platform.

Guards against a log that never forms, and a process that never finds the control hosts, because
the seeds that they are told serve the control interface and are no control hosts.
"""

import pathlib
import sys

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import Platform, configuration, entry_ip  # noqa: E402

FOUND_WITHIN_S = 4


def check_first_start(c, build):
    """The first of three seeds, in order, is an entry host."""
    with Platform(build) as platform:
        seeds = [f"{ip}:{platform.control_port}"
                 for ip in (entry_ip(1), "127.0.0.2", "127.0.0.3")]
        platform.entry(1, seeds=seeds)
        controls = [platform.control(number, seeds=seeds) for number in (1, 2, 3)]
        h.wait_until(lambda: platform.put(configuration(3)) == 200, 10, "a leader")
        for control in controls:
            joined = control.wait_event("route_table_applied", FOUND_WITHIN_S)
            c.equal(joined["version"], 3, f"{control.name} is part of the log")


def check_later_starts(c, build):
    with Platform(build) as platform:
        for number in (1, 2, 3):
            platform.control(number)
        platform.entry(1)
        platform.put_until(configuration(3))
        seeds = [f"{entry_ip(1)}:{platform.control_port}"]

        entry = platform.entry(2, seeds=seeds)
        found = entry.wait_event("route_table_in_force", FOUND_WITHIN_S)
        c.equal(found["version"], 3, "an entry host gets the configuration")

        control = platform.control(4, bootstrap="false", seeds=seeds)
        joined = control.wait_event("route_table_applied", FOUND_WITHIN_S)
        c.equal(joined["version"], 3, "an empty control host joins the log")

        entry.kill()
        entry = platform.entry(2, seeds=[f"{entry_ip(2)}:{platform.control_port}", *seeds])
        found = entry.wait_event("route_table_in_force", FOUND_WITHIN_S)
        c.equal(found["version"], 3, "also an entry host that is itself among its seeds")


def run(c, build):
    check_first_start(c, build)
    check_later_starts(c, build)


if __name__ == "__main__":
    h.main(run, __doc__)
