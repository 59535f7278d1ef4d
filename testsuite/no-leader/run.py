"""Why a region has no leader of its replicated log, told by the log lines and metrics alone.

Guards against a control process whose lines do not tell a lost disk, a host that never started, an
interrupted creation of the data folder and a lost log apart.
"""

import pathlib
import re
import shutil
import sys

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import Platform  # noqa: E402

CONTROLS = [1, 2, 3]
# kNoLeaderReportInterval and time for a host that starts or is busy.
REPORT_INTERVAL_S = 5
REPORTED_WITHIN_S = 12
# The platform's bound for service after losses (recover_s).
LEADER_WITHIN_S = 12

DISK_LOST = "disk lost"
NOT_RUNNING = "not running"
CREATION_INTERRUPTED = "creation interrupted"


def replica(number):
    return f"127.0.0.{number}"


class Lines:
    """The lines of all control processes of a region, as an operator collects them."""

    def __init__(self, platform):
        self.by_process = [list(process.events) for process in platform.processes]

    def last(self, event):
        """Returns the last line of this event by replica."""
        return {line["replica"]: line for lines in self.by_process for line in lines
                if line.get("event") == event}

    def had_log(self):
        """Whether the replicated log was created before the last lines."""
        lines = [*self.last("data_folder_opened").values(), *self.last("no_leader").values()]
        return any(line["last_index"] > 0 for line in lines)

    def expected_disks(self):
        """Returns the disks that vote, as pairs of host and disk identity; the identity is empty for
        a disk that was formatted for the first start and is not known yet."""
        reports = [line for line in self.last("no_leader").values() if line["members"]]
        if reports:
            latest = max(reports, key=lambda line: line["last_index"])
            return {(m["host"], m["disk_identity"]) for m in latest["members"]}
        return {(host, "") for line in self.last("data_folder_opened").values()
                for host in line["founding_hosts"]}

    def causes(self):
        """Returns why hosts are missing: pairs of replica and cause."""
        opened = self.last("data_folder_opened")
        found = set()
        for host, identity in self.expected_disks():
            folder = opened.get(host)
            if folder is None:
                found.add((host, NOT_RUNNING))
            elif "completed" in folder["origin"]:
                found.add((host, CREATION_INTERRUPTED))
            elif identity != folder["disk_identity"] and (identity or not folder["founding_hosts"]):
                found.add((host, DISK_LOST))
        return found


def links(report):
    return {member["host"]: member["link"] for member in report["members"]}


def metric(control, name):
    text = h.call("GET", control.http, "/metrics").body.decode()
    found = re.search(rf"^corneltray_control_{re.escape(name)} (\d+)$", text, re.MULTILINE)
    return int(found.group(1)) if found else None


def lose_disk(platform, control, number):
    control.kill()
    shutil.rmtree(platform.folder / f"core-{number}" / "data")


def start_and_lose_disk(platform, number):
    lose_disk(platform, platform.control(number), number)


def check_folder_is_told_first(c, platform, what):
    for process in platform.processes:
        if process.alive():  # one that was killed may not have come to its role
            process.wait_event("role_changed")
        events = [line["event"] for line in list(process.events)]
        c.equal(events.count("data_folder_opened"), 1,
                f"{what}: {process.name} tells what its disk holds once")
        if process.alive():
            c.check("data_folder_opened" in events[:events.index("role_changed")],
                    f"{what}: {process.name} tells it before its role")


def wait_leader_known(controls):
    for control in controls:
        control.wait_event("leader_known", LEADER_WITHIN_S)


def one_lost_disk(c, platform):
    what = "one disk lost before the log exists"
    start_and_lose_disk(platform, 1)
    controls = [platform.control(number, bootstrap="false" if number == 1 else "true")
                for number in CONTROLS]
    wait_leader_known(controls)
    lines = Lines(platform)
    c.equal(lines.causes(), {(replica(1), DISK_LOST)}, what)
    c.equal(lines.had_log(), False, f"{what}: no log at the start")
    folder = lines.last("data_folder_opened")[replica(1)]
    c.equal((folder["origin"], folder["first_start"]), ("learner_created", False), what)
    c.equal(folder["vote"], None, f"{what}: vote")
    check_folder_is_told_first(c, platform, what)


