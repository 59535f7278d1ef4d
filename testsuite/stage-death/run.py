"""A stage fails in the middle of an answer: killed, frozen or silent, first or last, and twice.

Guards against answers with a wrong, lost or repeated token after a failure, against a pause over the
bound for recovery (docs/design.md 7), and against a cut answer that is presented as complete.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

EXTRA_S = 1.0  # a failure adds a pause of under 1 s
COUNT = 100  # 1 s at the pace of the engines, so that the failure falls into the answer
CHAINS = (("0-5", "6-11"),) * 4
TABLE = [  # failure, stage
    ("kill", 0), ("kill", 1), ("freeze", 0), ("freeze", 1), ("silent", 0), ("silent", 1), ("stop", 1),
]


def break_stage(engine, failure):
    if failure == "kill":
        engine.kill()
    elif failure == "stop":
        engine.freeze()
    else:
        engine.fault(failure)


def repair(engine, failure):
    """Brings the group back to its size for the next row."""
    if failure == "stop":
        engine.thaw()
    elif failure == "freeze":
        engine.fault("none")


def run(c, build):
    with h.Region(build, entries=1) as region:
        entry = region.entries[0]
        engines = region.zone_engines("dkr-a", [entry], CHAINS, layers_per_s=1200)
        region.wait_ready()
        for row, (failure, stage) in enumerate(TABLE):
            what = f"{failure} of stage {stage}"
            prompt = f"prompt {row}"
            answer = h.Answer(entry, prompt, COUNT)
            for _ in range(5):
                answer.take()
            victim = next(e for e in engines if e.alive() and e.name.endswith(f"stage{stage}")
                          and e.counts()["runs"].get(answer.request_id))
            break_stage(victim, failure)
            answer.read().check(c, prompt, COUNT, what)
            c.check(answer.longest_pause() < EXTRA_S, f"{what}: under {EXTRA_S} s extra",
                    f"{answer.longest_pause():.2f} s")
            print(f"{what}: longest pause {answer.longest_pause() * 1000:.0f} ms")
            repair(victim, failure)
            counts = [e.counts() for e in engines if e.alive()]
            if failure != "kill":  # the counts of a killed engine are gone
                h.check_layer_runs(c, counts, answer.request_id, COUNT, h.LAYERS, what)
        # Two failures in one answer.
        answer = h.Answer(entry, "twice", COUNT)
        for _ in range(2):
            answer.take()
            # Between two attempts no engine is active.
            h.wait_until(lambda: next((e for e in engines if e.alive() and e.counts()["active"]),
                                      None), 5, "a busy engine").kill()
        answer.read().check(c, "twice", COUNT, "two failures in one answer")
        # No chain is left.
        answer = h.Answer(entry, "cut", 1000, **h.deadline(5))
        answer.take()
        for engine in engines:
            engine.kill()
        answer.read()
        c.equal((answer.is_done, answer.finish_reason, (answer.error or {}).get("code")),
                (False, None, "upstream_failed"), "a cut answer is reported, not ended")
        _, texts, _ = h.expected("cut", len(answer.texts), h.LAYERS)
        c.equal(answer.texts, texts, "and what came of it was right")


if __name__ == "__main__":
    h.main(run, __doc__)
