"""Runs the test programs of a build folder and counts the test cases.

A failing test case that KNOWN-RED.txt lists in a line
"test: <program>: <test case name>" is printed but doesn't fail the run.
Usage: run_tests.py FOLDER [options of the test programs, e.g. --runs 3]
"""
import concurrent.futures
import pathlib
import re
import subprocess
import sys
import xml.etree.ElementTree as ElementTree

# Maximum run time of a test program.
TIMEOUT_S = 1200


def read_known_failures(root):
    """Entries of KNOWN-RED.txt, by program and test case."""
    path = root / "KNOWN-RED.txt"
    if not path.exists():
        return {}
    entries = {}
    for line in path.read_text().splitlines():
        if match := re.match(r"test: ([^:]+): (.+)", line):
            entries[(match[1].strip(), match[2].strip())] = line
    return entries


def run_program(program, options):
    """Returns (program name, passed cases, failed cases, output)."""
    try:
        result = subprocess.run(
            [str(program), "-r", "xml", "-d", "yes", *options],
            capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
    except subprocess.TimeoutExpired:
        return program.name, [], ["(timed out)"], ""
    try:
        document = ElementTree.fromstring(result.stdout)
    except ElementTree.ParseError:
        return program.name, [], ["(crashed)"], result.stdout + result.stderr
    passed, failed = [], []
    for case in document.iter("TestCase"):
        overall = case.find("OverallResult")
        success = overall is not None and overall.get("success") == "true"
        (passed if success else failed).append(case.get("name"))
    if result.returncode != 0 and not failed:
        failed.append("(exit code %d)" % result.returncode)
    return program.name, passed, failed, result.stdout + result.stderr


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    folder = root / sys.argv[1] / "bin"
    programs = sorted(folder.glob("*Test"))
    known_failures = read_known_failures(root)
    passed_count, failed_count, known_count = 0, 0, 0
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        for name, passed, failed, output in pool.map(
                lambda p: run_program(p, sys.argv[2:]), programs):
            print(f"{name}: {len(passed)} passed, {len(failed)} failed")
            passed_count += len(passed)
            for case in failed:
                if (name, case) in known_failures:
                    known_count += 1
                    print(f"  known red: {case}")
                    continue
                failed_count += 1
                print(f"  FAILED: {case}")
                print(output[-6000:])
    print(f"{passed_count} passed, {failed_count} failed, "
          f"{known_count} skipped")
    sys.exit(1 if failed_count or not passed_count else 0)


if __name__ == "__main__":
    main()
