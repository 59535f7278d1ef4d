"""Lost disks, replaced hosts and kills of all processes, while configurations are sent.

Guards against a region that loses its log, an acknowledged configuration that is lost or read in an
older state, and a control host that no longer starts or never joins the log again. Each seed is a
series of faults that the platform allows; `--first-seed N --seeds 1` repeats one of them.
"""

import argparse
import collections
import json
import pathlib
import random
import shutil
import signal
import socket
import sys
import threading
import time

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import Platform, ZONES, configuration, entry_ip  # noqa: E402

# The platform's bounds: service after losses, and the time for which a host that is back still
# counts as lost, so that no other disk may be lost within it.
RECOVER_WITHIN_S = 12
CATCH_UP_S = 4
IN_FORCE_WITHIN_S = 4
# An address may be used again this long after its host was removed.
REUSE_AFTER_S = 2
ANSWER_WITHIN_S = 1.0
FAULTS = 5
ENTRIES = 2
# Control hosts and how many of them may lose their disks at once, as in the users' deployments.
Shape = collections.namedtuple("Shape", "controls losses")
SHAPES = [Shape(3, 1), Shape(3, 1), Shape(8, 2)]
CONTROL_ADDRESSES = range(1, 11)  # 127.0.0.N; entry hosts have the ones above


