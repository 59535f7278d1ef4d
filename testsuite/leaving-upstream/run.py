"""An upstream that is leaving.

Guards against new work on an engine or service replica after it has said that it leaves, heard
by one entry host and used by all of its zone, and against cutting off the work it already has.
"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

LIMIT_S = 3.0   # new work may still arrive for this long after the announcement
WATCH_S = 2.0   # how long the load goes on after the limit


def run(c, build):
    with h.Region(build, entries=0) as region:
        region.entries = [region.entry(i, "dkr-a") for i in range(3)]
        # Each upstream first announces to one entry host; the others learn of it by gossip.
        engines = region.zone_engines("dkr-a", region.entries[:1], layers_per_s=2400)
        ledgers = [region.service(f"ledger-{i}", announce=[region.entries[0].http],
                                  extra=["--store", region.store]) for i in range(3)]
        region.wait_ready(service="ledger")
        ending, failures, views = threading.Event(), [], []

        def fail(entry, what):
            if not failures:  # what the entry host believed, for the report
                views.append(h.call("GET", entry.http, "/v1/status").body.decode())
            failures.append(what)

        def load(entry, number):
            count = 0
            while not ending.is_set():
                count += 1
                prompt = f"load {number} {count}"
                answer = h.Answer(entry, prompt, 5).read()
                if "".join(answer.texts) != "".join(h.expected(prompt, 5, h.LAYERS)[1]):
                    fail(entry, (entry.name, prompt, answer.error))
                for reply in (region.stock(entry, "cloth"), region.book(entry, h.uuid7())):
                    if h.outcome(reply) != "done":
                        fail(entry, (entry.name, reply))

        threads = [threading.Thread(target=load, args=(entry, i))
                   for i, entry in enumerate(region.entries * 2)]
        for thread in threads:
            thread.start()
        long_answer = h.Answer(region.entries[0], "long", 600)
        long_answer.take()
        leaving = [next(e for e in engines if e.counts()["runs"].get(long_answer.request_id)),
                   ledgers[0]]
        for process in leaving:
            process.fault("leave")
        end = time.monotonic() + LIMIT_S + WATCH_S
        h.wait_until(lambda: time.monotonic() >= end, LIMIT_S + WATCH_S + 5, "load after leaving")
        ending.set()
        for thread in threads:
            thread.join(20)
        for process in leaving:
            counts = process.counts()
            since = counts["leaving_since_ms"]
            late = [ms - since for ms in counts["after_leaving"] if ms - since > LIMIT_S * 1000]
            c.equal(late, [], f"{process.name}: new work later than {LIMIT_S} s (ms)")
            c.check(since > 0, f"{process.name} was leaving")
            print(f"{process.name}: last new work "
                  f"{max(counts['after_leaving'], default=since) - since} ms after leaving")
        c.equal(failures[:3], [], f"no caller noticed ({len(failures)} failures)") or print(views)
        long_answer.read().check(c, "long", 600, "the answer in progress")
        c.equal(leaving[0].counts()["cancelled"], 0, "its running work finished there")


if __name__ == "__main__":
    h.main(run, __doc__)
