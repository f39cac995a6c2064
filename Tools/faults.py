"""Injects faults into the processes of a deployment and checks its guarantees.

Kills and freezes instances, deletes a disk, lets operators race for ticket
numbers and restarts all instances, while callers send requests. Prints the
measurements; exits non-zero if a guarantee was violated.
Usage: Tools/faults [deployment]
"""
import concurrent.futures
import json
import shutil
import signal
import sys
import time
import urllib.request

import demo

RACE_COUNT = 10
MEASURED_TICKETS = 20
FREEZE_S = 8
# Pause after a fault, before the next one.
SETTLE_S = 8
# Maximum time until the awaited instances have the newest ticket.
MAX_IN_FORCE_S = 13.0
QUERY_TIMEOUT_S = 3


def get_json(deployment, instance, path):
    """The JSON at `path` of an instance, or None when it doesn't answer."""
    admin = deployment.settings[instance][1]["admin_address"]
    try:
        with urllib.request.urlopen(f"http://{admin}{path}",
                                    timeout=QUERY_TIMEOUT_S) as answer:
            return json.loads(answer.read())
    except (OSError, ValueError):
        return None


def applied_entry(deployment, instance):
    status = get_json(deployment, instance, "/v1/status")
    return status["applied_entry"] if status else -1


def newest_ticket(deployment, instance):
    status = get_json(deployment, instance, "/v1/status")
    return status["newest_ticket"] if status else -1


def wait_until(condition, limit_s):
    """Seconds until `condition` holds, or None after `limit_s`."""
    start = time.time()
    while time.time() - start < limit_s:
        if condition():
            return time.time() - start
        time.sleep(0.01)
    return None


