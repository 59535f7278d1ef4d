"""Faults in the first seconds of a new region, before and after its log is created.

Guards against a region that never acknowledges a configuration, or forgets one, because control
hosts were killed, frozen, replaced or late, lost a disk, had a full or half created one, or lost
links while the log was created. The faults are drawn from a seed; each seed is one first start.
"""

import argparse
import pathlib
import shutil
import sys
import threading
import time

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import ZONES, configuration, entry_ip  # noqa: E402
from plan import draw  # noqa: E402
from region import REPLACEMENT, FaultyRegion  # noqa: E402

# The platform's bound for service after losses (recover_s).
RECOVER_WITHIN_S = 12
# The platform's bound for a configuration to be in force (config_apply_ms).
IN_FORCE_WITHIN_S = 2
# An entry host has to find an upstream after it has the routes.
SERVE_WITHIN_S = 4
OPERATOR_PAUSE_S = 0.15


class Operator:
    """Changes the configuration during the faults and reads it back at all hosts in turn."""

    def __init__(self, region, addresses):
        self.region, self.addresses = region, addresses
        self.acknowledged, self.sent, self.stale = 0, 0, []
        self.ending = threading.Event()
        self.threads = [threading.Thread(target=work, daemon=True)
                        for work in (self._change, self._read)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.ending.set()
        for thread in self.threads:
            thread.join()

    def _change(self):
        version, turn = 1, 0
        while not self.ending.wait(OPERATOR_PAUSE_S):
            self.sent = version
            address = self.addresses[turn % len(self.addresses)]
            turn += 1
            if self.region.put_at(address, configuration(version)):
                self.acknowledged = version
                version += 1

    def _read(self):
        turn = 0
        while not self.ending.wait(OPERATOR_PAUSE_S):
            address = self.addresses[turn % len(self.addresses)]
            turn += 1
            expected = self.acknowledged
            read = self.region.get_at(address)
            if read is None:
                continue
            if read["version"] < expected or read != configuration(read["version"]):
                self.stale.append(f"{address} answered {read['version']} after {expected}")


class Day:
    """Plays the plan of one seed."""

    def __init__(self, region, plan):
        self.region, self.plan = region, plan
        self.absent = {number: set() for number in (1, 2, 3, REPLACEMENT)}  # reasons, by host
        self.lost_disk, self.events = set(), []
        self.begin = 0.0
        for number, at_s in plan.control_at_s.items():
            self.absent[number].add("start")
            self.at(at_s, lambda n=number: self.bring_back(n, "start", True))
        self.entries = []
        for i, at_s in enumerate(plan.entry_at_s):
            zone = next(z for z, end in enumerate(self._zone_ends()) if i < end)
            self.at(at_s, lambda i=i, z=zone: self.start_entry(i + 1, ZONES[z]))
        for fault in plan.faults:
            begin, end = self.actions(fault)
            self.at(fault.at_s, begin)
            self.at(fault.at_s + fault.for_s, end)

    def _zone_ends(self):
        ends = []
        for count in self.plan.zones:
            ends.append(count + (ends[-1] if ends else 0))
        return ends

    def at(self, at_s, action):
        self.events.append((at_s, len(self.events), action))

    def play(self):
        self.begin = time.monotonic() - min(0.0, min(self.events)[0])
        for at_s, _, action in sorted(self.events):
            time.sleep(max(0.0, self.begin + at_s - time.monotonic()))
            action()

    def running(self):
        return [number for number, process in self.region.controls.items() if process.alive()]

    # Hosts.

    def start_entry(self, number, zone):
        self.entries.append(self.region.entry(number, wait=False, zone=zone,
                                              seeds=self.region.told_seeds))

    def take_down(self, number, reason):
        self.absent[number].add(reason)
        self.region.kill_control(number)

    def bring_back(self, number, reason, first_start):
        self.absent[number].discard(reason)
        if self.absent[number]:
            return
        # The platform tells a host without its disk that this is no first start.
        self.region.start_control(number, first_start and number not in self.lost_disk)

    # Faults.

    def actions(self, fault):
        """Returns what begins and what ends a fault."""
        region, host = self.region, fault.host
        if fault.kind.startswith("link"):
            return self.link_actions(fault)
        if fault.kind == "kill all":
            return lambda: self.kill_all(fault), lambda: self.all_back(fault)
        if fault.kind == "freeze":
            frozen = []
            return (lambda: frozen.append(self.freeze(host)),
                    lambda: [process.thaw() for process in frozen if process])
        if fault.kind == "replace":
            return (lambda: self.take_down(host, "replaced"),
                    lambda: region.start_control(REPLACEMENT, False))
        if fault.kind == "full disk":
            return lambda: self.start_with_full_disk(fault), lambda: region.free_disk(host)
        lose_disk = fault.kind == "lose disk"
        return (lambda: self.lose(fault, lose_disk),
                lambda: self.bring_back(host, id(fault), fault.first_start))

    def lose(self, fault, lose_disk):
        self.take_down(fault.host, id(fault))
        if lose_disk:
            self.region.lose_disk(fault.host)
            self.lost_disk.add(fault.host)

    def kill_all(self, fault):
        for number in (1, 2, 3):
            self.take_down(number, id(fault))

    def all_back(self, fault):
        for number in (1, 2, 3):
            # A host without an identity would come back as one that has lost its disk.
            is_first = fault.first_start or not self.region.is_formatted(number)
            self.bring_back(number, id(fault), is_first)

    def freeze(self, number):
        process = self.region.controls.get(number)
        if process is not None and process.alive():
            process.freeze()
        return process

    def start_with_full_disk(self, fault):
        self.region.full_disks.add(fault.host)
        self.take_down(fault.host, id(fault))
        self.bring_back(fault.host, id(fault), fault.first_start)

    def link_actions(self, fault):
        region = self.region
        if fault.kind == "link silence":
            return lambda: [proxy.silence_open() for proxy in region.proxies], lambda: None
        hosts = [f"core-{number}" for number in (1, 2, 3)]
        names, mode = hosts, fault.mode
        if fault.kind == "link cut":
            names = [f"core-{fault.host}"]
        elif fault.kind == "link pair cut":
            names = [frozenset((f"core-{fault.host}", f"core-{fault.host % 3 + 1}"))]
        elif fault.kind == "link reset":
            mode = "refuse"
        elif fault.kind == "link delay":
            mode = "delay"
        return (lambda: region.modes.update({name: mode for name in names}),
                lambda: [region.modes.pop(name, None) for name in names])


def seeds_of(region, plan):
    """Entry hosts take the place of the last control hosts of the list."""
    addresses = [region.address(number) for number in plan.seed_order]
    for i in range(plan.entry_seeds):
        addresses[-1 - i] = f"{entry_ip(i + 1)}:{region.control_port}"
    return addresses


def passed_s(since):
    return time.monotonic() - since


def check_recovery(c, region, day, operator, seed):
    """Returns a line with the times that the parts of the recovery took."""
    over = time.monotonic()
    operator.stop()
    version = operator.sent + 1
    controls = day.running()

    def left_s():
        return max(0.1, over + RECOVER_WITHIN_S - time.monotonic())

    def acknowledge():
        return any(region.put_at(region.address(n), configuration(version)) for n in controls)
    h.wait_until(acknowledge, RECOVER_WITHIN_S, f"version {version} is acknowledged")
    acknowledged = passed_s(over)
    c.check(acknowledged <= RECOVER_WITHIN_S, f"seed {seed}: acknowledged in time",
            f"after {acknowledged:.1f} s")
    for number in controls:
        found = h.wait_until(lambda n=number: region.get_at(region.address(n)), left_s(),
                             f"core-{number} answers a read")
        c.equal(found, configuration(version), f"seed {seed}: core-{number} reads back")
    read = passed_s(over)
    c.check(read <= RECOVER_WITHIN_S, f"seed {seed}: read back in time", f"after {read:.1f} s")
    for entry in day.entries:
        entry.wait_event("route_table_in_force", left_s() + IN_FORCE_WITHIN_S, version=version)
    in_force = passed_s(over)
    for number in range(1, len(day.entries) + 1):
        h.wait_until(lambda n=number: region.serves(n), left_s() + SERVE_WITHIN_S,
                     f"edge-{number} serves")
    return (f"acknowledged after {acknowledged:.1f} s, read back after {read:.1f} s, in force after "
            f"{in_force:.1f} s, served after {passed_s(over):.1f} s, "
            f"{operator.acknowledged} changes during the faults")


def play_seed(c, build, seed, keeps_logs):
    plan = draw(seed)
    failed = c.failed
    with FaultyRegion(build, plan.has_link_faults()) as region:
        region.told_seeds = seeds_of(region, plan)
        for number, files in plan.partly_created.items():
            region.leave_creation_incomplete(number, files)
        hosts = [region.address(number) for number in (*plan.control_at_s, REPLACEMENT)]
        region.replica("book-1", "ledger", "a", controls=hosts)
        entries = [f"{entry_ip(number)}:{region.control_port}" for number in (1, 2)]
        operator = Operator(region, hosts + entries)
        day = Day(region, plan)
        result = "failed"
        try:
            day.play()
            result = check_recovery(c, region, day, operator, seed)
        except h.Timeout as late:
            c.check(False, f"seed {seed}", str(late))
        finally:
            operator.stop()
        c.equal(operator.stale, [], f"seed {seed}: reads older than an acknowledged version")
        print(f"seed {seed}: {result}", flush=True)
        if c.failed > failed or keeps_logs:
            print(plan, flush=True)
            keep_logs(region, pathlib.Path(build) / "first-start-faults" / f"seed-{seed}")


def keep_logs(region, folder):
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(region.folder, folder)
    print(f"    logs: {folder}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=TESTSUITE.parent / "build")
    parser.add_argument("--seeds", type=int, default=6, help="how many seeds to play")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--keep-logs", action="store_true", help="also of seeds that pass")
    arguments = parser.parse_args()
    c = h.Checks()
    for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
        play_seed(c, arguments.build, seed, arguments.keep_logs)
    c.finish()


if __name__ == "__main__":
    main()
