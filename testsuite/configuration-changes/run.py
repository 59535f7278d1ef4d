"""Changes of the configuration by several operators, over restarts and hundreds of changes.

Guards against two changes that overwrite each other, a resent change that applies twice, and a change
that was accepted but is lost, comes late or reverts at some host.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402

IN_FORCE_S = 14.0  # bound until an accepted change is in force at every host
CHANGES = 300


def text(number):
    return h.BASE + f"[limits]\nmax_body_bytes = {20000 + number}\n"


def run(c, build):
    with h.Region(build) as region:
        everyone = lambda: [*region.controls, *region.entries]  # noqa: E731
        current = region.revision(region.controls[0])
        c.equal(current, 1, "the first change has revision 1")

        # Two operators with equal revision numbers, through different hosts.
        for round_number in range(5):
            replies = h.in_parallel(*[
                lambda p=p, n=n: region.change(p, current, text(n))
                for n, p in enumerate((region.controls[0], region.entries[2]))])
            accepted = [r for r in replies if r.status == 200]
            refused = [r for r in replies if r.status != 200]
            c.equal(len(accepted), 1, f"round {round_number}: one of two changes is accepted")
            c.equal([r.error().get("code") for r in refused], ["revision_conflict"], "the other is told")
            current += 1
            c.equal([r.json().get("revision") for r in accepted], [current], "the next revision")

        # A resend with the same change id, after the reply was lost, through another host.
        first = region.change(region.controls[1], current, text(50), change_id="resent")
        region.change(region.controls[1], current + 1, text(51))
        second = region.change(region.entries[0], current, text(50), change_id="resent")
        c.equal((second.status, second.json().get("revision")), (200, first.json().get("revision")),
                "a resend gets the first answer")
        current += 2
        c.equal(region.revision(region.controls[1]), current, "and applies nothing")

        bad = region.change(region.controls[0], current, h.BASE + "[limit]\nx = 1\n")
        c.check(bad.status == 400 and "limit" in bad.body.decode(), "a mistake is named", bad)
        c.equal(region.admin("GET", region.controls[0], "history").status, 200, "history")
        wrong = h.call("POST", region.controls[0].http, "/admin/v1/configuration", {},
                       {"Authorization": "Bearer not-the-operator"})
        c.equal(wrong.status, 401, "only operators")

        begin = time.monotonic()
        for number in range(CHANGES):
            reply = region.change(region.controls[number % 3], current, text(number))
            if not c.check(reply.status == 200, f"change {number}", reply):
                break
            current += 1
        print(f"{CHANGES} changes in {time.monotonic() - begin:.1f} s")
        accepted_at = time.monotonic()
        h.wait_until(lambda: all(region.revision(p) == current for p in everyone()), IN_FORCE_S,
                     f"revision {current} in force everywhere")
        print(f"in force everywhere after {time.monotonic() - accepted_at:.2f} s")

        # All processes are lost at once and start again.
        for process in everyone():
            process.kill()
        for control in list(region.controls):
            region.restart(control)
        entry = region.restart(region.entries[0])
        seen = set()

        def recovered():
            replies = [region.admin("GET", p, "configuration") for p in (*region.controls, entry)]
            seen.update(r.json().get("revision") for r in replies if r.status == 200)
            return all(r.status == 200 and r.json().get("revision") == current for r in replies)
        try:
            h.wait_until(recovered, IN_FORCE_S, "all changes recovered")
        except h.Timeout as late:
            c.check(False, str(late))
        c.equal(seen, {current}, "no host shows an older revision after the restart")
        document = region.admin("GET", entry, "configuration").json()
        c.equal(document.get("base"), text(CHANGES - 1), "the last document")

        # An entry host that starts while control is slow never serves an older revision.
        reply = region.change(region.controls[2], current, text(999))
        c.equal(reply.status, 200, "a change after the restart")
        late = region.restart(region.entries[1])
        h.wait_until(lambda: h.call("GET", late.http, "/readyz").status == 200, 10, "ready")
        c.equal(region.revision(late), current + 1, "a ready host has the newest revision")


if __name__ == "__main__":
    h.main(run, __doc__)