def host_never_starts(c, platform):
    what = "a host that never starts"
    first = platform.control(1)
    report = first.wait_event("no_leader", REPORTED_WITHIN_S)
    c.check(report["without_leader_ms"] >= REPORT_INTERVAL_S * 1000, f"{what}: time", str(report))
    c.equal(report["unanswered_founding_hosts"], [replica(2), replica(3)], f"{what}: missing")
    c.equal(links(report), {replica(1): "self", replica(2): "down", replica(3): "down"},
            f"{what}: links")
    c.equal(Lines(platform).causes(), {(replica(2), NOT_RUNNING), (replica(3), NOT_RUNNING)},
            f"{what}: two")
    c.equal([metric(first, name) for name in ("leader_known", "voters", "term")], [0, 3, 0],
            f"{what}: leader known, voters, term")
    c.equal(metric(first, "members_without_disk_identity"), 2, f"{what}: unknown disks")
    second = platform.control(2)
    wait_leader_known([first, second])
    known = first.wait_event("leader_known")
    c.check(known["without_leader_ms"] >= report["without_leader_ms"], f"{what}: time until a leader",
            str(known))
    c.equal(Lines(platform).causes(), {(replica(3), NOT_RUNNING)}, f"{what}: one")
    h.wait_until(lambda: metric(first, "members_without_disk_identity") == 1, LEADER_WITHIN_S,
                 "the disk of one host is not known")
    c.equal(metric(first, "leader_known"), 1, f"{what}: leader known")
    check_folder_is_told_first(c, platform, what)


def interrupted_creation(c, platform, bootstrap, missing, origin):
    what = f"an interrupted creation without {' and '.join(missing)}, bootstrap {bootstrap}"
    # Without another host the replica changes nothing on its disk. The record of the format is the
    # first file of a creation and the identity is the last one.
    platform.control(1).kill()
    for name in missing:
        (platform.folder / "core-1" / "data" / name).unlink()
    controls = [platform.control(number, bootstrap=bootstrap if number == 1 else "true")
                for number in CONTROLS]
    wait_leader_known(controls)
    lines = Lines(platform)
    c.equal(lines.causes(), {(replica(1), CREATION_INTERRUPTED)}, what)
    c.equal(lines.last("data_folder_opened")[replica(1)]["origin"], origin, what)
    check_folder_is_told_first(c, platform, what)


def two_lost_disks_before_the_log(c, platform):
    what = "two disks lost before the log exists"
    for number in (1, 2):
        start_and_lose_disk(platform, number)
    controls = [platform.control(number, bootstrap="true" if number == 3 else "false")
                for number in CONTROLS]
    reports = [control.wait_event("no_leader", REPORTED_WITHIN_S) for control in controls]
    lines = Lines(platform)
    c.equal(lines.causes(), {(replica(1), DISK_LOST), (replica(2), DISK_LOST)}, what)
    c.equal(lines.had_log(), False, f"{what}: no log")
    c.equal(reports[2]["unanswered_founding_hosts"], [replica(1), replica(2)], f"{what}: missing")
    c.equal(links(reports[2]), {replica(1): "up", replica(2): "up", replica(3): "self"},
            f"{what}: links")
    for control in controls[:2]:
        refused = control.wait_event("vote_refused", REPORTED_WITHIN_S)
        c.equal((refused["candidate"], refused["reason"]), (replica(3), "other_disk"),
                f"{what}: refusal of {control.name}")
        counted = metric(control, 'vote_refusals_total{reason="other_disk"}')
        c.check(counted and counted > 0, f"{what}: refusals of {control.name}", str(counted))
    check_folder_is_told_first(c, platform, what)


def two_lost_disks_after_the_log(c, platform):
    what = "two disks lost after the log exists"
    controls = [platform.control(number) for number in CONTROLS]
    wait_leader_known(controls)
    h.wait_until(lambda: metric(controls[2], "members_without_disk_identity") == 0, LEADER_WITHIN_S,
                 "the disks of all hosts are known")
    for number, control in ((1, controls[0]), (2, controls[1])):
        lose_disk(platform, control, number)
    last = controls[2]
    last.wait_event("no_leader", REPORTED_WITHIN_S)
    for number in (1, 2):
        platform.control(number, bootstrap="false")
    seen = len(last.events)
    report = last.wait_event("no_leader", REPORTED_WITHIN_S, since=seen)
    lines = Lines(platform)
    c.equal(lines.causes(), {(replica(1), DISK_LOST), (replica(2), DISK_LOST)}, what)
    c.equal(lines.had_log(), True, f"{what}: there was a log")
    c.equal(report["unanswered_founding_hosts"], [], f"{what}: missing founding hosts")
    c.equal(links(report), {replica(1): "up", replica(2): "up", replica(3): "self"},
            f"{what}: links")
    reported = [line for line in list(last.events) if line["event"] == "no_leader"]
    most = report["without_leader_ms"] // (REPORT_INTERVAL_S * 1000)
    c.check(len(reported) <= most, f"{what}: one line each {REPORT_INTERVAL_S} s", str(len(reported)))
    check_folder_is_told_first(c, platform, what)


def run(c, build):
    cases = [one_lost_disk, host_never_starts, two_lost_disks_before_the_log,
             two_lost_disks_after_the_log,
             lambda c, p: interrupted_creation(c, p, "true", ["identity"], "format_completed"),
             lambda c, p: interrupted_creation(c, p, "false", ["identity"], "format_completed"),
             lambda c, p: interrupted_creation(c, p, "false", ["identity", "format"],
                                               "learner_completed")]
    for case in cases:
        with Platform(build) as platform:
            case(c, platform)


if __name__ == "__main__":
    h.main(run, __doc__)
