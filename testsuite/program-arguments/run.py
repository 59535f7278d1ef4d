"""Command lines of the server programs: --help, --version, --check and their exit codes.

Guards against a process that starts with a mistake in its settings, and an exit code that differs from
the help.
"""

import pathlib
import re
import socket
import subprocess
import sys

TOP = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(TOP / "testsuite"))
import harness as h  # noqa: E402

USAGE, ADDRESS = 2, 4


def run(c, build):
    def program(name, *arguments):
        return subprocess.run([str(pathlib.Path(build) / "bin" / f"corneltray-{name}"), *arguments],
                              capture_output=True, text=True, timeout=20, check=False)

    with h.Bench(build) as bench:
        for name in ("entry", "control", "placement"):
            example = TOP / "examples" / f"{name}.toml"
            done = program(name, "--help")
            c.equal((done.returncode, "Exit codes:" in done.stdout), (0, True), f"{name} --help")
            done = program(name, "--version")
            c.equal((done.returncode, done.stdout.split()[0]), (0, f"corneltray-{name}"),
                    f"{name} --version")
            c.equal(program(name, "--settings", example, "--check").returncode, 0, f"{name} --check")
            c.equal(program(name).returncode, USAGE, f"{name} without settings")

            mistyped = pathlib.Path(bench.folder) / f"{name}.toml"
            text = example.read_text().replace("shared_key", "shared_kee")
            mistyped.write_text(text)
            line = text[:text.index("shared_kee")].count("\n") + 1
            done = program(name, "--settings", mistyped, "--check")
            c.equal((done.returncode, f"{mistyped}:{line}: peer.shared_kee: unknown key" in done.stderr),
                    (USAGE, True), f"{name}: a mistyped key is named with its line")

            # The port is taken by this test.
            with socket.create_server(("127.0.0.1", 0)) as taken:
                address = f"127.0.0.1:{taken.getsockname()[1]}"
                text = re.sub(r'"10\.[0-9.:]+"', f'"{address}"', example.read_text())
                busy = pathlib.Path(bench.folder) / f"{name}-address.toml"
                busy.write_text(text.replace("/var/lib/corneltray", f"{bench.folder}/data"))
                c.equal(program(name, "--settings", busy).returncode, ADDRESS,
                        f"{name}: an address that is in use")


if __name__ == "__main__":
    h.main(run, __doc__)
