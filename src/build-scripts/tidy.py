"""Runs clang-tidy over the translation units of a build, in parallel, skipping units that passed before unchanged."""

import argparse
import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys


def unit_hash(entry, rules):
    """Returns a hash of the preprocessed unit and the rules, or None when preprocessing fails."""
    words = shlex.split(entry["command"])
    if "ccache" in words[0]:
        words = words[1:]
    output_at = words.index("-o")
    del words[output_at:output_at + 2]
    words = [word for word in words if word != "-c"] + ["-E", "-P"]
    done = subprocess.run(words, cwd=entry["directory"], capture_output=True, check=False)
    if done.returncode != 0:
        return None
    own = pathlib.Path(entry["file"]).read_bytes()
    return hashlib.sha256(rules + own + done.stdout).hexdigest()


def check(entry, build, cache, rules):
    """Returns the findings of one unit; an empty text means that it is clean."""
    key = unit_hash(entry, rules)
    stamp = cache / key if key else None
    if stamp and stamp.exists():
        return ""
    done = subprocess.run(["clang-tidy", "--quiet", "-p", build, entry["file"]],
                          capture_output=True, text=True, check=False)
    if done.returncode == 0:
        if stamp:
            stamp.touch()
        return ""
    return done.stdout + done.stderr


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--cache", required=True, type=pathlib.Path)
    parser.add_argument("files", nargs="*", help="only units whose path contains one of these texts")
    arguments = parser.parse_args()
    entries = json.loads((pathlib.Path(arguments.build) / "compile_commands.json").read_text())
    if arguments.files:
        entries = [e for e in entries if any(text in e["file"] for text in arguments.files)]
    rules = pathlib.Path(".clang-tidy").read_bytes()
    bad = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        jobs = [pool.submit(check, e, arguments.build, arguments.cache, rules) for e in entries]
        for job in concurrent.futures.as_completed(jobs):
            if job.result():
                bad += 1
                print(job.result())
    print(f"clang-tidy: {len(entries) - bad} units clean, {bad} with findings")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
