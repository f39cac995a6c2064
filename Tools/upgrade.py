"""Upgrades a deployment from an older build while callers use it, and goes back.

Builds the commit beside the current build and starts all instances with it. The
instances are replaced one after the other: the entry instances first, then the
replicas. On the way back the order is the reverse. Tickets take a data centre
out and put it back while builds are mixed, an instance is killed, and all
instances are killed at once. Exits non-zero if a guarantee was violated.
Usage: Tools/upgrade COMMIT [deployment]
"""
import json
import subprocess
import sys
import time

import demo
import faults

CALLERS_RUN_S = 100
# Time to settle after the replacement of an instance and after a fault.
SETTLE_S = 1.0
FAULT_SETTLE_S = 4.0
# Time within which all instances must have applied a ticket.
MAX_IN_FORCE_S = 13.0
NEW_PROGRAM = demo.BIN / "lavendertackd"


def build(commit):
    """Builds the commit; returns the path of its lavendertackd."""
    tree = demo.ROOT / "build" / "upgrade" / commit
    if not tree.exists():
        subprocess.run(["git", "worktree", "add", "--detach", str(tree),
                        commit], cwd=demo.ROOT, check=True)
    folder = tree / "build"
    subprocess.run(["cmake", "-S", str(tree), "-B", str(folder), "-G", "Ninja",
                    "-DLAVENDERTACK_TESTS=OFF"], check=True,
                   stdout=subprocess.DEVNULL)
    subprocess.run(["cmake", "--build", str(folder), "--target",
                    "lavendertackd"], check=True, stdout=subprocess.DEVNULL)
    return folder / "bin" / "lavendertackd"


class Rollout:
    """Replaces the build of the instances of a running deployment."""

    def __init__(self, deployment, program):
        self.deployment = deployment
        self.programs = {name: program for name in deployment.settings}
        self.tickets = 0
        self.newest = 0  # Entry of the log.
        self.failures = []

    def start_all(self):
        for name, program in self.programs.items():
            self.deployment.start_instance(name, program)

    def replace(self, name, program):
        process = self.deployment.processes[name]
        process.terminate()
        process.wait(15)
        if process.returncode != 0:
            self.failures.append(f"{name} ended with {process.returncode}")
        self.programs[name] = program
        self.deployment.start_instance(name, program)
        time.sleep(SETTLE_S)

    def kill(self, names):
        print(f"  kill -9 {' '.join(names)}")
        for name in names:
            self.deployment.processes[name].kill()
        for name in names:
            self.deployment.processes[name].wait()
        time.sleep(SETTLE_S)
        for name in names:
            self.deployment.start_instance(name, self.programs[name])
        time.sleep(FAULT_SETTLE_S)

    def submit(self, data_centre, out):
        """Submits a ticket and waits until all instances have applied it."""
        self.tickets += 1
        number = self.tickets + 1
        path = self.deployment.run / f"ticket-{number}.json"
        path.write_text(json.dumps(
            {"number": number,
             "data_centres": [{"name": data_centre, "out": out}]}))
        at = demo.replicas(self.deployment)[number % 3]
        if not demo.submit(self.deployment, at, path):
            self.failures.append(f"ticket {number} was not accepted")
        self.check_applied()

    def check_applied(self):
        """Checks that all instances get to the newest entry of the log."""
        newest = max(self.applied(name)
                     for name in demo.replicas(self.deployment))
        if newest < self.newest:
            self.failures.append(f"entry {self.newest} is lost: {newest}")
        self.newest = max(newest, self.newest)
        deadline = time.monotonic() + MAX_IN_FORCE_S
        behind = list(self.programs)
        while behind and time.monotonic() < deadline:
            behind = [name for name in behind
                      if self.applied(name) < self.newest]
            time.sleep(0.1)
        for name in behind:
            self.failures.append(
                f"{name} is at entry {self.applied(name)} of {self.newest}")

    def applied(self, name):
        return faults.applied_entry(self.deployment, name) or 0


def run(deployment, old_program):
    """Runs the upgrade and the way back; returns the list of failures."""
    rollout = Rollout(deployment, old_program)
    rollout.start_all()
    time.sleep(1.5)
    replicas = demo.replicas(deployment)
    ticket = demo.ROOT / "Deployments" / deployment.name / "ticket-1.json"
    if not demo.submit(deployment, replicas[0], ticket):
        rollout.failures.append("the first ticket was not accepted")
    deployment.start_targets()
    time.sleep(2.0)
    callers = deployment.start_callers(CALLERS_RUN_S)
    time.sleep(2.0)
    entries = [name for name in deployment.settings if name not in replicas]
    data_centre = sorted({d for _, d, _, _ in deployment.targets.values()})[-1]
    for direction, program, order in [
            ("upgrade", NEW_PROGRAM, entries + replicas),
            ("way back", old_program, replicas + entries)]:
        print(f"  {direction}")
        half = len(order) // 2
        for name in order[:half]:
            rollout.replace(name, program)
        rollout.submit(data_centre, True)
        taken_out_ms = time.time() * 1000
        rollout.kill([order[0]])
        rollout.kill(list(order))
        rollout.check_applied()
        rollout.submit(data_centre, False)
        put_back_ms = time.time() * 1000
        for name in order[half:]:
            rollout.replace(name, program)
        rollout.check_applied()
    summary = json.loads(callers.communicate(timeout=120)[0])
    deployment.stop()
    return rollout.failures + demo.check_outcomes(
        deployment, summary, data_centre, taken_out_ms, put_back_ms)


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    old_program = build(sys.argv[1])
    name = sys.argv[2] if len(sys.argv) > 2 else "sandukuni"
    deployment = demo.Deployment(name)
    try:
        failures = run(deployment, old_program)
    finally:
        deployment.stop()
    for failure in failures:
        print(f"  WRONG: {failure}")
    print("upgrade: FAILED" if failures else "upgrade: all outcomes correct")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
