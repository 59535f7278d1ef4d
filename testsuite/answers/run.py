"""Answers through each availability zone.

Guards against answers that are wrong, cut, or given to another caller, and layers that run twice
or never, with many callers at once, with and without stream, adapter and stop condition.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

CALLERS = 8


def run(c, build):
    with h.Region(build) as region:
        engines = []
        for zone, entry in zip(region.ZONES, region.entries):
            engines += region.zone_engines(zone, [entry], holds=(h.HOLD, "assistant:1:wolof:"))
        region.wait_ready()
        jobs = [(entry, f"caller {i} {ending}", 20, adapter) for entry in region.entries
                for i in range(CALLERS) for ending, adapter in (("asks", ""), ("stops.", "wolof"))]
        answers = h.in_parallel(*[lambda job=job: h.Answer(*job).read() for job in jobs])
        counts = [engine.counts() for engine in engines]
        for (entry, prompt, limit, adapter), answer in zip(jobs, answers):
            what = f"{entry.name}, {prompt}"
            answer.check(c, prompt, limit, what, adapter)
            number = len(h.expected(prompt, limit, h.LAYERS, adapter=adapter)[0])
            h.check_layer_runs(c, counts, answer.request_id, number, h.LAYERS, what)
        c.equal(len({a.request_id for a in answers}), len(answers), "each has its own request id")
        for entry in region.entries:
            _, texts, reason = h.expected("whole", 9, h.LAYERS)
            reply = region.complete(entry, "whole", 9, X_Request_Id=f"mine-{entry.name}")
            body = reply.json()
            c.equal((reply.status, reply.headers.get("X-Request-Id"), body.get("object"),
                     body.get("model"), body["choices"][0]["text"],
                     body["choices"][0]["finish_reason"]),
                    (200, f"mine-{entry.name}", "text_completion", "assistant", "".join(texts),
                     reason), f"{entry.name}: one JSON body")
        c.equal([e.counts()["active"] for e in engines], [0] * len(engines), "no work is left")
        c.equal([e.counts()["cancelled"] for e in engines], [0] * len(engines), "none was redone")


if __name__ == "__main__":
    h.main(run, __doc__)
