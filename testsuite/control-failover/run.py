"""Loss of control hosts.

Guards against a region that takes no bookings after one host is lost, that forgets a booking or a
change with it, or that lets a host vote on state that it has lost.
"""

import pathlib
import shutil
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

CLAIM_S = 3.0  # a claim is accepted again in under 3 s


def run(c, build):
    with h.Region(build, entries=2) as region:
        region.ledgers(1)
        region.wait_ready(model=False, service="ledger")
        entry = region.entries[1]
        keys = [h.uuid7() for _ in range(20)]
        replies = h.in_parallel(*[lambda k=key: region.book(entry, k) for key in keys])
        c.equal([h.outcome(r) for r in replies], ["done"] * 20, "bookings before the failures")

        for failure in ("kill", "freeze"):
            lost = region.leader()
            lost.kill() if failure == "kill" else lost.freeze()
            took = region.time_to_claim(entry)
            print(f"leader {failure}: a claim after {took:.2f} s")
            c.check(took < CLAIM_S, f"leader {failure}: a claim is accepted in {CLAIM_S} s", f"{took:.2f}")
            if failure == "kill":
                region.restart(lost)
            else:
                lost.thaw()
            c.check(region.time_to_claim(entry) < CLAIM_S, f"{failure}: and after its return")

        # A host loses its disk and comes back empty: it learns, is added again, and the next loss
        # of another host is survived.
        revision = region.revision(region.controls[0])
        lost = region.leader()
        lost.kill()
        shutil.rmtree(region.folder / lost.name)
        (region.folder / lost.name).mkdir()
        c.equal(h.outcome(region.book(entry, h.uuid7())), "done", "a booking without the lost disk")
        back = region.restart(lost)

        def is_member():
            # The leader replaced the old identity of the host by the one that it has now.
            identity = region.status(back).get("disk_identity")
            members = region.status(region.leader()).get("members", [])
            return len(members) == 3 and any(
                m["host"] == back.name and m["disk_identity"] == identity and m["voter"]
                for m in members)
        h.wait_until(is_member, 15, "the empty host is a voting member again")
        other = next(p for p in region.controls if p.name != back.name)
        other.kill()
        took = region.time_to_claim(entry)
        c.check(took < CLAIM_S, "a second loss after the repair", f"{took:.2f} s")
        again = h.in_parallel(*[lambda k=key: region.book(entry, k) for key in keys])
        c.equal([h.outcome(r) for r in again], ["done"] * 20, "all outcomes are still known")
        c.equal([a.body == r.body for a, r in zip(again, replies)], [True] * 20, "with their answers")
        c.equal([region.booked(key) for key in keys], [1] * 20, "each booked once")
        c.check(region.revision(back) >= revision, "the repaired host has the configuration")

        # Without a majority nothing is booked and nothing is reported as not run.
        next(p for p in region.controls if p.alive() and p.name != back.name).kill()
        key = h.uuid7()
        reply = region.book(entry, key, seconds=2)
        c.equal(h.outcome(reply), "unknown", "no majority: unknown")
        c.equal(region.booked(key), 0, "no majority: not booked")


if __name__ == "__main__":
    h.main(run, __doc__)
