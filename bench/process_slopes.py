"""Measures the running programs: processor time and memory of each role, idle and under load.

Starts a region of three availability zones on loopback, reads /proc/PID before and after each step,
and prints one line for each figure. Usage: python3 bench/process_slopes.py --build build
"""

import argparse
import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "testsuite"))
import harness as h  # noqa: E402

IDLE_S = 10
STREAMS = 100
TOKENS = 200
BOOKINGS = 200
ANNOUNCEMENTS = 1000
# About 20 tokens a second for each stream, so that tokens reach the entry process one at a time.
LAYERS_PER_S = 6000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(process):
    """Returns user and system time of a process in seconds."""
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def metric(process, name):
    text = h.call("GET", process.http, "/metrics").body.decode()
    for line in text.splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return 0.0


def show(name, value, unit):
    print(f"{name:64} {value:10.4g} {unit}", flush=True)


def measure_idle(roles):
    before = {name: cpu_s(p) for name, p in roles.items()}
    sent = {name: metric(p, "corneltray_peer_bytes_sent_total") for name, p in roles.items()}
    time.sleep(IDLE_S)
    for name, process in roles.items():
        show(f"{name}, idle, CPU", 100 * (cpu_s(process) - before[name]) / IDLE_S, "% of a core")
        show(f"{name}, idle, resident", resident_mb(process), "MB")
        now = metric(process, "corneltray_peer_bytes_sent_total")
        show(f"{name}, idle, bytes to peers", (now - sent[name]) / IDLE_S, "B/s")


def measure_streams(entry):
    before, memory = cpu_s(entry), resident_mb(entry)
    answers = [h.Answer(entry, f"caller {i}", TOKENS, timeout=60) for i in range(STREAMS)]
    for answer in answers:
        answer.take()
    show("entry, resident for an open stream", (resident_mb(entry) - memory) / STREAMS * 1024, "KB")
    tokens = 0
    for answer in answers:
        answer.read()
        tokens += TOKENS
    show("entry, CPU for a token", (cpu_s(entry) - before) / tokens * 1e6, "us")
    before = cpu_s(entry)
    requests = 300
    for i in range(requests):
        h.Answer(entry, f"short {i}", 1).read()
    show("entry, CPU for a request of one token", (cpu_s(entry) - before) / requests * 1e6, "us")


def measure_announcements(entry):
    """Repeats the announcement of one engine that nothing else knows, as each upstream does."""
    body = {"kind": "engine", "name": "measured", "incarnation": 1, "availability_zone": "dkr-a",
            "address": "127.0.0.1:9", "state": "ready", "checks_fence": True, "fence": 1,
            "accelerator": "a", "memory_bytes": 10**10, "layers_per_s": 1000.0, "link_mbps": 1000.0,
            "holdings": [], "load": {"running": 1, "waiting": 0, "kv_used": 0.5}, "sequence": 0}
    before = cpu_s(entry)
    for sequence in range(ANNOUNCEMENTS):
        body["sequence"] = sequence + 1
        h.call("POST", entry.http, "/v1/announce", body)
    show("entry, CPU for an announcement", (cpu_s(entry) - before) / ANNOUNCEMENTS * 1e6, "us")
    show("entry, body of an announcement", len(json.dumps(body)), "B")


def measure_bookings(region, entry):
    leader = region.leader()
    before = {"entry": cpu_s(entry), "control leader": cpu_s(leader)}
    for _ in range(BOOKINGS):
        region.book(entry, h.uuid7())
    show("entry, CPU for a booking", (cpu_s(entry) - before["entry"]) / BOOKINGS * 1e6, "us")
    show("control leader, CPU for a booking",
         (cpu_s(leader) - before["control leader"]) / BOOKINGS * 1e6, "us")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    arguments = parser.parse_args()
    with h.Region(arguments.build) as region:
        entry = region.entries[0]
        region.zone_engines("dkr-a", [entry], layers_per_s=LAYERS_PER_S)
        region.ledgers()
        region.wait_ready(entries=[entry])
        region.wait_ready(entries=[entry], model=False, service="ledger")
        leader = region.leader()
        follower = next(c for c in region.controls if c is not leader)
        measure_idle({"entry": entry, "control leader": leader, "control follower": follower})
        measure_streams(entry)
        measure_announcements(entry)
        measure_bookings(region, entry)


if __name__ == "__main__":
    main()
