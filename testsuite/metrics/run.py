"""The metrics that the programs expose, against docs/metrics.md.

Guards against a metric that an operator cannot look up, and a page that names one nobody exposes.
"""

import pathlib
import re
import sys

TOP = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(TOP / "testsuite"))
import harness as h  # noqa: E402

# Appear with their first event, and these events do not occur here.
RARE = {"corneltray_resumes_total", "corneltray_discarded_events_total",
        "corneltray_booking_connects_failed_total", "corneltray_lookup_failures_total",
        "corneltray_refusals_total"}


def documented():
    """Returns the names on the page by the title of their section."""
    page = (TOP / "docs" / "metrics.md").read_text()
    sections = re.split(r"^## ", page, flags=re.MULTILINE)[1:]
    return {s.splitlines()[0]: set(re.findall(r"^\| `(corneltray_\w+)`", s, re.MULTILINE))
            for s in sections}


def exposed(process):
    text = h.call("GET", process.http, "/metrics").body.decode()
    return set(re.findall(r"^# TYPE (corneltray_\w+) ", text, re.MULTILINE))


def run(c, build):
    with h.Region(build, entries=1) as region:
        entry = region.entries[0]
        region.zone_engines("dkr-a", [entry])
        region.ledgers(1)
        region.wait_ready()
        region.wait_ready(model=False, service="ledger")
        h.Answer(entry, "a prompt", 5).read()
        region.book(entry, h.uuid7())
        page = documented()
        c.equal(exposed(entry) | RARE, page["Entry process"] | page["Both"], "entry process")
        c.equal(exposed(region.controls[0]), page["Control process"] | page["Both"],
                "control process")


if __name__ == "__main__":
    h.main(run, __doc__)
