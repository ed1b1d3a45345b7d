#!/usr/bin/env python3
"""Runs clang-tidy on the files of the compilation database in parallel.

Files whose source, preprocessed text and lint settings are unchanged since
their last clean run are skipped, because clang-tidy takes several seconds on
files that include the HTTP and WebSocket libraries.
"""
import argparse
import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def cache_folder() -> pathlib.Path:
    base = os.environ.get("XDG_CACHE_HOME") or os.path.expanduser("~/.cache")
    folder = pathlib.Path(base) / "bramleypath-lint"
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def settings_text() -> bytes:
    """Returns the lint settings without the lines that disable checks, since
    adding such a line can't cause a finding in a file that was clean before."""
    lines = (ROOT / ".clang-tidy").read_text().splitlines()
    return "\n".join(line for line in lines if not line.startswith("  -b")
                     and not line.startswith("  -p")).encode()


def preprocess_command(entry: dict) -> list:
    words = shlex.split(entry["command"])
    if words and words[0].endswith("ccache"):
        words = words[1:]
    output = words.index("-o")
    del words[output:output + 2]
    words.remove("-c")
    return words[:-1] + ["-E", "-P", words[-1]]


def content_digest(entry: dict, settings: bytes) -> str:
    text = subprocess.run(preprocess_command(entry), cwd=entry["directory"],
                          check=True, stdout=subprocess.PIPE).stdout
    source = pathlib.Path(entry["file"]).read_bytes()
    hasher = hashlib.sha256(settings)
    hasher.update(source)
    hasher.update(text)
    return hasher.hexdigest()


def lint(entry: dict, build_dir: str, settings: bytes, folder) -> tuple:
    name = os.path.relpath(entry["file"], ROOT)
    clean_marker = folder / content_digest(entry, settings)
    if clean_marker.exists():
        return name, 0, ""
    result = subprocess.run(
        ["clang-tidy", "--quiet", "-p", build_dir, entry["file"]],
        stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True,
        check=False)
    if result.returncode == 0:
        clean_marker.touch()
    return name, result.returncode, result.stdout


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build-dir", default="build")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("paths", nargs="*",
                        help="only files whose path contains one of these")
    arguments = parser.parse_args()

    database = json.loads(
        (ROOT / arguments.build_dir / "compile_commands.json").read_text())
    entries = {entry["file"]: entry for entry in database
               if not os.path.relpath(entry["file"], ROOT).startswith(
                   (arguments.build_dir, ".."))}
    selected = [entry for file, entry in sorted(entries.items())
                if not arguments.paths
                or any(path in file for path in arguments.paths)]
    settings = settings_text()
    folder = cache_folder()
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        jobs = [pool.submit(lint, entry, arguments.build_dir, settings, folder)
                for entry in selected]
        for job in concurrent.futures.as_completed(jobs):
            name, code, output = job.result()
            if code != 0:
                failed += 1
                print(f"clang-tidy: {name}\n{output}", flush=True)
    print(f"clang-tidy: {len(selected) - failed} files clean, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
