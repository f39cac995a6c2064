"""Breaks real processes of a deployment and checks what must still hold.

Kills, freezes, lost disks, operator races and a restart of everything, while
callers keep working. Prints what was measured; exits non-zero if a point of
the brief was violated. Usage: Tools/faults [deployment]
"""
import concurrent.futures
import json
import shutil
import signal
import sys
import time
import urllib.request

import demo

RACES = 10
TIMED_TICKETS = 20
FREEZE_S = 8
SETTLE_S = 8
IN_FORCE_WITHIN_S = 13.0
QUICK_TIMEOUT_S = 3


def get(deployment, instance, path):
    """The JSON at `path` of an instance, or None when it doesn't answer."""
    admin = deployment.settings[instance][1]["admin_address"]
    try:
        with urllib.request.urlopen(f"http://{admin}{path}",
                                    timeout=QUICK_TIMEOUT_S) as answer:
            return json.loads(answer.read())
    except (OSError, ValueError):
        return None


def applied(deployment, instance):
    status = get(deployment, instance, "/v1/status")
    return status["applied_entry"] if status else -1


def newest(deployment, instance):
    status = get(deployment, instance, "/v1/status")
    return status["newest_ticket"] if status else -1


def wait_until(condition, limit_s):
    """Seconds until `condition` holds, or None."""
    start = time.time()
    while time.time() - start < limit_s:
        if condition():
            return time.time() - start
        time.sleep(0.01)
    return None


class Story:
    """One run; collects what went wrong."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.wrong = []
        self.number = 1
        self.accepted = {}

    def check(self, good, what):
        if not good:
            print(f"  WRONG: {what}")
            self.wrong.append(what)

    def ticket(self, number, price):
        """A ticket file that sets the price of the patient class."""
        name = demo.MIXES[self.deployment.name][0][1]
        path = self.deployment.run / f"ticket-{number}-{price}.json"
        path.write_text(json.dumps(
            {"number": number, "classes": [{"name": name, "price": price}]}))
        return path

    def submit(self, instance, number, price):
        done = self.deployment.ctl(
            instance, "--json", "ticket", "submit",
            str(self.ticket(number, price)))
        try:
            return json.loads(done.stdout)["result"]
        except (ValueError, KeyError):
            return "undecided"

    def accept(self, instance, price):
        """Submits the next ticket until it has an outcome."""
        self.number += 1
        for _ in range(5):
            result = self.submit(instance, self.number, price)
            if result != "undecided":
                break
        if result == "accepted":
            self.accepted[self.number] = price
        return result

    def live(self):
        return [n for n, p in self.deployment.processes.items()
                if p.poll() is None]

    def in_force(self, instances, limit_s=IN_FORCE_WITHIN_S):
        return wait_until(
            lambda: all(newest(self.deployment, i) >= self.number
                        for i in instances), limit_s)

    # ---- The parts of the story.

    def races(self):
        replicas = demo.replicas(self.deployment)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            for _ in range(RACES):
                self.number += 1
                pair = [pool.submit(self.submit, replicas[k], self.number,
                                    100 + k) for k in range(2)]
                results = [p.result() for p in pair]
                again = [self.submit(replicas[1 - k], self.number, 100 + k)
                         for k in range(2)]
                self.check(sorted(again) == ["accepted", "conflict"],
                           f"race over {self.number}: {again}")
                for first, second in zip(results, again):
                    self.check(first in (second, "undecided"),
                               f"race over {self.number}: first {first}, "
                               f"resend {second}")
        print(f"  {RACES} races over equal numbers")

    def times(self):
        replicas = demo.replicas(self.deployment)
        times = []
        for i in range(TIMED_TICKETS):
            result = self.accept(replicas[i % len(replicas)], 200 + i)
            self.check(result == "accepted", f"timed ticket: {result}")
            took = self.in_force(self.live())
            self.check(took is not None, "a ticket was not in force in time")
            times.append(took or IN_FORCE_WITHIN_S)
        times.sort()
        print(f"  answer until in force on {len(self.live())} instances: "
              f"median {times[len(times) // 2] * 1000:.0f} ms, "
              f"longest {times[-1] * 1000:.0f} ms")

    def freeze(self, name):
        print(f"  freeze {name} for {FREEZE_S} s")
        process = self.deployment.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_S / 2)
        replica = next(r for r in demo.replicas(self.deployment) if r != name)
        result = self.accept(replica, 300)
        self.check(result == "accepted", f"ticket during a freeze: {result}")
        time.sleep(FREEZE_S / 2)
        process.send_signal(signal.SIGCONT)
        took = self.in_force([name])
        self.check(took is not None, f"{name} did not catch up")

    def kill(self, name):
        print(f"  kill -9 {name}, restart after 4 s")
        self.deployment.processes[name].kill()
        self.deployment.processes[name].wait()
        time.sleep(4)
        self.deployment.start_instance(name)
        took = self.in_force([name])
        self.check(took is not None, f"{name} did not come back current")

    def lost_disk(self):
        """A replica without its disk must not vote as its old self."""
        first, second, third = demo.replicas(self.deployment)
        print(f"  lose the disk of {first}, then stop {second}")
        self.deployment.processes[first].kill()
        self.deployment.processes[first].wait()
        shutil.rmtree(self.deployment.run / first)
        self.deployment.start_instance(first)
        time.sleep(2)
        result = self.accept(third, 400)
        self.check(result == "accepted", f"ticket with one disk lost: {result}")
        self.deployment.processes[second].send_signal(signal.SIGSTOP)
        self.number += 1
        result = self.submit(third, self.number, 401)
        self.check(result == "undecided",
                   f"one voter and an empty disk answered: {result}")
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
        took = self.in_force(list(self.deployment.settings), 30)
        self.check(took is not None, "the newest ticket is not in force")
        print(f"  all instances current after {took or -1:.1f} s")


def run(deployment):
    story = Story(deployment)
    for name in deployment.settings:
        deployment.start_instance(name)
    time.sleep(2)
    ticket = demo.ROOT / "Deployments" / deployment.name / "ticket-1.json"
    story.check(demo.submit(deployment, demo.replicas(deployment)[0], ticket),
                "the first ticket was not accepted")
    deployment.start_targets()
    time.sleep(2)
    callers = deployment.start_callers(100)
    story.races()
    story.times()
    owner = list(deployment.settings)[3]
    story.freeze(owner)
    time.sleep(SETTLE_S)
    story.kill(owner)
    time.sleep(SETTLE_S)
    story.freeze(demo.replicas(deployment)[0])
    story.lost_disk()
    story.restart_all()
    summary = json.loads(callers.communicate(timeout=150)[0])
    deployment.stop()
    return story.wrong + demo.judge(deployment, summary, "none", 0, 0)


def main():
    failed = False
    for name in sys.argv[1:] or ["sandukuni"]:
        print(f"{name}:")
        deployment = demo.Deployment(name)
        try:
            wrong = run(deployment)
        finally:
            deployment.stop()
        failed = failed or bool(wrong)
        for what in wrong:
            print(f"  WRONG: {what}")
    print("faults: FAILED" if failed else "faults: all outcomes right")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
