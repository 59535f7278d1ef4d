"""Connections between corneltray processes that go silent for good while new ones work.

Guards against a process that waits forever on a connection that is open but dead (docs/design.md
5.11): bookings, changes and leadership have to move to a new link.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

DEAD_S = 2.0       # a link without a frame for this long is dead
CLAIM_S = 3.0      # and a claim is accepted again in under 3 s, as after the loss of a leader
IN_FORCE_S = 14.0


def run(c, build):
    with h.Region(build, partitions=True) as region:
        region.ledgers(3)
        region.wait_ready(model=False, service="ledger")
        revision = region.revision(region.entries[0])
        for what, names in (("the leader", [region.leader().name]),
                            ("every control host", region.control_names),
                            ("every process", list(region.fronts))):
            for name in names:
                region.fronts[name].silence_open()
            begin = time.monotonic()
            keys = [h.uuid7() for _ in range(6)]
            replies = h.in_parallel(*[
                lambda i=i, k=key: region.book(region.entries[i % 3], k, seconds=8)
                for i, key in enumerate(keys)])
            took = time.monotonic() - begin
            c.equal([h.outcome(r) for r in replies], ["done"] * 6, f"silent links of {what}")
            c.check(took < DEAD_S + CLAIM_S, f"silent links of {what}: bookings", f"{took:.2f} s")
            c.equal([region.booked(key) for key in keys], [1] * 6, f"{what}: booked once")
            print(f"silent links of {what}: bookings after {took:.2f} s")
            region.apply(revision)
            revision += 1
            h.wait_until(lambda: all(region.revision(e) == revision for e in region.entries),
                         IN_FORCE_S, f"silent links of {what}: a change is in force")


if __name__ == "__main__":
    h.main(run, __doc__)
