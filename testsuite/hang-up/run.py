"""A caller that hangs up.

Guards against engines that go on computing for callers who have left: capacity is lost to nobody
exactly when the site is overloaded.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

FREED_S = 2.0  # the progress deadline of 0.5 s and the notification of each stage, with room
CALLERS = 6


def run(c, build):
    with h.Region(build, entries=1) as region:
        entry = region.entries[0]
        engines = region.zone_engines("dkr-a", [entry], layers_per_s=1200)
        region.wait_ready()

        def active():
            return sum(engine.counts()["active"] for engine in engines)

        answers = [h.Answer(entry, f"caller {i}", 1000) for i in range(CALLERS)]
        for answer in answers:
            c.check(answer.take(), "the answer has begun")
        stages = active()
        c.check(stages >= 2 * CALLERS, "each answer has two stages or more", stages)
        for answer in answers:
            answer.stream.close()
        h.wait_until(lambda: active() == 0, FREED_S, "all stages freed after the hang-up")
        c.equal(sum(e.counts()["cancelled"] for e in engines), stages, "all were cancelled")
        before = sum(e.counts()["layers_run"] for e in engines)
        answer = h.Answer(entry, "next caller", 10).read()
        answer.check(c, "next caller", 10, "the next caller")
        c.equal(sum(e.counts()["layers_run"] for e in engines) - before, 10 * h.LAYERS,
                "nothing else ran")
        # A caller of one JSON body hangs up as well.
        import http.client
        import json
        connection = http.client.HTTPConnection(entry.http, timeout=5)
        connection.request("POST", "/v1/completions", json.dumps(
            {"model": h.MODEL, "prompt": "left", "max_tokens": 1000}),
            {"Content-Type": "application/json", **h.auth()})
        h.wait_until(lambda: active() >= 2, 5, "the request runs")
        connection.close()
        h.wait_until(lambda: active() == 0, FREED_S, "freed without a stream")


if __name__ == "__main__":
    h.main(run, __doc__)
