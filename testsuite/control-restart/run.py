"""All control hosts are killed at once in the middle of many changes, several times.

Guards against a change that was accepted and is lost, a change that is applied twice, and a revision
that goes back after a restart, and against a restart that does not recover hundreds of changes.
"""

import pathlib
import random
import sys
import threading
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

SEED = 20261204
ROUNDS = 3
OPERATORS = 3
CHANGES_BEFORE_KILL = 120  # in each round, by all operators together
RECOVERY_S = 14.0  # bound until every control host has recovered all changes


class Operator(threading.Thread):
    """Applies changes through one control host until it stops answering."""

    def __init__(self, region, process, accepted, number):
        super().__init__(daemon=True)
        self.region, self.process, self.accepted, self.number = region, process, accepted, number
        self.uncertain = []  # change ids without a reply

    def run(self):
        while True:
            revision = self.region.revision(self.process)
            change_id = str(uuid.uuid4())
            text = h.BASE + f"[limits]\nmax_body_bytes = {20000 + revision}\n"
            try:
                reply = self.region.change(self.process, revision, text, change_id=change_id)
            except (OSError, h.http.client.HTTPException):
                self.uncertain.append(change_id)
                return
            if reply.status == 200:
                self.accepted[change_id] = reply.json()["revision"]
            elif reply.status != 409:
                self.uncertain.append(change_id)


def run(c, build):
    print(f"seed {SEED}")
    rng = random.Random(SEED)
    with h.Region(build, entries=0) as region:
        accepted, uncertain = {}, []
        for round_number in range(ROUNDS):
            operators = [Operator(region, p, accepted, n) for n, p in enumerate(region.controls[:OPERATORS])]
            start = len(accepted)
            for operator in operators:
                operator.start()
            h.wait_until(lambda: len(accepted) - start >= CHANGES_BEFORE_KILL, 60, "changes")
            order = list(region.controls)
            rng.shuffle(order)
            for process in order:
                process.kill()
            for operator in operators:
                operator.join(30)
                uncertain += operator.uncertain
            highest = max(accepted.values())
            begin = time.monotonic()
            for process in order:
                region.restart(process)
            h.wait_until(lambda: all(region.revision(p) >= highest for p in region.controls), RECOVERY_S,
                         f"revision {highest} at every control host")
            print(f"round {round_number}: {len(accepted)} changes accepted, recovered after "
                  f"{time.monotonic() - begin:.2f} s")
            reply = region.admin("GET", region.controls[0], "history?limit=1000")
            rows = {row["change_id"]: row["revision"] for row in reply.json()["changes"]}
            c.equal({i: rows.get(i) for i in accepted}, accepted, "each accepted change has its revision")
            c.equal(sorted(rows.values()), list(range(1, len(rows) + 1)), "revisions without a gap")
            unexplained = set(rows) - set(accepted) - set(uncertain)
            c.check(len(unexplained) <= 1, "no change appears from nowhere but the first", unexplained)
        c.check(len(accepted) >= ROUNDS * CHANGES_BEFORE_KILL, "hundreds of changes", len(accepted))
        for process in region.controls:
            c.equal(process.stop(), 0, f"{process.name} ends with 0 on SIGTERM")


if __name__ == "__main__":
    h.main(run, __doc__)
