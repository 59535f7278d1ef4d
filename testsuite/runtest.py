"""Runs the unit tests and the end-to-end cases, and prints "N passed, N failed" last.

Each folder below testsuite/ with a run.py is one case. Entries of KNOWN-RED.txt are reported but do
not change the exit status; see CONTRIBUTING.md.
"""

import argparse
import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys
import textwrap

TOP = pathlib.Path(__file__).resolve().parent.parent
CASE_TIMEOUT_S = 300
# Cases that bring their own load. They run after the others, one at a time.
ALONE = {"abuse"}
# A hang is a failure; the sanitizer build takes several times as long as the normal one.
UNIT_TIMEOUT_S = 900


def known_red():
    """Returns the names of the tests that KNOWN-RED.txt lists: lines of the form "test: NAME"."""
    path = TOP / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return set(re.findall(r"^test: *(.+?) *$", path.read_text(), re.MULTILINE))


def unit_cases(build):
    """Returns the names of all unit test cases."""
    done = subprocess.run([str(build / "bin" / "corneltray_test"), "--list-test-cases"],
                          capture_output=True, text=True, timeout=UNIT_TIMEOUT_S, check=False)
    return set(done.stdout.splitlines())


def run_red_unit(build, names):
    """Runs the unit test cases that KNOWN-RED.txt lists, and prints how they end."""
    for name in sorted(names):
        try:
            done = subprocess.run([str(build / "bin" / "corneltray_test"), f"--test-case={name}"],
                                  capture_output=True, text=True, timeout=UNIT_TIMEOUT_S,
                                  check=False)
        except subprocess.TimeoutExpired:
            print(f"{name}: no result after {UNIT_TIMEOUT_S} s, listed in KNOWN-RED.txt")
            continue
        if done.returncode == 0:
            print(f"{name}: passed, listed in KNOWN-RED.txt")
        else:
            print(f"{name}: failed, listed in KNOWN-RED.txt")
            print_output(done.stdout[-4000:])


def run_unit(build, red):
    """Runs the unit tests. Returns passed and failed counts of test cases without known failures.

    A name in KNOWN-RED.txt has to be that of one case, character by character.
    """
    known = red & unit_cases(build)
    run_red_unit(build, known)
    command = [str(build / "bin" / "corneltray_test")]
    if known:
        command.append("--test-case-exclude=" + ",".join(sorted(known)))
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=UNIT_TIMEOUT_S,
                              check=False)
    except subprocess.TimeoutExpired as error:
        print(f"unit tests: no result after {UNIT_TIMEOUT_S} s\n{error.stdout}")
        return 0, 1
    summary = re.search(r"test cases: *\d+ \| *(\d+) passed \| *(\d+) failed", done.stdout)
    if done.returncode != 0 or not summary:
        print(done.stdout[-20000:], done.stderr[-20000:])
    if not summary:
        return 0, 1
    passed, failed = int(summary.group(1)), int(summary.group(2))
    if done.returncode != 0 and failed == 0:
        failed = 1
    print(f"unit tests: {passed} passed, {failed} failed")
    return passed, failed


def run_case(build, case):
    """Runs one end-to-end case. Returns its name, whether it passed, and its output."""
    command = [sys.executable, str(case / "run.py"), "--build", str(build)]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=CASE_TIMEOUT_S,
                              check=False)
    except subprocess.TimeoutExpired as error:
        return case.name, False, f"no result after {CASE_TIMEOUT_S} s\n{error.stdout}"
    return case.name, done.returncode == 0, done.stdout + done.stderr


def run_cases(build, cases, jobs):
    """Runs the cases, several at once where that is allowed. Yields what run_case returns."""
    together = [case for case in cases if case.name not in ALONE]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        yield from pool.map(lambda case: run_case(build, case), together)
    for case in cases:
        if case.name in ALONE:
            yield run_case(build, case)


def print_output(output):
    """Prints what a case printed, indented: .ci/run adds up the lines that begin with a count."""
    if output:
        print(textwrap.indent(output, "    "))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, default=TOP / "build")
    parser.add_argument("--unit", action="store_true", help="also run the unit tests")
    parser.add_argument("--only-unit", action="store_true", help="leave out the end-to-end cases")
    parser.add_argument("--jobs", type=int, default=3, help="cases run at once")
    parser.add_argument("cases", nargs="*", help="names of cases; all when none is given")
    arguments = parser.parse_args()
    build = arguments.build.resolve()
    passed = failed = 0
    red = known_red()
    if arguments.unit:
        passed, failed = run_unit(build, red)
    cases = []
    if not arguments.only_unit:
        # What a build left to be written would hold up the syncs of the control hosts for seconds.
        os.sync()
        cases = sorted(path.parent for path in (TOP / "testsuite").glob("*/run.py"))
        if arguments.cases:
            cases = [case for case in cases if case.name in arguments.cases]
    for name, ok, output in run_cases(build, cases, arguments.jobs):
        if ok:
            passed += 1
            print(f"{name}: passed")
            print_output("\n".join(line for line in output.splitlines() if "KNOWN-RED" in line))
        elif name in red:
            print(f"{name}: failed, listed in KNOWN-RED.txt")
            print_output(output[-4000:])
        else:
            failed += 1
            print(f"{name}: FAILED")
            print_output(output[-20000:])
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
