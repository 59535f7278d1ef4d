"""The first start of a region whose seeds name entry hosts, with the loss of one control host.

Guards against a region that never gets a log, or loses an acknowledged configuration with one disk,
because only the control hosts among the seeds may create the log and are its first voters.
"""

import pathlib
import sys
import time

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
sys.path.insert(0, str(TESTSUITE / "first-start-faults"))
import harness as h  # noqa: E402
from fleet import configuration, entry_ip  # noqa: E402
from region import REPLACEMENT, FaultyRegion  # noqa: E402

CONTROLS = (1, 2, 3)
VERSION = 3
# The platform's bound for service after losses (recover_s).
RECOVER_WITHIN_S = 12
FORMAT_WITHIN_S = 5
DOWN_S = 0.5


def start(region, entry_seeds):
    """The last seeds are entry hosts; core-1 is always a seed."""
    region.told_seeds = [region.address(number) for number in CONTROLS[:3 - entry_seeds]]
    region.told_seeds += [f"{entry_ip(i + 1)}:{region.control_port}" for i in range(entry_seeds)]
    for number in CONTROLS:
        region.start_control(number, True)
    h.wait_until(lambda: region.is_formatted(1), FORMAT_WITHIN_S, "core-1 has its data folder")


def start_entries(region):
    for number in (1, 2):
        region.entry(number, wait=False, seeds=region.told_seeds)


def lose_disk(region):
    region.kill_control(1)
    region.lose_disk(1)
    time.sleep(DOWN_S)
    region.start_control(1, False)
    return CONTROLS


def replace(region):
    region.kill_control(1)
    region.start_control(REPLACEMENT, False)
    return (*CONTROLS[1:], REPLACEMENT)


def acknowledge(region, numbers):
    h.wait_until(
        lambda: any(region.put_at(region.address(n), configuration(VERSION)) for n in numbers),
        RECOVER_WITHIN_S, "the configuration is acknowledged")


def check_loss_before_the_log(c, region, entry_seeds, lose):
    what = f"{entry_seeds} seeds are entry hosts, {lose.__name__} before the log exists"
    start(region, entry_seeds)
    running = lose(region)
    start_entries(region)  # the founding hosts need them to begin
    try:
        acknowledge(region, running)
        c.check(True, what)
    except h.Timeout as late:
        c.check(False, what, str(late))


def check_loss_after_the_first_acknowledgement(c, region, entry_seeds):
    what = f"{entry_seeds} seeds are entry hosts, a disk is lost after the first acknowledgement"
    start(region, entry_seeds)
    start_entries(region)
    try:
        acknowledge(region, CONTROLS)
        lose_disk(region)
        read = h.wait_until(
            lambda: next(filter(None, (region.get_at(region.address(n)) for n in CONTROLS)), None),
            RECOVER_WITHIN_S, "the configuration is read")
        c.equal(read, configuration(VERSION), what)
    except h.Timeout as late:
        c.check(False, what, str(late))


def run(c, build):
    for entry_seeds in (1, 2):
        for lose in (lose_disk, replace):
            with FaultyRegion(build, False) as region:
                check_loss_before_the_log(c, region, entry_seeds, lose)
        with FaultyRegion(build, False) as region:
            check_loss_after_the_first_acknowledgement(c, region, entry_seeds)


if __name__ == "__main__":
    h.main(run, __doc__)