def free_ports_below_outgoing(generator, count):
    """Returns ports that no outgoing connection takes while the host that listens there is down."""
    lowest = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = []
    while len(ports) < count:
        port = generator.randrange(lowest // 2, lowest)
        with socket.socket() as one:
            try:
                one.bind(("0.0.0.0", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Host:
    """A machine: its folder stays with it, its process comes and goes."""

    def __init__(self, name, ip):
        self.name, self.ip = name, ip
        self.process, self.seeds = None, []


class Region(Platform):
    def __init__(self, build, shape):
        super().__init__(build)
        ports = free_ports_below_outgoing(random.SystemRandom(), 5)
        self.control_port, peer, admin, self.front_port, self.ready_port = ports
        self.ports = {"port_range.0": peer, "port_range.1": admin}
        self.seeds = [f"127.0.0.{i}:{self.control_port}" for i in (1, 2, 3)]
        self.shape, self.generation = shape, 0
        self.controls, self.entries, self.gone = {}, {}, {}

    def address(self, ip):
        return f"{ip}:{self.control_port}"

    def new_host(self, kind, ip):
        self.generation += 1
        return Host(f"{kind}-{self.generation}", ip)

    def write_settings(self, host, bootstrap="false"):
        more = {"seeds": host.seeds, "fault_budget.machines": self.shape.losses}
        zone = ZONES[int(host.ip.rpartition(".")[2]) % len(ZONES)]
        if host.name.startswith("core"):
            return self.settings("control.toml", host.name, host.ip, zone, bootstrap=bootstrap,
                                 **more)
        return self.settings("entry.toml", host.name, host.ip, zone, **more)

    def start_host(self, host, bootstrap="false"):
        program = "corneltray-control" if host.name.startswith("core") else "corneltray-gateway"
        path = self.write_settings(host, bootstrap)
        host.process = self.start(program, "--settings", path, name=host.name, wait=False)

    def lose_disk(self, host):
        shutil.rmtree(self.folder / host.name / "data", ignore_errors=True)

    def hosts(self):
        return [*self.controls.values(), *self.entries.values()]


class Traffic:
    """Sends configurations all the time, and reads them at every host."""

    def __init__(self, c, region, seed):
        self.c, self.region, self.seed = c, region, seed
        self.random = random.Random(seed + 1)
        self.sent, self.acknowledged = {}, 0
        self.lock, self.stopped = threading.Lock(), threading.Event()
        self.pace_s = 0.05
        self.threads = [threading.Thread(target=body, daemon=True)
                        for body in (self._write, self._read)]
        for thread in self.threads:
            thread.start()

    def _target(self):
        hosts = self.region.hosts()
        return self.region.address(self.random.choice(hosts).ip)

    def call(self, method, address, path, document=None):
        try:
            return h.call(method, address, path, document, timeout=ANSWER_WITHIN_S)
        except (OSError, h.http.client.HTTPException):
            return None

    def put(self, address):
        """Sends the next configuration. Returns its version if it was acknowledged."""
        with self.lock:
            version = max(self.sent, default=2) + 1
            document = configuration(version, keys=(f"key-{version}",))
            self.sent[version] = document
        reply = self.call("POST", address, "/Config.Put", document)
        if reply is None or reply.status != 200:
            return None
        with self.lock:
            self.acknowledged = max(self.acknowledged, version)
        return version

    def read(self, address, what):
        """Returns the version that a host reads, or None if it does not tell."""
        least = self.acknowledged
        reply = self.call("GET", address, "/Config.Get")
        if reply is None or reply.status != 200:
            return None
        document = json.loads(reply.body)
        version = document["version"]
        self.c.check(version >= least, f"seed {self.seed}: {what} is not older than acknowledged",
                     f"{address}: read {version}, acknowledged {least}")
        self.c.check(document == self.sent.get(version), f"seed {self.seed}: {what} was sent",
                     f"{address}: version {version}")
        return version

    def _write(self):
        while not self.stopped.wait(self.pace_s):
            self.put(self._target())

    def _read(self):
        while not self.stopped.wait(self.pace_s):
            self.read(self._target(), "what is read meanwhile")

    def wait_acknowledged(self):
        """Returns right after an acknowledgement."""
        before = self.acknowledged
        h.wait_until(lambda: self.acknowledged > before, RECOVER_WITHIN_S, "an acknowledgement")

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


class Faults:
    """Plays faults that the platform allows, chosen by a seed."""

    def __init__(self, region, seed, early_losses):
        self.region, self.early_losses = region, early_losses
        self.traffic, self.random = None, random.Random(seed)
        self.disk_back_at = 0.0  # from when another disk may be lost
        self.trace = []
        self.begin = time.monotonic()

    def note(self, text):
        self.trace.append(f"{time.monotonic() - self.begin:.2f} s: {text}")

    def pick(self, hosts):
        return self.random.choice(sorted(hosts, key=lambda host: host.name))

    def choose_seeds(self):
        """Three addresses of the operator's list, which may be old, but hold a running host."""
        region = self.region
        controls = [host.ip for host in region.controls.values()]
        if self.random.random() < 0.5:
            chosen = self.random.sample(sorted(controls), min(3, len(controls)))
        else:
            others = [host.ip for host in region.entries.values()] + list(region.gone)
            known = sorted({*controls, *others})
            chosen = self.random.sample(known, min(3, len(known)))
            running = {host.ip for host in region.hosts()}
            if not running & set(chosen):
                chosen[0] = self.random.choice(sorted(running))
        return [region.address(ip) for ip in chosen]

    def pause(self, longest_s):
        time.sleep(self.random.uniform(0, longest_s))

    def wait_for_disks(self):
        time.sleep(max(0.0, self.disk_back_at - time.monotonic()))

    def disks_lost(self):
        self.disk_back_at = time.monotonic() + CATCH_UP_S

    def delay_disk(self):
        """A host that is down or stands still while another one catches up counts as lost too."""
        if time.monotonic() < self.disk_back_at:
            self.disks_lost()

    def restart(self, hosts, seeds_change=0.3):
        for host in self.random.sample(hosts, len(hosts)):
            if self.random.random() < seeds_change:
                host.seeds = self.choose_seeds()
            self.region.start_host(host)

    def wait_listening(self):
        for host in self.region.hosts():
            self.region.wait_listening(host.process)

    def first_start(self):
        region = self.region
        for number in range(1, region.shape.controls + 1):
            region.controls[number] = region.new_host("core", f"127.0.0.{number}")
        for number in range(1, ENTRIES + 1):
            region.entries[number] = region.new_host("edge", entry_ip(number))
        hosts = region.hosts()
        self.random.shuffle(hosts)
        for host in hosts:
            host.seeds = list(region.seeds)
            region.start_host(host, bootstrap="true")
            self.pause(0.3 / len(hosts))
        self.wait_listening()
        # The log begins with the three seeds as voters, so that an acknowledgement right after the
        # first start does not survive the loss of two disks; --early-losses shows it.
        if region.shape.losses > 1 and not self.early_losses:
            self.disks_lost()

    def stop_process(self, host, gracefully):
        if gracefully:
            host.process.stop()
        else:
            host.process.kill()

    def replace(self):
        """A control host is removed for good, and another one is added at another address."""
        region = self.region
        self.wait_for_disks()
        number = self.random.choice(sorted(region.controls))
        host, gracefully = region.controls.pop(number), self.random.random() < 0.5
        now = time.monotonic()
        free = [n for n in CONTROL_ADDRESSES if n not in region.controls and n != number
                and now - region.gone.get(f"127.0.0.{n}", 0) > REUSE_AFTER_S]
        # Addresses that were in use before come first half of the time.
        used = [n for n in free if f"127.0.0.{n}" in region.gone]
        fresh = self.random.choice(used if used and self.random.random() < 0.5 else free)
        added = region.new_host("core", f"127.0.0.{fresh}")
        added_first = self.random.random() < 0.3
        self.note(f"replace {host.name} {host.ip} by {added.name} {added.ip}, SIGTERM {gracefully},"
                  f" added first {added_first}")
        region.gone.pop(added.ip, None)

        def add():
            added.seeds = self.choose_seeds()
            region.controls[fresh] = added
            region.start_host(added)
        if added_first:
            add()
            self.pause(1)
        self.stop_process(host, gracefully)
        region.gone[host.ip] = time.monotonic()
        if not added_first:
            self.pause(1)
            add()
        self.disks_lost()

    def replace_twice(self):
        self.replace()
        self.replace()

    def lose_disks(self):
        """Control hosts lose their disks and are back at their addresses."""
        region = self.region
        self.wait_for_disks()
        count = self.random.randint(1, region.shape.losses)
        hosts = self.random.sample(list(region.controls.values()), count)
        self.note("lose disks of " + ", ".join(f"{host.name} {host.ip}" for host in hosts))
        for host in hosts:
            host.process.kill()
            region.lose_disk(host)
        self.pause(1)
        self.restart(hosts)
        self.disks_lost()

    def kill_all(self, with_entries=None, with_disks=None):
        """All processes are killed right after an acknowledgement; some disks may be lost."""
        region = self.region
        if with_entries is None:
            with_entries = self.random.random() < 0.5
        if with_disks is None:
            with_disks = self.random.random() < 0.5
        if with_disks:
            self.wait_for_disks()
        hosts = region.hosts() if with_entries else list(region.controls.values())
        lost = self.random.sample(list(region.controls.values()), region.shape.losses)
        self.traffic.wait_acknowledged()
        for host in hosts:
            host.process.send(signal.SIGKILL)
        for host in hosts:
            host.process.kill()
        self.note(f"kill all, entry hosts {with_entries}, disks lost: " +
                  (", ".join(f"{host.name} {host.ip}" for host in lost) if with_disks else "none"))
        if with_disks:
            for host in lost:
                region.lose_disk(host)
        self.pause(0.5)
        self.restart(hosts)
        if with_disks:
            self.disks_lost()
        else:
            self.delay_disk()

    def kill_all_twice(self):
        """Another disk is lost as soon as the first one counts as back."""
        self.kill_all(with_disks=True)
        self.kill_all(with_disks=True)

    def kill_some(self):
        region = self.region
        hosts = self.random.sample(region.hosts(), self.random.randint(1, len(region.hosts())))
        self.note("kill " + ", ".join(host.name for host in hosts))
        for host in hosts:
            host.process.kill()
        self.pause(0.5)
        self.restart(hosts)
        self.delay_disk()

    def kill_during_member_change(self):
        self.random.choice([self.replace, self.lose_disks])()
        for _ in range(self.random.randint(1, 3)):
            self.pause(1.5)
            self.kill_some()

    def change_seeds(self):
        region = self.region
        for host in self.random.sample(region.hosts(), self.random.randint(1, len(region.hosts()))):
            host.seeds = self.choose_seeds()
            again = self.random.random() < 0.5
            self.note(f"seeds of {host.name}: {host.seeds}, restarted {again}")
            if again:
                host.process.stop()
                region.start_host(host)
            else:
                region.write_settings(host)
                host.process.send(signal.SIGHUP)

    def freeze(self):
        """A host stands still during another fault and wakes after it."""
        region = self.region
        host = self.pick(region.controls.values())
        self.note(f"freeze {host.name} {host.ip}")
        process = host.process
        # The frozen host may be the one that catches up, so its disk still counts as lost.
        others = [self.change_seeds_of_others, self.pause_only]
        if time.monotonic() >= self.disk_back_at:
            others.append(self.lose_another_disk)
        process.freeze()
        try:
            self.pause(1)
            self.random.choice(others)(host)
            self.pause(3)
        finally:
            process.thaw()
            self.note(f"wake {host.name}")
            self.disks_lost()

    def pause_only(self, _frozen):
        self.pause(2)

    def change_seeds_of_others(self, frozen):
        for host in self.region.hosts():
            if host is not frozen:
                host.seeds = self.choose_seeds()
                self.region.write_settings(host)
                host.process.send(signal.SIGHUP)

    def lose_another_disk(self, frozen):
        host = self.pick([one for one in self.region.controls.values() if one is not frozen])
        self.note(f"lose disk of {host.name} {host.ip}")
        host.process.kill()
        self.region.lose_disk(host)
        self.pause(0.5)
        self.restart([host])
        self.disks_lost()

    def play(self):
        choices = [self.replace, self.replace_twice, self.lose_disks, self.kill_all,
                   self.kill_all_twice, self.kill_some, self.kill_during_member_change,
                   self.change_seeds, self.freeze]
        for _ in range(FAULTS):
            self.random.choice(choices)()
            self.wait_listening()
            self.pause(2)
        self.kill_all(with_entries=self.random.random() < 0.8,
                      with_disks=self.random.random() < 0.8)


def check_recovery(c, region, traffic, what):
    """Service is complete at every host in time, and what was acknowledged is read."""
    end = time.monotonic() + RECOVER_WITHIN_S
    least = traffic.acknowledged
    for host in region.controls.values():
        address = region.address(host.ip)
        for call, name in ((lambda a=address: traffic.put(a), "takes a change"),
                           (lambda a=address: traffic.read(a, "what is read back"), "reads")):
            try:
                h.wait_until(call, end - time.monotonic(), "service")
                c.check(True, name)
            except h.Timeout:
                c.check(False, f"{what}: {host.name} {host.ip} {name} in time",
                        f"acknowledged {least}\n{host.process.tail(5)}")
    traffic.stop()
    address = region.address(next(iter(region.controls.values())).ip)
    last = h.wait_until(lambda: traffic.put(address), IN_FORCE_WITHIN_S, "the last change")
    for host in region.entries.values():
        try:
            host.process.wait_event("route_table_in_force", IN_FORCE_WITHIN_S, version=last)
            c.check(True, "in force")
        except h.Timeout as late:
            c.check(False, f"{what}: version {last} is in force at {host.name}", str(late))
    for host in region.hosts():
        c.check(host.process.alive(), f"{what}: {host.name} runs",
                f"status {host.process.popen.poll()}")


def check_seed(c, arguments, seed):
    shape = SHAPES[seed % len(SHAPES)]
    what = f"seed {seed}, {shape.controls} control hosts"
    failed = c.failed
    region = Region(arguments.build, shape)
    traffic = faults = None
    try:
        faults = Faults(region, seed, arguments.early_losses)
        faults.first_start()
        faults.traffic = traffic = Traffic(c, region, seed)
        faults.traffic.wait_acknowledged()
        faults.play()
        faults.wait_listening()
        check_recovery(c, region, traffic, what)
    except h.Timeout as late:
        c.check(False, what, str(late))
    finally:
        if traffic:
            traffic.stop()
        if c.failed > failed or arguments.verbose:
            print("\n".join([f"{what}:", *(faults.trace if faults else [])]), flush=True)
        if c.failed > failed and arguments.keep:
            shutil.copytree(region.folder, arguments.keep / f"seed-{seed}-{int(time.time())}")
        region.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=TESTSUITE.parent / "build")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs of failed seeds")
    parser.add_argument("--early-losses", action="store_true",
                        help="lose two disks of eight hosts also right after the first start")
    parser.add_argument("--verbose", action="store_true", help="print the faults of each seed")
    arguments = parser.parse_args()
    c = h.Checks()
    for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
        check_seed(c, arguments, seed)
    c.finish()


if __name__ == "__main__":
    main()
