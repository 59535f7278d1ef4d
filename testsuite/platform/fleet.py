"""The programs on the users' platform, from the deploy templates, on loopback addresses."""

import pathlib
import re
import socket
import sys
import tomllib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness as h  # noqa: E402
from replicas import Replica  # noqa: E402

TOP = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ["a", "b", "c"]
ENGINE = {"slots": 50, "kv_capacity": 1000, "kv_token_bytes": 80000, "stride": 1, "step_ms": 1.0,
          "read_per_s": 100000.0, "models": [{"name": "m", "load_s": 1.0}], "layers": 8,
          "layer_mb": 100.0, "usual": {"prompt": 10, "answer": 10},
          "kinds": [{"name": "card", "size_mb": 500.0, "pace": 1.0, "read_factor": 1.0}]}


def entry_ip(number):
    """Control hosts have the addresses 1 to 3."""
    return f"127.0.0.{10 + number}"


def free_ports(count):
    """Returns ports that are free on every loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("0.0.0.0", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def render(template, values):
    """Fills in a deploy template as the platform does, for the forms that the templates use."""
    text = (TOP / "deploy" / template).read_text()
    text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}",
                  ",".join(f'"{seed}"' for seed in values["seeds"]), text)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda match: str(values[match.group(1)]), text)


def configuration(version, keys=("key-1",), **more):
    def route(name, prefix, kind, service):
        return {"name": name, "host": "h.example", "prefix": prefix, "type": kind,
                "timeout_ms": 5000, "goal_ms": 500, "prio": 1, "service": service, "attempts": 2,
                "public": False, "sticky": True, "resumable": kind == "stream",
                "itl_target_ms": 200}
    return {"version": version,
            "routes": [route("talk", "/talk/", "stream", "model"),
                       route("book", "/book/", "unsafe", "ledger")],
            "services": [{"name": "model", "health_path": "/healthz", "max_conns": 100,
                          "engine": ENGINE},
                         {"name": "ledger", "health_path": "/healthz", "max_conns": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "customer", "api_keys": list(keys), "prio": 1}], **more}


class Platform(h.Bench):
    """Three control hosts on loopback addresses of their own, and entry hosts."""

    def __init__(self, build):
        super().__init__(build)
        self.control_port, peer, admin, self.front_port, self.ready_port = free_ports(5)
        self.ports = {"port_range.0": peer, "port_range.1": admin}
        self.seeds = [f"127.0.0.{i}:{self.control_port}" for i in (1, 2, 3)]
        self.replicas = []

    def close(self):
        for replica in self.replicas:
            replica.close()
        self.replicas = []
        super().close()

    def settings(self, template, name, ip, zone, **more):
        values = {"node_id": name, "region": "r", "zone": zone, "ip": ip, "seeds": self.seeds,
                  "bootstrap": "true", "data_dir": self.folder / name / "data",
                  "listen.control": f"{ip}:{self.control_port}",
                  "listen.front": f"{ip}:{self.front_port}",
                  "listen.ready": f"{ip}:{self.ready_port}", "fault_budget.machines": 1,
                  "bounds.revoke_ms": 5000, "bounds.retry_ratio": 0.2, "bounds.retry_slack": 100,
                  "bounds.retry_window_s": 10, "bounds.grace_s": 8, "limits.memory_mb": 256,
                  "limits.max_fds": 2870, **self.ports, **more}
        path = self.folder / f"{name}.toml"
        path.write_text(render(template, values))
        return path

    def control(self, number, bootstrap="true", **more):
        name = f"core-{number}"
        path = self.settings("control.toml", name, f"127.0.0.{number}",
                             ZONES[(number - 1) % len(ZONES)], bootstrap=bootstrap, **more)
        return self.start("corneltray-control", "--settings", path, name=name)

    def entry(self, number, wait=True, zone="a", **more):
        name = f"edge-{number}"
        path = self.settings("entry.toml", name, entry_ip(number), zone, **more)
        return self.start("corneltray-gateway", "--settings", path, name=name, wait=wait)

    def replica(self, *arguments, controls=None, **more):
        self.replicas.append(Replica(*arguments, controls=controls or self.seeds, **more))
        return self.replicas[-1]

    def control_interface(self, entries):
        """Returns the addresses of the control interface, control hosts first, by the deploy file."""
        roles = tomllib.loads((TOP / "deploy" / "system.toml").read_text())["roles"].values()
        serving = {role["on"] for role in roles if "control" in role["serves"]}
        addresses = list(self.seeds) if "core" in serving else []
        if "edge" in serving:
            addresses += [f"{entry_ip(number)}:{self.control_port}" for number in entries]
        return addresses

    def put(self, document, number=1):
        return h.call("POST", self.seeds[number - 1], "/Config.Put", document).status

    def put_until(self, document, status=200):
        h.wait_until(lambda: self.put(document) == status, 10, f"configuration answered {status}")
