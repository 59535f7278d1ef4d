"""A kill of all processes after a prompt part that crashes replicas has been found out.

Guards against the restarted processes having forgotten the part, so that requests with it crash
nearly as many replicas again.
"""

import http.client
import pathlib
import sys
import time

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import Platform, ZONES, configuration, entry_ip  # noqa: E402
from run import ask, is_whole  # noqa: E402  (of testsuite/platform)

CONTROLS = [1, 2, 3]
ENTRIES = [1, 2, 3]
DEADLY_REQUESTS = 12    # after the restart
PAUSE_S = 0.3
MAX_ARRIVALS = 3        # bound of the platform for a part that has been found out
RECORDED_WITHIN_S = 3   # contact_ms of the platform


def start_all(platform, bootstrap):
    processes = [platform.control(number, bootstrap=bootstrap) for number in CONTROLS]
    return processes + [platform.entry(number, zone=ZONES[number - 1]) for number in ENTRIES]


def talk(platform, number, parts):
    """Sends one generation to an entry host. Returns its status, or None without a whole answer."""
    prompt = ",".join(f"{part}:10" for part in parts)
    try:
        return ask(f"{entry_ip(number)}:{platform.front_port}", "/talk/1",
                   headers={"X-Prefix-Hash": prompt})[0]
    except (OSError, http.client.HTTPException):
        return None


def wait_served(platform, engines):
    h.wait_until(lambda: all(is_whole(engines[zone]) for zone in ZONES), 20, "every layer")
    for number in ENTRIES:
        h.wait_until(lambda n=number: talk(platform, n, ["first", "warm"]) == 200, 20,
                     f"edge-{number} serves")


def send_deadly(platform, name, count):
    for turn in range(count):
        talk(platform, ENTRIES[turn % len(ENTRIES)], ["first", "deadly", f"{name}{turn}"])
        time.sleep(PAUSE_S)


def found_out(processes):
    return any(e["event"] == "prompt_part_verdict" and e["part"] == "deadly"
               and e["state"] == "quarantined" for p in processes for e in p.events)


def recorded(processes):
    return any(e["event"] == "prompt_verdicts_proposed" for p in processes for e in p.events)


def run(c, build):
    with Platform(build) as platform:
        processes = start_all(platform, "true")
        platform.put_until(configuration(3))
        engines = {zone: [platform.replica(f"{zone}{i}", "model", zone, kind="card",
                                           deadly_part="deadly") for i in range(3)]
                   for zone in ZONES}
        everywhere = [engine for zone in ZONES for engine in engines[zone]]
        wait_served(platform, engines)

        for turn in range(10):
            if found_out(processes):
                break
            send_deadly(platform, f"before{turn}-", 1)
        c.check(found_out(processes), "the part is found out")
        try:
            h.wait_until(lambda: recorded(processes), RECORDED_WITHIN_S, "the part is recorded")
        except h.Timeout as missing:
            c.check(False, "the part is recorded", str(missing))

        for process in processes:
            process.send(9)
        for process in processes:
            process.popen.wait(10)
        start_all(platform, "false")
        wait_served(platform, engines)
        before = sum(engine.crashes for engine in everywhere)
        send_deadly(platform, "after", DEADLY_REQUESTS)
        arrived = sum(engine.crashes for engine in everywhere) - before
        c.check(arrived <= MAX_ARRIVALS,
                f"at most {MAX_ARRIVALS} requests with the part reach replicas after the restart",
                f"{arrived} did")
        c.equal(talk(platform, 1, ["first", "warm2"]), 200, "sound requests are served")


if __name__ == "__main__":
    h.main(run, __doc__)