class FaultScenario:
    """One run of the faults; collects the failures."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.failures = []
        self.number = 1  # Number of the newest ticket.
        self.accepted = {}  # Prices of the accepted tickets by number.

    def check(self, holds, failure):
        if not holds:
            print(f"  WRONG: {failure}")
            self.failures.append(failure)

    def ticket(self, number, price):
        """Writes a ticket that sets the price of the first class."""
        name = demo.WORKLOADS[self.deployment.name][0][1]
        path = self.deployment.run / f"ticket-{number}-{price}.json"
        path.write_text(json.dumps(
            {"number": number, "classes": [{"name": name, "price": price}]}))
        return path

    def submit(self, instance, number, price):
        """Submits a ticket; returns its result or "undecided"."""
        result = self.deployment.run_ctl(
            instance, "--json", "ticket", "submit",
            str(self.ticket(number, price)))
        try:
            return json.loads(result.stdout)["result"]
        except (ValueError, KeyError):
            return "undecided"

    def submit_next(self, instance, price):
        """Submits the next ticket until it is decided, at most 5 times."""
        self.number += 1
        for _ in range(5):
            result = self.submit(instance, self.number, price)
            if result != "undecided":
                break
        if result == "accepted":
            self.accepted[self.number] = price
        return result

    def running_instances(self):
        return [n for n, p in self.deployment.processes.items()
                if p.poll() is None]

    def wait_until_in_force(self, instances, limit_s=MAX_IN_FORCE_S):
        """Seconds until the instances have the newest ticket, or None."""
        return wait_until(
            lambda: all(newest_ticket(self.deployment, i) >= self.number
                        for i in instances), limit_s)

    # ---- Steps of the scenario.

    def race_operators(self):
        replicas = demo.replicas(self.deployment)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            for _ in range(RACE_COUNT):
                self.number += 1
                futures = [pool.submit(self.submit, replicas[k], self.number,
                                       100 + k) for k in range(2)]
                results = [f.result() for f in futures]
                resent = [self.submit(replicas[1 - k], self.number, 100 + k)
                          for k in range(2)]
                self.check(sorted(resent) == ["accepted", "conflict"],
                           f"race for ticket {self.number}: {resent}")
                for first, second in zip(results, resent):
                    self.check(first in (second, "undecided"),
                               f"race for ticket {self.number}: first {first}, "
                               f"resend {second}")
        print(f"  {RACE_COUNT} races of two operators for a ticket number")

    def measure_tickets(self):
        replicas = demo.replicas(self.deployment)
        times_s = []
        for i in range(MEASURED_TICKETS):
            result = self.submit_next(replicas[i % len(replicas)], 200 + i)
            self.check(result == "accepted", f"timed ticket: {result}")
            elapsed_s = self.wait_until_in_force(self.running_instances())
            self.check(elapsed_s is not None,
                       "a ticket was not in force in time")
            times_s.append(elapsed_s or MAX_IN_FORCE_S)
        times_s.sort()
        print("  from the answer until in force on "
              f"{len(self.running_instances())} instances: "
              f"median {times_s[len(times_s) // 2] * 1000:.0f} ms, "
              f"longest {times_s[-1] * 1000:.0f} ms")

    def freeze(self, name):
        print(f"  freeze {name} for {FREEZE_S} s")
        process = self.deployment.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_S / 2)
        replica = next(r for r in demo.replicas(self.deployment) if r != name)
        result = self.submit_next(replica, 300)
        self.check(result == "accepted", f"ticket during a freeze: {result}")
        time.sleep(FREEZE_S / 2)
        process.send_signal(signal.SIGCONT)
        elapsed_s = self.wait_until_in_force([name])
        self.check(elapsed_s is not None,
                   f"{name} did not catch up after the freeze")

    def kill(self, name):
        print(f"  kill -9 {name}, restart after 4 s")
        self.deployment.processes[name].kill()
        self.deployment.processes[name].wait()
        time.sleep(4)
        self.deployment.start_instance(name)
        elapsed_s = self.wait_until_in_force([name])
        self.check(elapsed_s is not None,
                   f"{name} did not catch up after its restart")

    def lose_disk(self):
        """Deletes the disk of a replica.

        The replica has lost its earlier votes, so it must not vote under its
        former identity, and it must not form a majority with one other replica.
        """
        first, second, third = demo.replicas(self.deployment)
        print(f"  lose the disk of {first}, then stop {second}")
        self.deployment.processes[first].kill()
        self.deployment.processes[first].wait()
        shutil.rmtree(self.deployment.run / first)
        self.deployment.start_instance(first)
        time.sleep(2)
        result = self.submit_next(third, 400)
        self.check(result == "accepted", f"ticket with one disk lost: {result}")
        self.deployment.processes[second].send_signal(signal.SIGSTOP)
        self.number += 1
        result = self.submit(third, self.number, 401)
        self.check(result == "undecided",
                   f"one voter and an empty disk decided a ticket: {result}")
        self.deployment.processes[second].send_signal(signal.SIGCONT)
        result = self.submit(third, self.number, 401)
        self.check(result == "accepted", f"resend after the freeze: {result}")
        self.accepted[self.number] = 401

    def restart_all(self):
        print("  kill -9 every instance, restart")
        for process in self.deployment.processes.values():
            process.kill()
            process.wait()
        for name in self.deployment.settings:
            self.deployment.start_instance(name)
        elapsed_s = self.wait_until_in_force(list(self.deployment.settings), 30)
        self.check(elapsed_s is not None,
                   "the newest ticket is not in force on all instances")
        print(f"  all instances current after {elapsed_s or -1:.1f} s")


def run(deployment):
    scenario = FaultScenario(deployment)
    for name in deployment.settings:
        deployment.start_instance(name)
    time.sleep(2)
    ticket = demo.ROOT / "Deployments" / deployment.name / "ticket-1.json"
    scenario.check(
        demo.submit(deployment, demo.replicas(deployment)[0], ticket),
        "the first ticket was not accepted")
    deployment.start_targets()
    time.sleep(2)
    callers = deployment.start_callers(100)
    scenario.race_operators()
    scenario.measure_tickets()
    non_replica = list(deployment.settings)[3]
    scenario.freeze(non_replica)
    time.sleep(SETTLE_S)
    scenario.kill(non_replica)
    time.sleep(SETTLE_S)
    scenario.freeze(demo.replicas(deployment)[0])
    scenario.lose_disk()
    scenario.restart_all()
    summary = json.loads(callers.communicate(timeout=150)[0])
    deployment.stop()
    return scenario.failures + demo.check_outcomes(
        deployment, summary, "none", 0, 0)


def main():
    failed = False
    for name in sys.argv[1:] or ["sandukuni"]:
        print(f"{name}:")
        deployment = demo.Deployment(name)
        try:
            failures = run(deployment)
        finally:
            deployment.stop()
        failed = failed or bool(failures)
        for failure in failures:
            print(f"  WRONG: {failure}")
    print("faults: FAILED" if failed else "faults: all outcomes correct")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
