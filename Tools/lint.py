"""Runs clang-tidy in parallel and caches the sources without findings."""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

# Number of concurrent runs of clang-tidy, unless LINT_JOBS sets another one.
JOBS = int(os.environ.get("LINT_JOBS", os.cpu_count() or 1))


def cache_key(entry, checks):
    """Hash of the checks, the source file and its preprocessed text."""
    words = [w for w in shlex.split(entry["command"]) if "ccache" not in w]
    out = words.index("-o")
    del words[out:out + 2]
    words[words.index("-c")] = "-E"
    text = subprocess.run(words, cwd=entry["directory"], capture_output=True,
                          check=True).stdout
    source = pathlib.Path(entry["file"]).read_bytes()
    return hashlib.sha256(checks + source + text).hexdigest()


def lint(entry, folder, cache, checks):
    """Returns the exit code and output of clang-tidy; (0, "") if cached.

    Only runs without findings are cached.
    """
    marker = cache / cache_key(entry, checks)
    if marker.exists():
        return 0, ""
    result = subprocess.run(
        ["clang-tidy", "--quiet", "-p", str(folder), entry["file"]],
        capture_output=True, text=True, check=False)
    if result.returncode == 0:
        marker.touch()
    return result.returncode, result.stdout + result.stderr


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    folder = root / sys.argv[1]
    checks = (root / ".clang-tidy").read_bytes()
    cache = pathlib.Path(os.environ.get("LINT_CACHE", folder / "lint-cache"))
    cache.mkdir(parents=True, exist_ok=True)
    entries = [
        e for e in json.loads((folder / "compile_commands.json").read_text())
        if not e["file"].endswith(".pb.cc")
    ]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        runs = pool.map(lambda e: lint(e, folder, cache, checks), entries)
        for entry, (code, output) in zip(entries, runs):
            if code:
                failed += 1
                print(entry["file"])
                print(output)
    print(f"lint: {len(entries)} files, {failed} with findings")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
