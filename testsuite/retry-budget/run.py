"""Retries of all entry hosts together while every replica fails.

Guards against hosts that together send more retries than the allowance, in a burst of failures and
while hosts or control hosts are killed.
"""

import asyncio
import pathlib
import random
import signal
import sys
import time

CASES = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(CASES), str(CASES / "platform")]
import harness as h  # noqa: E402
from fleet import Platform  # noqa: E402
from load import (Callers, Fleet, Service, put_configuration,  # noqa: E402
                  service_configuration)

HOSTS = 15
REPLICAS = 6
CALLS_PER_S = 10  # at each host
BURST = 40  # requests at each host
RATIO, SLACK, WINDOW_S = 0.2, 424, 10
WARM_UP_S, FAILING_S = 3, 14


def worst_window(sent, arrivals):
    """Returns the retries and the allowed number of the window that is worst by their difference."""
    requests = sorted(sent.values())
    retries = sorted(t for times in arrivals.values() for t, _ in sorted(times)[1:])

    def count(times, begin):
        return sum(begin <= t < begin + WINDOW_S for t in times)

    windows = []
    for begin in retries:
        most = max(count(requests, begin - shift) for shift in (0, WINDOW_S / 2, WINDOW_S))
        windows.append((count(retries, begin), RATIO * most + SLACK))
    return max(windows, key=lambda window: window[0] - window[1], default=(0, SLACK))


async def calm(_fleet, _callers, _until):
    pass


async def burst(fleet, callers, until):
    """Many requests at every host at the same moment, just over nine seconds apart."""
    while time.monotonic() < until:
        calls = [callers.call(host) for host in fleet.entries for _ in range(BURST)]
        await asyncio.gather(*calls, asyncio.sleep(9.2))


async def kill_entries(fleet, _callers, until):
    while time.monotonic() < until:
        for number in random.sample(sorted(fleet.entries), 5):
            fleet.restart_entry(number, signal.SIGKILL)
        await asyncio.sleep(2)


async def kill_controls(fleet, _callers, until):
    for number in (1, 2, 3, 1):
        if time.monotonic() < until:
            fleet.restart_control(number, signal.SIGKILL)
            await asyncio.sleep(3)


async def freeze_entries(fleet, _callers, until):
    while time.monotonic() < until:
        frozen = [fleet.entries[number] for number in random.sample(sorted(fleet.entries), 5)]
        for entry in frozen:
            entry.send(signal.SIGSTOP)
        await asyncio.sleep(2.5)
        for entry in frozen:
            entry.send(signal.SIGCONT)


TROUBLES = {"calm": calm, "burst": burst, "freeze_entries": freeze_entries, "kill_entries": kill_entries, "kill_controls": kill_controls}


async def play(platform, trouble):
    fleet = Fleet(platform, HOSTS, **{"bounds.retry_ratio": RATIO, "bounds.retry_slack": SLACK})
    service, callers = Service(), Callers(platform.front_port, CALLS_PER_S)
    await service.start(REPLICAS, platform.seeds)
    await put_configuration(platform.seeds, service_configuration(timeout_ms=4000, attempts=3))
    await asyncio.sleep(3)
    until = time.monotonic() + WARM_UP_S + FAILING_S
    tasks = [asyncio.create_task(callers.run(host, until)) for host in fleet.entries]
    await asyncio.sleep(WARM_UP_S)
    service.fails = True
    tasks.append(asyncio.create_task(trouble(fleet, callers, until)))
    await asyncio.gather(*tasks)
    service.stop()
    return callers, service


def run(c, build, troubles=tuple(TROUBLES)):
    for name in troubles:
        with Platform(build) as platform:
            callers, service = asyncio.run(play(platform, TROUBLES[name]))
        used, allowed = worst_window(callers.sent, service.arrivals)
        seen = f"{name}: {used} retries in {WINDOW_S} s, {allowed:.0f} allowed"
        print(seen, dict(callers.answers), flush=True)
        c.check(used <= allowed, seen)
        c.check(used > allowed / 4, f"{seen}: the failures use the allowance")


if __name__ == "__main__":
    h.main(run, __doc__)
