"""Breaks one rule of the service shard at a time; a named test must fail.

Usage: mutants.py [build folder]. The build folder must be up to date.
"""
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SHARD = "Source/Traffic/service_shard.cc"
# name, text, its replacement, test program, test case
MUTANTS = [
    ("skip the dedupe record",
     "  if (AnswerFromRecord(event, flow, request.number)) return;",
     "  if (flows_.FindRecord(flow, request.number) != nullptr &&\n"
     "      !flows_.FindRecord(flow, request.number)->live) {\n"
     "    flow->records.erase(request.number);\n"
     "  } else if (AnswerFromRecord(event, flow, request.number)) {\n"
     "    return;\n  }",
     "ServiceShardTest", "a request that may not be repeated runs at most once"),
    ("count a slot late, so that the newest start isn't seen",
     "target->busy >= UsableSlots(",
     "target->busy > UsableSlots(",
     "ServiceShardTest", "a target's limits are exact"),
    ("retry after an unknown outcome",
     "  if (!live.request.repeatable || live.attempts >= kMaxAttempts) return false;",
     "  if (live.attempts >= kMaxAttempts) return false;",
     "ServiceShardTest", "a request that may not be repeated runs at most once"),
    ("forget the epoch check",
     "  if (request.number <= flow->max_earlier_epoch_number) {",
     "  if (false) {",
     "ServiceShardTest", "a request that may not be repeated runs at most once"),
]


def run_mutant(build, mutant):
    """True when the named test case fails with the mutant."""
    name, text, replacement, program, case = mutant
    source = (ROOT / SHARD).read_text()
    if text and source.count(text) != 1:
        sys.exit(f"mutant '{name}': its text stands {source.count(text)} times")
    with tempfile.TemporaryDirectory() as folder:
        changed = pathlib.Path(folder) / "service_shard.cc"
        changed.write_text(
            source.replace(text, replacement) if text else source)
        binary = pathlib.Path(folder) / program
        objects = sorted((build / "Source/UnitTests/Traffic/CMakeFiles" /
                          f"{program}.dir").glob("*.o"))
        libraries = [build / "Source/UnitTests/libTestMain.a",
                     build / "Source/Traffic/libTraffic.a",
                     build / "Source/Common/libCommon.a"]
        subprocess.run(
            ["g++", "-std=c++20", "-O1", f"-I{ROOT / 'Source'}", changed,
             *objects, *libraries, "-lrapidcheck", "-lglog", "-lxxhash",
             "-o", binary], check=True)
        done = subprocess.run([binary, case], capture_output=True, check=False)
        return done.returncode != 0


def main():
    build = ROOT / (sys.argv[1] if len(sys.argv) > 1 else "build")
    for case in sorted({m[3:] for m in MUTANTS}):
        if run_mutant(build, ("nothing", "", "", *case)):
            sys.exit(f"{case} fails without a mutant")
    survived = 0
    for mutant in MUTANTS:
        caught = run_mutant(build, mutant)
        survived += not caught
        print(f"{mutant[0]}: {'caught by' if caught else 'SURVIVED'} "
              f"{mutant[3]}, \"{mutant[4]}\"")
    sys.exit(1 if survived else 0)


if __name__ == "__main__":
    main()
