"""Bookings under the failure of each part at each moment.

Guards against a second booking for one key, against "not run" for a booking that ran or still can
run, and against an outcome that changes between two callers.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

DEADLINE_S = 2.0
RESOLVE_S = DEADLINE_S + 0.3 + 2  # resolve_after_ms of the configuration, and two round trips


def settle(region, entry, key, wanted, seconds=RESOLVE_S + 3):
    """Repeats a booking until its outcome is `wanted`; returns all outcomes and the last reply."""
    seen = []

    def again():
        reply = region.book(entry, key, seconds=DEADLINE_S)
        seen.append(h.outcome(reply))
        return reply if seen[-1] == wanted else None
    try:
        return seen, h.wait_until(again, seconds, f"{key} is {wanted}")
    except h.Timeout:
        return seen, None


def entry_row(c, region, ledgers, entry, other, failure, moment):
    """The entry host fails while the service holds the call before or after it books."""
    what = f"entry host {failure}, service {moment}"
    key = h.uuid7()
    for ledger in ledgers:
        ledger.fault("hold", moment=moment, key=key)

    def held():
        return next((l for l in ledgers if any(e.get("event") == "held" and e.get("key") == key
                                               for e in list(l.events))), None)

    def fail():
        h.wait_until(held, 5, f"{what}: the call is held")
        entry.kill() if failure == "kill" else entry.freeze()

    h.in_parallel(lambda: region.book(entry, key, seconds=DEADLINE_S), fail)
    wanted = "done" if moment == "after" else "unknown"
    seen, reply = settle(region, other, key, wanted)
    c.check(reply is not None, f"{what}: the repeat is {wanted}", seen)
    c.check(not set(seen) & {"not_run", None}, f"{what}: never reported as not run", seen)
    for ledger in ledgers:
        ledger.fault("release", key=key)
    if failure == "stop":
        entry.thaw()
    h.wait_until(lambda: region.booked(key) == 1, 3, f"{what}: the held call books")
    _, first = settle(region, other, key, "done")
    _, second = settle(region, region.entries[-1], key, "done")
    c.check(first is not None and second is not None, f"{what}: done in the end")
    if first and second:
        c.equal(second.body, first.body, f"{what}: the same answer for every caller")
    c.equal(region.booked(key), 1, f"{what}: booked once")


def before_claim(c, region, entry, other, failure):
    """The entry host fails before it reads the call; a frozen one wakes after the repeat is done."""
    what = f"entry host {failure} before the claim"
    key = h.uuid7()
    entry.freeze()

    def repeat():
        # The call lies unread in the socket of the entry host.
        h.wait_until(lambda: unread(entry), 5, f"{what}: the call has arrived")
        if failure == "kill":
            entry.kill()
        reply = region.book(other, key, seconds=5)
        entry.thaw()
        return reply
    late, reply = h.in_parallel(lambda: region.book(entry, key, seconds=6), repeat)
    c.equal(h.outcome(reply), "done", f"{what}: the repeat runs")
    if failure == "stop":
        c.equal((h.outcome(late), late and late.body), ("done", reply.body), f"{what}: same answer")
    c.equal(region.booked(key), 1, f"{what}: booked once")


def unread(process):
    """Whether bytes wait for the process on a connection to its HTTP address."""
    port = int(process.http.rsplit(":", 1)[1])
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        # The receive queue of a listener counts connections that wait to be accepted.
        if int(columns[1].split(":")[1], 16) == port and int(columns[4].split(":")[1], 16) > 0:
            return True
    return False


def same_key_everywhere(c, region, entries):
    keys = [h.uuid7() for _ in range(5)]
    jobs = [(entry, key) for key in keys for entry in entries]
    replies = h.in_parallel(*[lambda j=job: region.book(*j, seconds=8) for job in jobs])
    for key in keys:
        own = [reply for (_, k), reply in zip(jobs, replies) if k == key]
        c.equal([h.outcome(r) for r in own], ["done"] * len(own), "one key through all zones")
        c.equal(len({r.body for r in own}), 1, "one answer for one key")
        c.equal(region.booked(key), 1, "one key through all zones: booked once")


def claim_without_majority(c, region, entry, other, failure):
    """The entry host fails while its claim waits for a majority: after the claim, before the send."""
    what = f"entry host {failure} with its claim on the way"
    key = h.uuid7()
    for control in region.controls[1:]:
        control.freeze()
    first = region.book(entry, key, seconds=1.0, timeout=4)
    c.check(h.outcome(first) in ("unknown", None), f"{what}: unknown without a majority", first)
    entry.kill() if failure == "kill" else entry.freeze()
    for control in region.controls[1:]:
        control.thaw()
    seen, reply = [], None
    for _ in range(5):
        reply = region.book(other, key, seconds=4)
        seen.append(h.outcome(reply))
        if seen[-1] in ("done", "not_run"):
            break
    if failure == "stop":
        entry.thaw()
    c.check(seen[-1] in ("done", "unknown", "not_run"), f"{what}: the repeat has an outcome", seen)
    booked = region.booked(key)
    c.check(booked <= 1, f"{what}: at most once", booked)
    c.check(booked == (1 if seen[-1] == "done" else 0), f"{what}: {seen} but booked {booked}")


def many_at_once(c, region, ledgers):
    """No engine serves here, and more bookings are in progress than one pipeline would allow.

    Guards against bookings that the capacity of the engines refuses."""
    keys = [h.uuid7() for _ in range(40)]
    for ledger in ledgers:
        ledger.fault("hold", moment="before")

    def release():
        try:
            h.wait_until(lambda: sum(l.counts()["held"] for l in ledgers) == len(keys), 5,
                         "all bookings are at the service at once")
        finally:
            for ledger in ledgers:
                ledger.fault("release")
    entry = region.entries[0]
    *replies, _ = h.in_parallel(*[lambda k=k: region.book(entry, k, seconds=10) for k in keys],
                                release)
    c.equal([h.outcome(reply) for reply in replies], ["done"] * len(keys), "many at once")
    c.equal([region.booked(key) for key in keys], [1] * len(keys), "many at once: booked once")


def service_rows(c, region, ledgers):
    entry, other = region.entries[0], region.entries[1]
    # Dies after it booked: the lookup at another replica finds the booking.
    key = h.uuid7()
    for ledger in ledgers[:2]:
        ledger.fault("hold", moment="after", key=key)
    ledgers[2].fault("hold", moment="after", key=key)

    def kill_holder():
        holder = h.wait_until(lambda: next((l for l in ledgers if any(
            e.get("event") == "held" and e.get("key") == key for e in list(l.events))), None), 5, key)
        holder.kill()
        return holder
    reply, dead = h.in_parallel(lambda: region.book(entry, key, seconds=4), kill_holder)
    c.equal(h.outcome(reply), "done", "replica killed after it booked: found by lookup")
    c.equal(region.booked(key), 1, "replica killed after it booked: booked once")
    left = [ledger for ledger in ledgers if ledger is not dead]
    # A dead replica that still counts as ready: no byte was sent, another replica takes the call.
    keys = [h.uuid7() for _ in range(6)]
    outcomes = [h.outcome(region.book(entry, k, seconds=4)) for k in keys]
    c.equal(outcomes, ["done"] * 6, "connection refused: another replica")
    c.equal([region.booked(k) for k in keys], [1] * 6, "connection refused: booked once")
    # Dies before it books: nothing can tell whether it ran.
    key = h.uuid7()
    for ledger in left:
        ledger.fault("die", moment="before", key=key)
    reply = region.book(entry, key, seconds=3)
    c.equal(h.outcome(reply), "unknown", "replica died before it booked")
    repeat = region.book(other, key, seconds=3)
    c.check(h.outcome(repeat) in ("unknown", "in_progress"), "and the repeat is not sent", repeat)
    c.equal(region.booked(key), 0, "replica died before it booked: none booked")
    # All replicas are dead: certainly not run, and never later.
    for ledger in left:
        ledger.kill()
    key = h.uuid7()
    reply = region.book(entry, key, seconds=3)
    c.equal((h.outcome(reply), reply and reply.status), ("not_run", 503), "no replica is left")
    fresh = region.service("ledger-9", announce=[e.http for e in region.entries[:1]],
                           extra=["--store", region.store])
    h.wait_until(lambda: h.outcome(region.book(entry, h.uuid7(), seconds=3)) == "done", 10,
                 "a new replica serves")
    c.equal(h.outcome(region.book(other, key, seconds=3)), "not_run", "not run stays not run")
    c.equal(region.booked(key), 0, "and never runs")
    del fresh


def no_lookup_row(c, region):
    """A service without a lookup: a broken call stays unknown and is never repeated."""
    entry, other = region.entries[0], region.entries[1]
    bare = region.service("bare-0", "bare", [region.entries[0].http], "dkr-a", ["--no-lookup"])
    spare = region.service("bare-1", "bare", [region.entries[0].http], "dkr-a", ["--no-lookup"])
    region.wait_ready([entry], model=False, service="bare")
    key = h.uuid7()
    for service in (bare, spare):
        service.fault("die", moment="after", key=key)
    outcomes = [h.outcome(region.book(e, key, seconds=2, service="bare")) for e in (entry, other, entry)]
    c.check(set(outcomes) <= {"unknown", "in_progress"}, "no lookup: stays unknown", outcomes)
    c.equal(sum(s.alive() for s in (bare, spare)), 1, "no lookup: sent to one replica only")


BASE = h.BASE + """
[[service]]
name = "bare"
"""


def run(c, build):
    with h.Region(build, entries=7, base=BASE) as region:
        ledgers = region.ledgers(3)
        region.wait_ready(model=False, service="ledger")
        same_key_everywhere(c, region, region.entries[:3])
        many_at_once(c, region, ledgers)
        before_claim(c, region, region.entries[0], region.entries[1], "stop")
        before_claim(c, region, region.entries.pop(), region.entries[1], "kill")
        rows = [(region.entries[1], "kill", "before"), (region.entries[2], "stop", "before"),
                (region.entries[3], "kill", "after"), (region.entries[4], "stop", "after")]
        h.in_parallel(*[lambda r=row: entry_row(c, region, ledgers, r[0], region.entries[0], *r[1:])
                        for row in rows])
        claim_without_majority(c, region, region.entries[2], region.entries[0], "stop")
        claim_without_majority(c, region, region.entries[4], region.entries[0], "kill")
        region.entries = [region.entries[0], region.entries[5]]
        no_lookup_row(c, region)
        service_rows(c, region, ledgers)


if __name__ == "__main__":
    h.main(run, __doc__)
