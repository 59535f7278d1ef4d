"""Idempotent lookups through every availability zone while a replica fails in each way.

Guards against a lookup that fails, or waits for its deadline, although another replica can answer.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

DEADLINE_S = 5.0
TABLE = [("freeze", {}), ("silent", {}), ("slow", {"delay_ms": 60000}), ("refuse", {}), ("die", {})]


def run(c, build):
    with h.Region(build) as region:
        ledgers = region.ledgers(3)
        region.wait_ready(model=False, service="ledger")
        for number, (fault, fields) in enumerate(TABLE):
            victim = ledgers[number % 2]  # "refuse" stays with the second one, "die" is the first
            before = region.stock(region.entries[0], "cloth").body
            if fault == "die":
                victim.kill()
            else:
                victim.fault(fault, **fields)
            begin = time.monotonic()
            replies = h.in_parallel(*[
                lambda e=entry: region.stock(e, "cloth", timeout=DEADLINE_S + 3, **h.deadline(DEADLINE_S))
                for entry in region.entries * 4])
            took = time.monotonic() - begin
            c.equal({(r.status, h.outcome(r), r.body) for r in replies}, {(200, "done", before)},
                    f"{fault}: every lookup is answered")
            c.check(took < DEADLINE_S, f"{fault}: before the caller's deadline", f"{took:.2f} s")
            print(f"{fault}: 12 lookups in {took:.2f} s")
            if fault in ("freeze", "slow"):
                victim.fault("none")


if __name__ == "__main__":
    h.main(run, __doc__)
