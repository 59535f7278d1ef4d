"""The placement of layers on engines that start empty.

Guards against a zone that nobody orders to load, a lost engine that is not replaced, orders under an
old fencing number after a change of the holder, and a planned stop that keeps the lease.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

ZONE = "dkr-a"
ENGINES = 8
VOTERS = [f"placement-{i}" for i in range(3)]


def more(store):
    names = ", ".join(f'"{name}"' for name in VOTERS)
    return f'[placement]\nlease_voters = [{names}]\nweight_store = "{store.http}"\n'


def status(process):
    return h.call("GET", process.http, "/v1/status", timeout=2).json()


def holder_of(processes):
    return next((p for p in processes if p.alive() and status(p)["holds_lease"]), None)


def run(c, build):
    with h.Region(build, entries=1) as region:
        entry = region.entries[0]
        store = region.start("fake-weight-store", "--layer-bytes", 1000)
        placements = [region.launch("corneltray-placement", name, ZONE, more=more(store))
                      for name in VOTERS]
        engines = [region.engine(
            f"engine-{i}", zone=ZONE, announce=[p.http for p in placements] + [entry.http],
            extra=["--memory-bytes", 10_000, "--layer-bytes", 1000, "--layers-per-s", 2400,
                   "--link-mbps", 1000, *(["--checks-fence"] if i % 2 else [])])
                   for i in range(ENGINES)]
        begin = time.monotonic()

        def answers(prompt):
            try:
                answer = h.Answer(entry, prompt, 5, timeout=5).read()
            except OSError:
                return False
            texts = "".join(h.expected(prompt, 5, h.LAYERS)[1])
            return answer.status == 200 and "".join(answer.texts) == texts

        h.wait_until(lambda: answers("first"), 40, "an answer from engines that started empty")
        print(f"served {time.monotonic() - begin:.1f} s after the start of the engines")
        first = h.wait_until(lambda: holder_of(placements), 5, "a holder of the lease")
        h.wait_until(lambda: status(first)["agrees"], 20, "the plan agrees with the announcements")
        before = status(first)
        c.equal(len(before["plan"]), ENGINES, "every engine has a range")

        # A holder that dies: the successor has a greater fence and finds nothing to load.
        accepted = sum(e.counts()["orders_accepted"] for e in engines)
        begin = time.monotonic()
        first.kill()
        rest = [p for p in placements if p is not first]
        second = h.wait_until(lambda: holder_of(rest), 10, "a successor")
        print(f"new holder {time.monotonic() - begin:.1f} s after the loss of the old one")
        h.wait_until(lambda: status(second)["agrees"], 15, "the successor's plan agrees")
        c.check(status(second)["fence"] > before["fence"], "its fence is greater")
        c.equal(sum(e.counts()["orders_accepted"] for e in engines), accepted, "nothing is reloaded")
        c.check(answers("second"), "the zone serves")

        # An engine that dies: its layers are served again.
        lost = engines.pop(0)
        begin = time.monotonic()
        lost.kill()
        h.wait_until(lambda: lost.name not in status(second)["plan"], 20, "a plan without it")
        h.wait_until(lambda: status(second)["agrees"] and answers("third"), 20, "served again")
        print(f"plan agrees and serves {time.monotonic() - begin:.1f} s after the loss of an engine")

        # A holder that is frozen over the end of its lease sends nothing under its old fence.
        placements = [p for p in rest if p is not second] + [region.restart(first)]
        second.freeze()
        third = h.wait_until(lambda: holder_of(placements), 15, "a holder beside the frozen one")
        fence = status(third)["fence"]
        seen = len(second.events)
        second.thaw()
        second.wait_event("lease_lost", 5, since=0)
        h.wait_until(lambda: status(third)["agrees"], 15, "the plan agrees")
        c.check(not any(e.get("event") == "order_accepted" for e in second.events[seen:]),
                "no order under the old fence")
        c.check(fence > before["fence"], "the fence grew")

        # A planned stop releases the lease.
        begin = time.monotonic()
        c.equal(third.stop(), 0, "exit status after SIGTERM")
        left = [p for p in [*placements, second] if p is not third]
        h.wait_until(lambda: holder_of(left), 10, "a holder after the stop")
        print(f"new holder {time.monotonic() - begin:.1f} s after a planned stop")
        c.check(answers("last"), "the zone serves")


if __name__ == "__main__":
    h.main(run, __doc__)
