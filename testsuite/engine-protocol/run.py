"""Contract of fake-engine (docs/design.md 6.2).

Guards against a stand-in that hides faults of the router: one that computes a wrong answer, runs a
layer twice or skips one, keeps work after a hang-up, or accepts an order it has to refuse.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

LAYERS = 12
WHOLE = f"assistant:1::0-{LAYERS - 1}"


def tokens_of(events):
    return [event["token"] for event in events if "token" in event]


def answers(c, engines):
    """Whole answers over two and three stages, resumed ones and stopped ones."""
    a, b, d = engines
    chains = {"one stage": [(a, 0, 11)], "two stages": [(b, 0, 5), (d, 6, 11)],
              "three stages": [(b, 0, 3), (a, 4, 7), (d, 8, 11)]}
    for what, chain in chains.items():
        for prompt, limit, accepted in (("pall cloths", 6, 0), ("pall cloths", 6, 3), ("stop.", 400, 0)):
            request = f"{what} {prompt} {accepted}"
            tokens, texts, reason = h.expected(prompt, limit, LAYERS)
            body = h.generate_body(h.stages_of(*chain), prompt, limit, request,
                                   accepted=tokens[:accepted])
            events = h.Stream(chain[0][0].http, "/v1/pipeline/generate", body).rest()
            c.equal(tokens_of(events), tokens[accepted:], f"{request}: tokens")
            c.equal([e["text"] for e in events[:-1]], texts[accepted:], f"{request}: text")
            c.equal([e["index"] for e in events[:-1]], list(range(accepted, len(tokens))), request)
            c.equal((events[-1].get("finish_reason"), events[-1].get("count")),
                    (reason, len(tokens)), f"{request}: end")
            if not accepted:
                h.check_layer_runs(c, [e.counts() for e in engines], request, len(tokens), LAYERS,
                                   request)
    for engine in engines:
        c.equal(engine.counts()["active"], 0, f"{engine.name}: no work left")
        c.equal(engine.counts()["cancelled"], 0, f"{engine.name}: nothing cancelled")


def refusals(c, engines):
    a, b, d = engines
    good = [(b, 0, 5), (d, 6, 11)]
    table = [  # code, chain, fields
        ("layer_gap", [(b, 0, 4), (d, 6, 11)], {}),
        ("layer_gap", [(b, 1, 5), (d, 6, 11)], {}),
        ("layer_gap", [(b, 0, 5), (d, 6, 10)], {}),
        ("layer_repeated", [(b, 0, 5), (d, 5, 11)], {}),
        ("range_not_held", [(b, 0, 6), (d, 7, 11)], {}),
        ("model_not_held", good, {"version": "2"}),
        ("model_not_held", good, {"adapter": "x"}),
        ("stage_mismatch", [(a, 0, 5), (d, 6, 11)], {}),
    ]
    for number, (code, chain, fields) in enumerate(table):
        body = {**h.generate_body(h.stages_of(*chain), request_id=f"bad {number}"), **fields}
        events = h.Stream(b.http, "/v1/pipeline/generate", body).rest()
        c.equal([e.get("error", {}).get("code") for e in events], [code], f"refusal {number}")
    body = h.generate_body(h.stages_of(*good), request_id="twice")
    h.Stream(b.http, "/v1/pipeline/generate", body).rest()
    events = h.Stream(b.http, "/v1/pipeline/generate", body).rest()
    c.equal([e.get("error", {}).get("code") for e in events], ["attempt_repeated"], "same attempt")
    forward = {**h.generate_body(h.stages_of(*good), request_id="f"), "stage": 1, "hidden": "1",
               "ran": [[0, 5]]}
    for index, change, code in ((0, {}, None), (0, {}, "token_repeated"), (2, {}, "token_gap"),
                                (1, {"version": "2"}, "model_mixed"), (1, {}, None)):
        connection_body = {**forward, "index": index, **change}
        # One connection for each call would end the attempt, so they share one.
        reply = forward_on(d, connection_body)
        c.equal(reply.error().get("code"), code, f"forward of token {index} {change}")
    KEPT.clear()
    c.equal(h.call("POST", d.http, "/v1/pipeline/generate", b"{").status, 400, "malformed body")


KEPT = {}


def forward_on(engine, body):
    import http.client
    import json
    connection = KEPT.setdefault(engine.http, http.client.HTTPConnection(engine.http, timeout=5))
    connection.request("POST", "/v1/pipeline/forward", json.dumps(body))
    answer = connection.getresponse()
    return h.Reply(answer.status, answer.headers, answer.read())


def hang_up(c, bench):
    """A closed stream and a cancel free the work at every stage."""
    first = bench.engine("slow-0", ["assistant:1::0-5"], extra=["--layers-per-s", 60])
    second = bench.engine("slow-1", ["assistant:1::6-11"], extra=["--layers-per-s", 60])
    for way in ("closed stream", "cancel"):
        body = h.generate_body(h.stages_of((first, 0, 5), (second, 6, 11)), max_tokens=1000,
                               request_id=way)
        stream = h.Stream(first.http, "/v1/pipeline/generate", body)
        stream.next()
        if way == "cancel":
            h.call("POST", first.http, "/v1/pipeline/cancel", {"request_id": way, "attempt": 0})
        else:
            stream.close()
        for engine in (first, second):
            h.wait_until(lambda e=engine: e.counts()["active"] == 0, 2, f"{way}: work freed")
        before = second.counts()["tokens"]
        c.check(before < 50, f"{way}: the engine stopped early", before)
        stream.close()
    c.equal([e.counts()["cancelled"] for e in (first, second)], [2, 2], "cancelled attempts")


def faults(c, bench):
    chain = [bench.engine("f0", ["assistant:1::0-5"], extra=["--layers-per-s", 600]),
             bench.engine("f1", ["assistant:1::6-11"])]
    stages = h.stages_of((chain[0], 0, 5), (chain[1], 6, 11))
    tokens, _, _ = h.expected("p", 5, LAYERS)

    def start(request, limit=5):
        return h.Stream(chain[0].http, "/v1/pipeline/generate",
                        h.generate_body(stages, "p", limit, request), timeout=10)

    chain[0].fault("crossed", kind="request")
    right = [e for e in start("crossed").rest() if e["request_id"] == "crossed"]
    c.equal(tokens_of(right), tokens, "the right events are among the crossed ones")
    chain[0].fault("crossed", kind="double")
    c.equal([e["index"] for e in start("double").rest()[:-1]][:4], [-1, 0, 0, 1], "doubled indexes")
    chain[0].fault("none")
    chain[0].fault("late", delay_ms=300)
    begin = time.monotonic()
    events = start("late")
    c.equal(tokens_of(events.rest()), tokens, "late events")
    c.check(events.times[0] - begin >= 0.3, "they came late")
    chain[0].fault("none")
    stream = start("frozen", 1000)
    stream.next()
    chain[1].fault("freeze")
    h.wait_until(lambda: chain[0].counts()["runs"]["frozen"]["0"].keys() - {"0"}, 5, "one more")
    stream.close()
    h.wait_until(lambda: chain[0].counts()["active"] == 0, 3, "the first stage freed its work")
    chain[1].fault("none")
    stream = start("silent", 1000)
    stream.next()
    chain[0].fault("silent")
    stream.connection.sock and stream.connection.sock.settimeout(0.3)
    c.equal(tokens_of(start("new", 5).rest()), tokens, "a new connection works after silence")
    stream.close()
    chain[0].fault("leave")
    start("after leaving").rest()
    counts = chain[0].counts()
    c.check(len(counts["after_leaving"]) == 1 and counts["leaving_since_ms"] > 0, "counted", counts)
    chain[1].fault("die", after_tokens=3)
    events = start("dying", 100).rest()
    c.equal(events[-1].get("error", {}).get("code"), "stage_unreachable", "a dead stage is reported")
    c.equal(events[-1].get("error", {}).get("stage"), "f1", "and named")


def orders(c, bench):
    store = bench.start("fake-weight-store", "--bytes-per-s", 40000)
    checking = bench.engine("o0", extra=["--checks-fence", "--layer-bytes", 1000])
    trusting = bench.engine("o1", extra=["--layer-bytes", 1000, "--memory-bytes", 20000])
    hold = {"model": "assistant", "version": "1", "adapter": "", "first_layer": 0, "last_layer": 11}

    def order(engine, fence, **change):
        return h.call("POST", engine.http, "/v1/orders",
                      {"fence": fence, "order_id": str(fence), "weight_store": store.http,
                       "holdings": [{**hold, **change}]})

    c.equal(order(checking, 7).json(), {"accepted": True, "fence": 7}, "an order is accepted")
    old = order(checking, 6)
    c.equal((old.status, old.error().get("code"), old.json()["fence"]), (409, "stale_fence", 7),
            "an old fencing number is refused")
    c.equal([order(trusting, fence).status for fence in (7, 6)], [200, 200], "not checked")
    c.equal(order(trusting, 8, last_layer=20).error().get("code"), "out_of_memory", "memory")
    for engine in (checking, trusting):
        def loaded(e=engine):
            body = h.generate_body(h.stages_of((e, 0, 11)), "p", 2, f"try {time.monotonic()}")
            return tokens_of(h.Stream(e.http, "/v1/pipeline/generate", body).rest())
        c.equal(h.wait_until(loaded, 10, "weights loaded"), h.expected("p", 2, LAYERS)[0], "answer")
    c.equal(store.counts()["bytes"], 24000, "each layer was fetched once by each engine")
    c.equal([e.counts()["orders_refused"] for e in (checking, trusting)], [1, 1], "counted")


def run(checks, build):
    with h.Bench(build) as bench:
        extra = ["--model-layers", f"assistant:{LAYERS}"]
        engines = [bench.engine("e0", [WHOLE], extra=extra),
                   bench.engine("e1", ["assistant:1::0-5"], extra=extra),
                   bench.engine("e2", ["assistant:1::6-11"], extra=extra)]
        answers(checks, engines)
        refusals(checks, engines)
        hang_up(checks, bench)
        faults(checks, bench)
        orders(checks, bench)
        left = [process for process in bench.processes if process.alive()]
        checks.equal([process.stop() for process in left], [0] * 9, "graceful end")


if __name__ == "__main__":
    h.main(run, __doc__)
