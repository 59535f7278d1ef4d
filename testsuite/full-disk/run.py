"""Disks of control hosts that refuse writes for some seconds, on the users' platform.

Guards against a control process that never votes or acknowledges again after its disk was full, so
that the region loses its majority one sound disk after the other. The file size limit of a process
stands in for a full disk.
"""

import json
import pathlib
import resource
import sys

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import Platform, configuration  # noqa: E402

CONTROLS = [1, 2, 3]
# The platform's bound for an acknowledgement (ack_ms) and for a configuration to be in force.
ACKNOWLEDGE_WITHIN_S = 4
IN_FORCE_WITHIN_S = 2
RECOVER_WITHIN_S = 5


def limit_files(process, size):
    """Lets the files of a process grow to a size only; -1 lifts the limit."""
    _, hard = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size, hard))


def put_in_time(c, platform, version, what):
    def put():
        return any(platform.put(configuration(version), number) == 200 for number in CONTROLS)
    try:
        h.wait_until(put, ACKNOWLEDGE_WITHIN_S, what)
        c.check(True, what)
    except h.Timeout as late:
        c.check(False, what, str(late))


def check_one_disk(c, platform, controls, control, version):
    """Fills the disk of one host and frees it again, with a change in each phase."""
    before = len(control.events)
    limit_files(control, 0)
    put_in_time(c, platform, version, f"a change while the disk of {control.name} is full")
    control.wait_event("storage_failed", ACKNOWLEDGE_WITHIN_S, since=before)
    for process in controls:
        process.wait_event("route_table_applied", IN_FORCE_WITHIN_S, version=version)
    c.check(True, f"every host has the change made while the disk of {control.name} is full")
    limit_files(control, -1)
    control.wait_event("storage_recovered", RECOVER_WITHIN_S, since=before)
    put_in_time(c, platform, version + 1, f"a change after the disk of {control.name} is free")


def check_restarts(c, platform, controls, version):
    """What was written during and after the failures is on the disks."""
    for control in controls:
        control.kill()
    for number in CONTROLS:
        platform.control(number, bootstrap="false")
    put_in_time(c, platform, version, "a change after all hosts were killed")

    def read():
        reply = h.call("GET", platform.seeds[0], "/Config.Get")
        return reply.status == 200 and json.loads(reply.body)
    c.equal(h.wait_until(read, 5, "the configuration is read")["version"], version, "read back")


def run(c, build):
    with Platform(build) as platform:
        controls = [platform.control(number) for number in CONTROLS]
        platform.put_until(configuration(1))
        version = 10
        for turn in range(2):
            for control in controls:
                check_one_disk(c, platform, controls, control, version)
                version += 10
        check_restarts(c, platform, controls, version)


if __name__ == "__main__":
    h.main(run, __doc__)
