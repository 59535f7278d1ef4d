"""Late events, events of another request or attempt, and doubled indexes.

Guards against a token that belongs to another answer, or that comes twice, reaching a caller.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

COUNT = 20
TABLE = [("crossed", {"kind": "request"}), ("crossed", {"kind": "attempt"}),
         ("crossed", {"kind": "double"}), ("late", {"delay_ms": 300}), ("late", {"delay_ms": 800})]


def run(c, build):
    with h.Region(build, entries=1) as region:
        entry = region.entries[0]
        engines = region.zone_engines("dkr-a", [entry], layers_per_s=2400)
        region.wait_ready()
        for fault, fields in TABLE:
            what = f"{fault} {fields}"
            # One chain stays right, so that an answer is possible whatever the router rejects.
            faulty = engines[0]
            faulty.fault(fault, **fields)
            prompts = [f"{what} {i}" for i in range(6)]
            answers = h.in_parallel(*[lambda p=p: h.Answer(entry, p, COUNT).read() for p in prompts])
            for prompt, answer in zip(prompts, answers):
                answer.check(c, prompt, COUNT, prompt)
                h.check_layer_runs(c, [e.counts() for e in engines], answer.request_id, COUNT,
                                   h.LAYERS, prompt)
            faulty.fault("none")
        # A whole stream is late: it begins after the answer has moved to another chain.
        engines[0].fault("late", delay_ms=700)
        engines[2].fault("late", delay_ms=700)
        answer = h.Answer(entry, "all late", COUNT).read()
        answer.check(c, "all late", COUNT, "every chain is late")


if __name__ == "__main__":
    h.main(run, __doc__)
