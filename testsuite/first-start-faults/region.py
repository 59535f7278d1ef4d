"""A region at its first start, whose control hosts lose processes, disks and links."""

import json
import pathlib
import re
import resource
import shutil
import subprocess
import sys
import threading
import time

TESTSUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(TESTSUITE))
sys.path.insert(0, str(TESTSUITE / "platform"))
import harness as h  # noqa: E402
from fleet import ZONES, Platform, entry_ip  # noqa: E402
from link_proxy import LinkProxy  # noqa: E402

REPLACEMENT = 4
OWNERS_EVERY_S = 0.1
RESTART_DELAY_S = 0.3  # of a process that ends by itself
# The soft limit on the size of files stands in for a full disk.
FULL_DISK = ("/bin/sh", "-c", 'ulimit -S -f 0; exec "$@"', "sh")


def control_ip(number):
    return f"127.0.0.{number}"


def bound_ip(number):
    """The address that a control process binds for links; peers are told the one of its proxy."""
    return f"127.0.1.{number}"


class FaultyRegion(Platform):
    """Control hosts and entry hosts. Links to control hosts pass proxies if there are any."""

    def __init__(self, build, has_proxies, numbers=None):
        """`numbers` are those of the control hosts; by default three and their replacement."""
        super().__init__(build)
        numbers = numbers or (1, 2, 3, REPLACEMENT)
        self.highest_number = max(numbers)
        self.has_proxies, self.proxies, self.modes = has_proxies, [], {}
        self.controls, self.wanted, self.first_start = {}, set(), {}
        self.told_seeds, self.full_disks = self.seeds, set()
        self.lock, self.closing = threading.RLock(), False
        if has_proxies:
            self.owners = {}  # names of control processes, or None, by the port of a connection
            self.proxies = [self._proxy(number) for number in numbers]
            threading.Thread(target=self._watch_owners, daemon=True).start()
        threading.Thread(target=self._restart_ended, daemon=True).start()

    def close(self):
        self.closing = True
        with self.lock:
            super().close()
        for proxy in self.proxies:
            proxy.close()
        self.proxies = []

    # Processes.

    def address(self, number):
        return f"{control_ip(number)}:{self.control_port}"

    def start_control(self, number, first_start):
        with self.lock:
            self.first_start[number] = first_start
            name = f"core-{number}"
            path = self.settings("control.toml", name, control_ip(number), ZONES[(number - 1) % 3],
                                 bootstrap=str(first_start).lower(), seeds=self.told_seeds)
            if self.has_proxies:
                self._bind_behind_proxy(path, number)
            limit = FULL_DISK if number in self.full_disks else ()
            command = [*limit, str(self.bin / "corneltray-control"), "--settings", str(path)]
            process = h.Process(command, name, self.folder / f"{name}.log")
            self.processes.append(process)
            self.controls[number] = process
            self.wanted.add(number)

    def kill_control(self, number):
        with self.lock:
            self.wanted.discard(number)
            if number in self.controls:
                self.controls[number].kill()

    def _bind_behind_proxy(self, path, number):
        port = self.ports["port_range.0"]
        own = f'address = "{control_ip(number)}:{port}"'
        bound = f'address = "{bound_ip(number)}:{port}"\nadvertise = "{control_ip(number)}:{port}"'
        text = path.read_text()
        assert text.count(own) == 1, text
        path.write_text(text.replace(own, bound))

    def _restart_ended(self):
        """The platform restarts a process that ends by itself."""
        while not self.closing:
            time.sleep(RESTART_DELAY_S)
            with self.lock:
                for number in list(self.wanted):
                    if not self.closing and not self.controls[number].alive():
                        self.start_control(number, self.first_start[number])

    def free_disk(self, number):
        with self.lock:
            self.full_disks.discard(number)
            process = self.controls.get(number)
            if process is not None and process.alive():
                _, hard = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (hard, hard))

    def leave_creation_incomplete(self, number, files):
        """Leaves some files of a data folder, as a start that was killed while it created them."""
        whole = self.folder / f"format-{number}"
        path = self.settings("control.toml", control_ip(number), control_ip(number), "a",
                             data_dir=whole)
        # --format is refused where the seeds are the hosts of the first start.
        path.write_text(path.read_text().replace("found_from_seeds = true",
                                                 f'hosts = ["{control_ip(number)}"]'))
        subprocess.run([self.bin / "corneltray-control", "--settings", path, "--format"],
                       stdout=subprocess.DEVNULL, check=True, timeout=h.START_S)
        self.data_folder(number).mkdir(parents=True)
        for name in files:
            if (whole / name).exists():
                shutil.copy(whole / name, self.data_folder(number))
            else:
                (self.data_folder(number) / name).touch()

    def data_folder(self, number):
        return self.folder / f"core-{number}" / "data"

    def is_formatted(self, number):
        return (self.data_folder(number) / "identity").exists()

    def lose_disk(self, number):
        shutil.rmtree(self.data_folder(number), ignore_errors=True)

    # Links.

    def _proxy(self, number):
        port = self.ports["port_range.0"]
        return LinkProxy((control_ip(number), port), (bound_ip(number), port),
                         lambda opener: self._mode_of(opener, f"core-{number}"))

    def _watch_owners(self):
        """Finds the control processes that have opened the connections to the proxies.

        The connections don't wait for this: a link that opens slowly is given up."""
        to_proxy = re.compile(rf":([0-9A-F]{{4}}) 0[1-{self.highest_number}]00007F:"
                              rf"{self.ports['port_range.0']:04X} (?:\S+ +){{6}}(\d+) ")
        while not self.closing:
            connections = to_proxy.findall(pathlib.Path("/proc/net/tcp").read_text())
            owners = {}
            for process in list(self.controls.values()):
                owners.update(dict.fromkeys(process.sockets(), process.name))
            self.owners = {int(port, 16): owners.get(int(inode)) for port, inode in connections}
            time.sleep(OWNERS_EVERY_S)

    def _mode_of(self, port, host):
        """The mode of a connection that was opened from `port` to a control host."""
        if not self.modes:
            return "pass"
        if port not in self.owners:  # during a cut, no byte passes before the owner is known
            return "hold"
        owner = self.owners[port]
        modes = {self.modes.get(name) for name in (owner, host, frozenset((owner, host)))}
        return next((mode for mode in ("refuse", "hold", "delay") if mode in modes), "pass")

    # Calls of an operator and of a caller.

    def put_at(self, address, document):
        """Returns whether a host acknowledged the configuration."""
        try:
            return h.call("POST", address, "/Config.Put", document, timeout=1.5).status == 200
        except (OSError, h.http.client.HTTPException):
            return False

    def get_at(self, address):
        """Returns the configuration that a host answers, or None."""
        try:
            reply = h.call("GET", address, "/Config.Get", timeout=1.5)
            return json.loads(reply.body) if reply.status == 200 else None
        except (OSError, h.http.client.HTTPException):
            return None

    def serves(self, number):
        """Returns whether an entry host answers a request of the first routes."""
        headers = {"Host": "h.example", "X-Attempt-Id": h.uuid7(), "X-Deadline-Ms": "2000",
                   "Api-Key": "key-1"}
        try:
            return h.call("POST", f"{entry_ip(number)}:{self.front_port}", "/book/1", b"a booking",
                          headers, timeout=3).status == 200
        except (OSError, h.http.client.HTTPException):
            return False
