"""Mutation test of the service shard.

For each mutant, changes one rule in the source and checks that the named test
case fails.
Usage: mutants.py [build folder]. The build folder must be up to date.
"""
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
MUTATED_SOURCE = "Source/Traffic/service_shard.cc"
# Each mutant: name, original text, its replacement, test program, test case.
MUTANTS = [
    ("skip the record of finished requests",
     "  if (AnswerFromRecord(event, flow, request.number)) return;",
     "  if (flows_.FindRecord(flow, request.number) != nullptr &&\n"
     "      !flows_.FindRecord(flow, request.number)->live) {\n"
     "    flow->records.erase(request.number);\n"
     "  } else if (AnswerFromRecord(event, flow, request.number)) {\n"
     "    return;\n  }",
     "ServiceShardTest", "a request that may not be repeated runs at most once"),
    ("allow one request more than the usable slots",
     "target->busy >= UsableSlots(",
     "target->busy > UsableSlots(",
     "ServiceShardTest", "a target's limits are exact"),
    ("retry after an unknown outcome",
     "  if (!live.request.repeatable || live.attempts >= kMaxAttempts) return false;",
     "  if (live.attempts >= kMaxAttempts) return false;",
     "ServiceShardTest", "a request that may not be repeated runs at most once"),
    ("skip the check for requests of an earlier epoch",
     "  if (request.number <= flow->max_earlier_epoch_number) {",
     "  if (false) {",
     "ServiceShardTest", "a request that may not be repeated runs at most once"),
]


def run_mutant(build, mutant):
    """Returns whether the mutant's test case fails on the changed source.

    An empty original text leaves the source unchanged.
    """
    name, original, replacement, program, case = mutant
    source = (ROOT / MUTATED_SOURCE).read_text()
    if original and source.count(original) != 1:
        sys.exit(f"mutant '{name}': its original text occurs "
                 f"{source.count(original)} times")
    with tempfile.TemporaryDirectory() as folder:
        mutated = pathlib.Path(folder) / "service_shard.cc"
        mutated.write_text(
            source.replace(original, replacement) if original else source)
        binary = pathlib.Path(folder) / program
        objects = sorted((build / "Source/UnitTests/Traffic/CMakeFiles" /
                          f"{program}.dir").glob("*.o"))
        libraries = [build / "Source/UnitTests/libTestMain.a",
                     build / "Source/Traffic/libTraffic.a",
                     build / "Source/Common/libCommon.a"]
        subprocess.run(
            ["g++", "-std=c++20", "-O1", f"-I{ROOT / 'Source'}", mutated,
             *objects, *libraries, "-lrapidcheck", "-lglog", "-lxxhash",
             "-o", binary], check=True)
        result = subprocess.run([binary, case], capture_output=True,
                                check=False)
        return result.returncode != 0


def main():
    build = ROOT / (sys.argv[1] if len(sys.argv) > 1 else "build")
    for case in sorted({m[3:] for m in MUTANTS}):
        if run_mutant(build, ("nothing", "", "", *case)):
            sys.exit(f"{case} fails without a mutant")
    survived = 0
    for mutant in MUTANTS:
        failed = run_mutant(build, mutant)
        survived += not failed
        print(f"{mutant[0]}: {'caught by' if failed else 'SURVIVED'} "
              f"{mutant[3]}, \"{mutant[4]}\"")
    sys.exit(1 if survived else 0)


if __name__ == "__main__":
    main()
