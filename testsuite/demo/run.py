"""`make demo`: region dkr with three availability zones, an engine killed in mid-answer and a booking
repeated through another zone.

Guards against a build whose programs pass their unit tests but do not work together.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

LIMIT_S = 60
PROMPTS = ["When is the green pall free?", "Loan for Thiès on Friday", "Who holds cloth 12?",
           "Deposit of the Médina committee", "Return receipt for cloth 3", "Palls out at dawn"]


def run(c, build):
    begin = time.monotonic()

    def say(text):
        print(f"[{time.monotonic() - begin:5.1f} s] {text}", flush=True)

    with h.Region(build) as region:
        say("3 control hosts, 3 entry hosts; configuration revision "
            f"{region.revision(region.controls[0])} in force")
        engines = {zone: region.zone_engines(zone, [entry], layers_per_s=600)
                   for zone, entry in zip(region.ZONES, region.entries)}
        ledgers = region.ledgers()
        region.wait_ready(service="ledger")
        everything = [engine for group in engines.values() for engine in group]
        say(f"{len(everything)} engines in 2 chains for each zone and {len(ledgers)} ledger "
            "replicas announced")

        answers = h.in_parallel(*[
            lambda i=i, p=prompt: h.Answer(region.entries[i % 3], p, 12).read()
            for i, prompt in enumerate(PROMPTS)])
        for prompt, answer in zip(PROMPTS, answers):
            answer.check(c, prompt, 12, prompt)
        say(f"{len(answers)} prompts answered through 3 zones, first: {''.join(answers[0].texts)}")

        prompt = "A long list of loans"
        answer = h.Answer(region.entries[0], prompt, 60)
        for _ in range(10):
            answer.take()
        victim = h.wait_until(lambda: next((e for e in engines["dkr-a"] if e.alive() and
                                            e.counts()["active"]), None), 5, "a busy engine")
        survivors = [engine for engine in everything if engine is not victim]
        lost = victim.counts()
        victim.kill()
        answer.read().check(c, prompt, 60, "engine killed in mid-answer")
        say(f"{victim.name} killed after {sum(map(len, lost['runs'][answer.request_id].values()))} "
            f"tokens; answer complete, longest pause {answer.longest_pause() * 1000:.0f} ms")
        counts = [engine.counts() for engine in survivors]
        for text, done, number in [*((p, a, 12) for p, a in zip(PROMPTS, answers)),
                                   (prompt, answer, 60)]:
            h.check_layer_runs(c, [*counts, lost], done.request_id, number, h.LAYERS, text)
        say("each token of each answer ran every layer once")

        keys = [h.uuid7() for _ in range(3)]
        replies = [region.book(entry, key) for entry, key in zip(region.entries, keys)]
        c.equal([h.outcome(r) for r in replies], ["done"] * 3, "bookings")
        again = region.book(region.entries[2], keys[0])
        c.equal((h.outcome(again), again.headers.get("Corneltray-Replayed"), again.body),
                ("done", "true", replies[0].body), "the repeat has the first answer")
        c.equal([region.booked(key) for key in keys], [1, 1, 1], "each key was booked once")
        say("3 bookings, one repeated through another zone: booked once for each key")

        # Callers and upstreams go last, so that nothing is in progress when control stops.
        stopping = [*region.entries, *survivors, *ledgers, *region.controls]
        for group in (region.entries, survivors, ledgers, region.controls):
            statuses = h.in_parallel(*[process.stop for process in group])
            c.equal(statuses, [0] * len(group), f"{group[0].name} and its kind exit with 0")
        say(f"{len(stopping)} processes stopped with status 0")
    c.check(time.monotonic() - begin < LIMIT_S, f"under {LIMIT_S} s")


if __name__ == "__main__":
    h.main(run, __doc__)
