"""Planned stop of an entry host and of a control host.

Guards against a stop that cuts off a request in progress, that keeps a host in the balancer, or
that never ends.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

COUNT = 120
GRACE_MS = 500


def status_of(entry, path):
    try:
        return h.call("GET", entry.http, path, timeout=3).status
    except OSError:
        return None


def run(c, build):
    import signal
    with h.Region(build, entries=0, drain_grace_ms=GRACE_MS) as region:
        region.entries = [region.entry(i, "dkr-a") for i in range(2)]
        region.zone_engines("dkr-a", region.entries, layers_per_s=1800)
        ledgers = region.ledgers(1)
        region.wait_ready(service="ledger")
        leaving, staying = region.entries
        answers = [h.Answer(leaving, f"stream {i}", COUNT) for i in range(4)]
        for answer in answers:
            answer.take()
        key = h.uuid7()
        ledgers[0].fault("hold", moment="before", key=key)

        def booking():
            return region.book(leaving, key, seconds=10)

        def stop():
            ledgers[0].wait_event("held", 5, key=key)
            leaving.send(signal.SIGTERM)
            h.wait_until(lambda: status_of(leaving, "/readyz") in (503, None), 2, "not ready")
            # A new request during the balancer's grace period still gets an answer.
            first = h.Answer(leaving, "in the grace period", 3).read()
            h.wait_until(lambda: status_of(leaving, "/healthz") is None, 10, "new connections refused")
            c.check(leaving.alive(), "the host stays for its requests in progress")
            ledgers[0].fault("release", key=key)
            return first

        reply, first, *_ = h.in_parallel(booking, stop, *[answer.read for answer in answers])
        c.equal(h.outcome(reply), "done", "the booking in progress")
        first.check(c, "in the grace period", 3, "a request in the grace period")
        for i, answer in enumerate(answers):
            answer.check(c, f"stream {i}", COUNT, f"stream {i} over the stop")
        c.equal(leaving.popen.wait(20), 0, "exit status")
        h.Answer(staying, "after", 3).read().check(c, "after", 3, "the other host")
        c.equal(h.outcome(region.book(staying, key)), "done", "the booking is known elsewhere")
        # Control hosts stop one after the other; a booking succeeds after each restart.
        for control in list(region.controls):
            c.equal(control.stop(), 0, f"{control.name}: exit status")
            c.equal(h.outcome(region.book(staying, h.uuid7(), seconds=5)), "done",
                    f"a booking without {control.name}")
            region.restart(control)


if __name__ == "__main__":
    h.main(run, __doc__)
