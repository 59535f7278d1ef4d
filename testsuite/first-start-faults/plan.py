"""Draws the faults of one seed."""

import dataclasses
import random

CONTROLS = (1, 2, 3)
# Entry hosts of each availability zone in the two small deployments.
DEPLOYMENTS = ((7, 4, 4), (4, 4, 4))
START_SPREAD_S = 0.3
LAST_FAULT_S = 3.0
# A control host still counts as lost for this long after it is back (catch_up_s).
CATCH_UP_S = 4.0
MOMENTS_S = (0.01, 0.02, 0.03, 0.05, 0.1, 0.2)  # around the creation of the data folders


@dataclasses.dataclass
class Fault:
    kind: str
    at_s: float
    for_s: float
    host: int = 0
    first_start: bool = True  # what the platform tells a process that it starts again
    mode: str = ""

    def __str__(self):
        host = f" core-{self.host}" if self.host else ""
        told = f" first_start={str(self.first_start).lower()}" if "kill" in self.kind else ""
        mode = f" {self.mode}" if self.mode else ""
        return f"{self.kind}{mode}{host}{told} at {self.at_s:.2f} s for {self.for_s:.2f} s"


@dataclasses.dataclass
class Plan:
    zones: tuple
    control_at_s: dict
    entry_at_s: list
    entry_seeds: int  # how many of the seeds are entry hosts
    seed_order: list
    replaced: int  # this host never comes back after its last fault; 0: none
    partly_created: dict  # files that an interrupted creation left, by host
    faults: list

    def has_link_faults(self):
        return any(fault.kind.startswith("link") for fault in self.faults)

    def __str__(self):
        lines = [f"entry hosts {self.zones}, first {self.entry_at_s[0]:.2f} s, "
                 f"seeds {self.seed_order} ({self.entry_seeds} entry hosts), control hosts at "
                 + ", ".join(f"{at:.2f}" for at in self.control_at_s.values()) + " s"]
        lines += [f"core-{host}: left of an interrupted creation: {files}"
                  for host, files in self.partly_created.items()]
        return "\n".join("    " + line for line in [*lines, *map(str, self.faults)])


def moment(rnd):
    return rnd.choice(MOMENTS_S) if rnd.random() < 0.3 else rnd.uniform(0, LAST_FAULT_S)


def host_fault(rnd, host, at_s):
    kind = rnd.choice(("kill", "kill", "lose disk", "lose disk", "freeze", "full disk"))
    longest = {"freeze": 4.0}.get(kind, 2.0)
    return Fault(kind, at_s, rnd.uniform(0.1, longest), host, rnd.random() < 0.5)


def series(rnd, host, begin_s):
    """Returns faults of one host, one after the other."""
    faults = []
    for _ in range(rnd.choice((1, 1, 2, 3))):
        fault = host_fault(rnd, host, begin_s)
        faults.append(fault)
        begin_s = fault.at_s + fault.for_s + rnd.choice((0.05, 0.3, 1.0))
    return faults


def link_fault(rnd, lost_host):
    """Faults of the links; a cut concerns the host that counts as lost."""
    kind = rnd.choice(("link reset", "link silence", "link delay", "link cut", "link pair cut"))
    at_s = moment(rnd)
    if kind in ("link reset", "link silence"):
        return Fault(kind, at_s, 0.1)
    if kind == "link delay":
        return Fault(kind, at_s, rnd.uniform(0.5, 3.0))
    return Fault(kind, at_s, rnd.uniform(0.3, 4.0), lost_host, mode=rnd.choice(("hold", "refuse")))


def draw(seed):
    rnd = random.Random(seed)
    zones = rnd.choice(DEPLOYMENTS)
    host = rnd.choice(CONTROLS)
    starts = {number: rnd.uniform(0, START_SPREAD_S) for number in CONTROLS}
    entries_from = rnd.choice((-0.5, 0.0, 0.0, 1.0))
    entry_at_s = sorted(entries_from + rnd.uniform(0, START_SPREAD_S) for _ in range(sum(zones)))
    entry_seeds = rnd.choice((0, 0, 0, 0, 0, 0, 1, 2))
    seed_order = rnd.sample(CONTROLS, 3)

    shape = rnd.choice(("series", "series", "series", "late", "replaced", "all", "two"))
    faults, replaced = [], 0
    if shape == "late":
        starts[host] = rnd.uniform(1.0, 4.0)
    elif shape == "replaced":
        faults.append(Fault("replace", moment(rnd), rnd.uniform(0.1, 2.0), host))
        replaced = host
    elif shape != "all":
        faults += series(rnd, host, moment(rnd))
    kills = {"all": rnd.choice((1, 2, 3))}.get(shape, rnd.choice((0, 0, 0, 1)))
    faults += [Fault("kill all", moment(rnd), rnd.uniform(0.1, 1.0), 0, rnd.random() < 0.5)
               for _ in range(kills)]
    faults += [link_fault(rnd, host) for _ in range(rnd.choice((0, 0, 1, 2)))]
    if shape == "two":
        end = max(fault.at_s + fault.for_s for fault in faults) + CATCH_UP_S + rnd.uniform(0, 1)
        faults += series(rnd, rnd.choice([n for n in CONTROLS if n != host]), end)
    partly = {number: rnd.choice(([], ["log.new"], ["log"], ["log", "hard_state"]))
              for number in CONTROLS if rnd.random() < 0.1}
    return Plan(zones, starts, entry_at_s, entry_seeds, seed_order, replaced, partly,
                sorted(faults, key=lambda fault: fault.at_s))
