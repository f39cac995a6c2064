"""Measures how long a service has no owner after a kill -9.

Kills the owner of a service in a data centre and waits until the other instance
of that data centre owns the service. Then restarts the killed instance and
waits until it owns the service again.
Usage: take_over.py [deployment] [rounds]
"""
import re
import signal
import sys
import time

import demo

WAIT_LIMIT_S = 20.0
POLL_INTERVAL_S = 0.02
MAX_TAKEOVER_S = 8.0


def takeover_count(deployment, name, service):
    """How often the instance became owner of the service, by its log."""
    log = (deployment.run / f"{name}.log").read_text()
    return len(re.findall(f"taking charge of service {service}$", log, re.M))


def wait_until(condition):
    """Seconds until `condition` holds, or None after the limit."""
    start = time.monotonic()
    while time.monotonic() - start < WAIT_LIMIT_S:
        if condition():
            return time.monotonic() - start
        time.sleep(POLL_INTERVAL_S)
    return None


def measure(deployment, owner, other, service):
    """Kills and restarts `owner`.

    Returns the seconds until `other` owns the service after the kill, and until
    `owner` owns it again after the restart. A value is None if the limit passes
    first.
    """
    before = takeover_count(deployment, other, service)
    deployment.processes[owner].send_signal(signal.SIGKILL)
    deployment.processes[owner].wait()
    takeover_s = wait_until(
        lambda: takeover_count(deployment, other, service) > before)
    before = takeover_count(deployment, owner, service)
    deployment.start_instance(owner)
    return_s = wait_until(
        lambda: takeover_count(deployment, owner, service) > before)
    return takeover_s, return_s


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "sandukuni"
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    service = demo.TARGETS[name][0][0]
    deployment = demo.Deployment(name)
    passed = True
    try:
        for instance in deployment.settings:
            deployment.start_instance(instance)
        time.sleep(2)
        first_replica = demo.replicas(deployment)[0]
        ticket = demo.ROOT / "Deployments" / name / "ticket-1.json"
        demo.submit(deployment, first_replica, ticket)
        time.sleep(2)
        # The instances of the last data centre, none of which is a replica.
        pair = list(deployment.settings)[-2:]
        owner = next(i for i in pair if takeover_count(deployment, i, service))
        other = next(i for i in pair if i != owner)
        for _ in range(rounds):
            takeover_s, return_s = measure(deployment, owner, other, service)
            print(f"  {service}: taken over after {takeover_s} s, "
                  f"back after {return_s} s")
            passed = (passed and takeover_s is not None
                      and takeover_s <= MAX_TAKEOVER_S)
            passed = passed and return_s is not None
            time.sleep(1)
    finally:
        deployment.stop()
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
