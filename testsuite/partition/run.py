"""A network partition between one availability zone and the others: docs/design.md 5.2, row by row.

Guards against a zone that stops serving what it can serve alone, that books or accepts a change
without a majority, or that does not come back when the partition heals.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

BACK_S = 10.0  # healing: redial after at most a few seconds, then one interval of gossip


def run(c, build):
    with h.Region(build, partitions=True) as region:
        # The zone of the leader is cut off: it goes on believing that it leads.
        lone = region.leader()
        number = region.controls.index(lone)
        cut, rest = region.entries[number], region.entries[(number + 1) % 3]
        for entry in (cut, rest):
            region.zone_engines(region.zone_of[entry.name], [entry], chains=h.CHAINS[:1])
        region.ledgers(3)
        region.wait_ready([cut, rest], service="ledger")
        revision = region.revision(rest)
        key, known = h.uuid7(), h.uuid7()
        done = region.book(cut, known)
        c.equal(h.outcome(done), "done", "a booking before")

        region.cut_off(region.zone_of[cut.name])
        # The rest of the region has the majority, whoever led before.
        h.wait_until(lambda: h.outcome(region.book(rest, h.uuid7(), seconds=3)) == "done", 10,
                     "the majority books")
        for entry in (cut, rest):
            prompt = f"in a partition {entry.name}"
            h.Answer(entry, prompt, 10).read().check(c, prompt, 10, prompt)
            c.equal(region.stock(entry, "cloth").status, 200, f"{entry.name}: lookup")
        refused = region.book(cut, key, seconds=2)
        c.equal((refused.status, h.outcome(refused), refused.error().get("code")),
                (503, "unknown", "booking_store_unavailable"), "cut off: a booking")
        again = region.book(cut, known, seconds=2)
        c.check(h.outcome(again) != "not_run", "cut off: a known booking is not denied", again)
        c.equal(region.booked(key), 0, "cut off: not booked")
        changes = h.in_parallel(*[
            lambda p=p: region.change(p, revision, h.BASE + "# cut off\n", timeout=20)
            for p in (cut, lone)])
        for process, reply in zip((cut, lone), changes):
            c.check(reply.status >= 500, f"cut off: a change through {process.name}", reply)
        reply = region.admin("GET", cut, "configuration")
        c.equal((reply.status, reply.json().get("revision")), (200, revision), "cut off: reads")
        c.equal(region.change(region.controls[(number + 1) % 3], revision, h.BASE + "# rest\n").status, 200,
                "the majority accepts a change")
        taken = region.book(rest, key, seconds=4)
        c.equal(h.outcome(taken), "done", "the same key through the majority")

        region.heal()
        h.wait_until(lambda: region.revision(cut) == revision + 1 == region.revision(lone), BACK_S,
                     "the accepted change is in force in the zone")
        after = h.wait_until(lambda: (r := region.book(cut, key, seconds=3)) and
                             h.outcome(r) == "done" and r, BACK_S, "the booking through the zone")
        c.equal(after.body, taken.body, "with the answer of the majority")
        c.equal([region.booked(key), region.booked(known)], [1, 1], "each key was booked once")
        c.equal(h.outcome(region.book(cut, h.uuid7())), "done", "new bookings through the zone")


if __name__ == "__main__":
    h.main(run, __doc__)
