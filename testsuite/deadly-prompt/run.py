"""Requests with one prompt part that crashes each replica which begins an answer to them.

Guards against such requests crashing one replica after the other, because each entry host takes
the crashes for losses of its own, and against sound requests being refused beside them.
"""

import pathlib
import sys
import time

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import Platform, ZONES, configuration, entry_ip  # noqa: E402
from run import ask, is_whole, ready  # noqa: E402  (of testsuite/platform)

ENTRIES = [1, 2, 3]
REQUESTS = 18
PAUSE_S = 0.25
# Bounds of the platform: five crashes, and three more requests with the part.
MAX_CRASHES = 5 + 3


def talk(platform, number, parts):
    """Sends one generation to an entry host. Returns its status."""
    address = f"{entry_ip(number)}:{platform.front_port}"
    prompt = ",".join(f"{part}:10" for part in parts)
    return ask(address, "/talk/1", headers={"X-Prefix-Hash": prompt})[0]


def send_both(platform):
    """Sends deadly and sound requests in turn. Returns the statuses of both."""
    deadly, sound = [], []
    for turn in range(REQUESTS):
        number = ENTRIES[turn % len(ENTRIES)]
        deadly.append(talk(platform, number, ["first", "deadly", f"own{turn}"]))
        time.sleep(PAUSE_S)
        sound.append(talk(platform, number, ["first", f"mine{turn}"]))
        time.sleep(PAUSE_S)
    return deadly, sound


def run(c, build):
    with Platform(build) as platform:
        controls = [platform.control(i) for i in (1, 2, 3)]
        for number in ENTRIES:
            platform.entry(number, zone=ZONES[number - 1])
        platform.put_until(configuration(3))
        engines = {zone: [platform.replica(f"{zone}{i}", "model", zone, kind="card",
                                           deadly_part="deadly") for i in range(3)]
                   for zone in ZONES}
        for zone in ZONES:
            h.wait_until(lambda z=zone: is_whole(engines[z]), 15, f"every layer in zone {zone}")
        for number in ENTRIES:
            h.wait_until(lambda n=number: ready(platform, n) == 200, 10, f"edge-{number} is ready")
            h.wait_until(lambda n=number: talk(platform, n, ["first", "warm"]) == 200, 10,
                         f"edge-{number} serves")
        deadly, sound = send_both(platform)
        crashes = sum(engine.crashes for zone in ZONES for engine in engines[zone])
        c.check(crashes <= MAX_CRASHES, "replicas that crashed", f"{crashes}")
        c.check(deadly.count(503) >= REQUESTS - MAX_CRASHES, "deadly requests are refused",
                f"{deadly}")
        c.check(sound.count(200) * 2 >= REQUESTS, "sound requests are served", f"{sound}")
        quarantined = [event for process in controls for event in process.events
                       if event["event"] == "prompt_part_verdict"
                       and event["state"] == "quarantined"]
        refused_alone = {event["part"] for event in quarantined
                         if event["part"] == "deadly" or "deadly" not in event["companions"]}
        c.equal(refused_alone, {"deadly"}, "parts that are refused without the deadly one")


if __name__ == "__main__":
    h.main(run, __doc__)
