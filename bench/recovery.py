"""Measures recovery of the running programs: a stage killed or frozen, a control leader killed or frozen.

Each fault is repeated on one region; p50, p95 and the maximum are printed with the goal for
recovery (docs/design.md section 7). Usage: python3 bench/recovery.py --build build
"""

import argparse
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "testsuite"))
import harness as h  # noqa: E402

ROUNDS = 10
CHAINS = h.CHAINS * 6  # killed engines stay dead
TOKENS = 60
STAGE_GOAL_S = 1.0
CLAIM_GOAL_S = 3.0


def show(name, samples, goal):
    samples = sorted(samples)
    p50, p95 = (samples[int(part * (len(samples) - 1))] for part in (0.5, 0.95))
    verdict = "met" if samples[-1] <= goal else "MISSED"
    print(f"{name:44} p50 {p50:6.3f} s  p95 {p95:6.3f} s  max {samples[-1]:6.3f} s"
          f"  n {len(samples)}  goal <= {goal} s  {verdict}", flush=True)


def stage_pauses(entry, engines, failure):
    """Returns the longest pause of an answer for each failure of a stage that runs it."""
    pauses = []
    for number in range(ROUNDS):
        answer = h.Answer(entry, f"prompt {failure} {number}", TOKENS)
        for _ in range(5):
            answer.take()
        victim = next(e for e in engines if e.alive()
                      and e.counts()["runs"].get(answer.request_id))
        victim.kill() if failure == "kill" else victim.freeze()
        answer.read()
        if not answer.is_done:
            raise AssertionError(f"the answer was cut: {answer.error}")
        pauses.append(answer.longest_pause())
        if failure == "freeze":
            victim.thaw()
    return pauses


def claim_times(region, entry, failure):
    times = []
    for _ in range(ROUNDS):
        lost = region.leader()
        lost.kill() if failure == "kill" else lost.freeze()
        times.append(region.time_to_claim(entry))
        if failure == "kill":
            region.restart(lost)
        else:
            lost.thaw()
        region.time_to_claim(entry)
    return times


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    arguments = parser.parse_args()
    with h.Region(arguments.build, entries=1) as region:
        entry = region.entries[0]
        engines = region.zone_engines("dkr-a", [entry], CHAINS, layers_per_s=1200)
        region.ledgers()
        region.wait_ready()
        region.wait_ready(model=False, service="ledger")
        for failure in ("kill", "freeze"):
            show(f"stage, {failure}: longest pause of the answer",
                 stage_pauses(entry, engines, failure), STAGE_GOAL_S)
        for failure in ("kill", "freeze"):
            show(f"control leader, {failure}: a claim again", claim_times(region, entry, failure),
                 CLAIM_GOAL_S)


if __name__ == "__main__":
    main()
