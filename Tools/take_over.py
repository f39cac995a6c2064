"""Measures how long a service is without an owner after a kill -9.

Kills the owner of a service in one data centre, waits until the other
instance has taken charge, starts the killed one again and waits until it has
its service back. Usage: take_over.py [deployment] [rounds]
"""
import re
import signal
import sys
import time

import demo

LIMIT_S = 20.0
POLL_S = 0.02
TAKE_OVER_WITHIN_S = 8.0


def taken(deployment, name, service):
    log = (deployment.run / f"{name}.log").read_text()
    return len(re.findall(f"taking charge of service {service}$", log, re.M))


def wait_for(condition):
    """Seconds until `condition` holds; None after the limit."""
    start = time.monotonic()
    while time.monotonic() - start < LIMIT_S:
        if condition():
            return time.monotonic() - start
        time.sleep(POLL_S)
    return None


def measure(deployment, owner, other, service):
    before = taken(deployment, other, service)
    deployment.processes[owner].send_signal(signal.SIGKILL)
    deployment.processes[owner].wait()
    over = wait_for(lambda: taken(deployment, other, service) > before)
    before = taken(deployment, owner, service)
    deployment.start_instance(owner)
    back = wait_for(lambda: taken(deployment, owner, service) > before)
    return over, back


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "sandukuni"
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    service = demo.HOSTS[name][0][0]
    deployment = demo.Deployment(name)
    good = True
    try:
        for instance in deployment.settings:
            deployment.start_instance(instance)
        time.sleep(2)
        first = demo.replicas(deployment)[0]
        ticket = demo.ROOT / "Deployments" / name / "ticket-1.json"
        demo.submit(deployment, first, ticket)
        time.sleep(2)
        pair = list(deployment.settings)[-2:]  # No replica is among them.
        owner = next(i for i in pair if taken(deployment, i, service))
        other = next(i for i in pair if i != owner)
        for _ in range(rounds):
            over, back = measure(deployment, owner, other, service)
            print(f"  {service}: taken over after {over} s, back after {back} s")
            good = good and over is not None and over <= TAKE_OVER_WITHIN_S
            good = good and back is not None
            time.sleep(1)
    finally:
        deployment.stop()
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
