"""Replicas that name how many requests a second they take from all entry hosts together.

Guards against hosts that together send a replica far more than the limit that it has named, and
against a limit that is kept after the replica has ceased to name one.
"""

import asyncio
import pathlib
import signal
import sys
import time

CASES = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(CASES), str(CASES / "platform")]
import harness as h  # noqa: E402
from fleet import Platform  # noqa: E402
from load import (Callers, Fleet, Service, put_configuration,  # noqa: E402
                  service_configuration)

HOSTS = 9
REPLICAS = 3
CALLS_PER_S = 5  # at each host
WINDOW_S = 4
SPARE_REQUESTS, SPARE_FACTOR = 5, 1.5  # of what a limit allows in the window
TOLD_S = 3  # time until every host has heard of the limit
LIMITED_S, FREE_S = 15, 6
FREE_SHARE = 0.8  # of the requests that are answered once no limit is named


def worst_window(arrivals, begin, end):
    """Returns the most requests that one replica got in a window between two times."""
    worst = 0
    for replica in range(REPLICAS):
        times = sorted(t for requests in arrivals.values() for t, number in requests
                       if number == replica and begin <= t < end)
        worst = max([worst] + [sum(t <= other < t + WINDOW_S for other in times) for t in times])
    return worst


async def play(platform, limit, restarts):
    """Returns the worst window while the limit was named, and the answers without one."""
    fleet = Fleet(platform, HOSTS)
    service, callers = Service(), Callers(platform.front_port, CALLS_PER_S)
    await service.start(REPLICAS, platform.seeds)
    await put_configuration(platform.seeds, service_configuration(timeout_ms=4000, attempts=2))
    await asyncio.sleep(3)
    service.limit = limit
    begin = time.monotonic()
    load = [asyncio.create_task(callers.run(host, begin + LIMITED_S + TOLD_S + FREE_S))
            for host in fleet.entries]
    await asyncio.sleep(LIMITED_S / 2)
    if restarts:
        fleet.restart_entry(1, signal.SIGKILL)
    await asyncio.sleep(LIMITED_S / 2)
    service.limit = None
    worst = worst_window(service.arrivals, begin + TOLD_S, begin + LIMITED_S)
    await asyncio.sleep(TOLD_S)
    callers.answers.clear()
    await asyncio.gather(*load)
    service.stop()
    return worst, callers.answers


def check_end(c, limit, answers):
    c.check(answers["200"] >= FREE_SHARE * sum(answers.values()),
            f"limit {limit}: requests are answered again once it has ended: {answers}")


def run(c, build):
    for limit, restarts in ((4.0, False), (2.5, True), (0.5, False)):
        with Platform(build) as platform:
            worst, answers = asyncio.run(play(platform, limit, restarts))
        allowed = SPARE_FACTOR * WINDOW_S * limit + SPARE_REQUESTS
        seen = f"limit {limit}: {worst} requests in {WINDOW_S} s, {allowed:.0f} allowed"
        print(seen, dict(answers), flush=True)
        c.check(worst <= allowed, seen)
        c.check(worst > 0, f"{seen}: a limited replica gets requests")
        if limit >= 1.0:  # testsuite/server-limit-end has the end of a lower one
            check_end(c, limit, answers)


if __name__ == "__main__":
    h.main(run, __doc__)
