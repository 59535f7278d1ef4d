"""A customer's rate over the entry hosts of one availability zone (docs/design.md 5.10).

Guards against a customer that is refused below its rate because its callers were seen at another
entry host first, and against one that gets more than its rate by calling every host.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

RATE, BURST = 100, 150
LOAD_S, MAX_LOAD_S = 3, 30
GOSSIP_S = 3  # heartbeats carry the demand every second
KEY = "customer-with-a-known-rate"
BASE = h.BASE + f"""
[[customer]]
name = "known"
key = "{KEY}"
requests_per_s = {RATE}.0
burst = {BURST}.0
"""


def run(c, build):
    with h.Region(build, entries=0, base=BASE) as region:
        region.entries = [region.entry(i, "dkr-a") for i in range(3)]
        region.service("ledger-0", announce=[region.entries[0].http])
        region.wait_ready(model=False, service="ledger")

        def status(entry):
            return h.call("GET", entry.http, "/v1/services/ledger/v1/stock/x", None,
                          {"Authorization": f"Bearer {KEY}"}).status

        # A few calls a second at one host, until its demand has reached the others.
        seen = region.entries[0]
        calls = []

        def few_calls():
            if time.monotonic() - (calls[-1] if calls else 0) > 0.2:
                c.equal(status(seen), 200, "a call at one host")
                calls.append(time.monotonic())
            return calls[-1] - calls[0] >= GOSSIP_S
        h.wait_until(few_calls, GOSSIP_S + 5, "calls over some intervals of gossip")
        # 30 calls at another host are a fifth of the burst and fewer than its equal part of it.
        statuses = h.in_parallel(*[lambda: status(region.entries[1])] * 30)
        c.equal(statuses.count(200), 30, "a customer below its rate is not refused")

        # All hosts at once, above the rate. On a busy machine it takes longer to exceed the burst.
        begin, admitted, offered = time.monotonic(), 0, 0

        def goes_on():
            took = time.monotonic() - begin
            return took < LOAD_S or (offered <= BURST + RATE * took and took < MAX_LOAD_S)
        while goes_on():
            found = h.in_parallel(*[lambda e=e: status(e) for e in region.entries * 6])
            offered += len(found)
            admitted += found.count(200)
        took = time.monotonic() - begin
        most = BURST + RATE * took
        print(f"offered {offered / took:.0f}/s, admitted {admitted} of at most {most:.0f}")
        c.check(offered > most, "the load is above the rate", offered)
        c.check(admitted <= most, "never more than burst and rate", f"{admitted} > {most:.0f}")


if __name__ == "__main__":
    h.main(run, __doc__)
