"""Contract of fake-service (docs/design.md 6.2).

Guards against a stand-in that hides a double booking: it has to book once for each call, count each
call by key, and keep its bookings through its own death at every moment of a booking.
"""

import pathlib
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402


def book(service, key, timeout=5):
    try:
        return h.call("POST", service.http, "/v1/bookings", {"cloth": 1}, {"Idempotency-Key": key},
                      timeout)
    except OSError:
        return None


def lookup(service, key):
    return h.call("GET", service.http, f"/v1/bookings/{key}")


def run(checks, build):
    c = checks
    with h.Bench(build) as bench:
        shared = ["--store", bench.folder / "bookings"]
        one, two = (bench.service(f"ledger-{i}", extra=shared) for i in range(2))
        reply = book(one, "k1")
        c.equal(reply.status, 201, "booked")
        c.equal(lookup(two, "k1").body, reply.body, "the lookup at another replica repeats it")
        c.equal(lookup(two, "k0").status, 404, "no booking")
        book(two, "k1")
        c.equal(two.counts()["bookings"], {"k1": 2}, "a duplicate call books twice")
        c.equal(h.call("GET", one.http, "/v1/stock/cloth").body,
                h.call("GET", two.http, "/v1/stock/cloth").body, "the same stock everywhere")
        for moment, key, count in (("before", "k2", 0), ("after", "k3", 1)):
            one.fault("hold", moment=moment)
            answers = []
            caller = threading.Thread(target=lambda k=key: answers.append(book(one, k)))
            caller.start()
            one.wait_event("held", 5, moment=moment, key=key)
            c.equal(two.counts()["bookings"].get(key, 0), count, f"held {moment} booking")
            one.fault("none")
            caller.join(5)
            c.equal([a.status for a in answers], [201], f"released {moment} booking")
        dying = [bench.service(f"dying-{moment}", extra=shared) for moment in ("before", "after")]
        for service, key, count in zip(dying, ("k4", "k5"), (0, 1)):
            service.fault("die", moment=service.name[6:])
            c.equal(book(service, key), None, f"{service.name}: no answer")
            c.equal(two.counts()["bookings"].get(key, 0), count, f"{service.name}: bookings")
        bare = bench.service("bare", extra=["--no-lookup"])
        book(bare, "k6")
        c.equal(lookup(bare, "k6").status, 404, "no lookup")
        bare.fault("refuse")
        c.equal(book(bare, "k7"), None, "connections are refused")
        c.equal(bare.stop(), 0, "graceful end")
        counts = bare.wait_event("stopped", 5)["counts"]
        c.equal(counts["calls"], {"k6": 1}, "counts are printed at the end")


if __name__ == "__main__":
    h.main(run, __doc__)
