#!/usr/bin/env python3
"""Estimates what any balancer could serve around an outage of the whole fleet.

Reads a report of the users' bench (--report) and the file of the deployment, for a
day that ends with all machines without power (closing power_off_all). For
each millisecond of the outage it follows a caller's packets: the first one and its
copies after 200 and 600 ms, and a next try after 1,400 ms. The request is served by
the first packet that reaches a running instance. The ceiling is that of an instance
that forwards from the first millisecond with power; --first gives the delay until
the instances forward, to compare with.

    Tools/outage_ceiling.py REPORT DEPLOYMENT.toml DAY [--first SECONDS]
"""
import argparse
import json
import math
import tomllib

PACKET_TIMES_S = (0.0, 0.2, 0.6, 1.4, 1.6, 2.0, 2.8)
STEP_S = 0.001
WINDOW_S = 2.0
# Parts of the worth: the two worst windows, and the share that isn't served on a
# logarithmic scale whose best value is `nines_best`.
WORST_WINDOWS = 2


def served_at(start, back, deadline):
    """Time from `start` to the first packet at or after `back`, or None."""
    for offset in PACKET_TIMES_S:
        if offset > deadline:
            return None
        if start + offset >= back:
            return offset
    return None


def outcomes(request_class, off, back, latency):
    """Counts per request a second: late and failed requests by window."""
    result = {}
    steps = round((back - off) / STEP_S)
    for i in range(steps):
        start = off + i * STEP_S
        offset = served_at(start, back, request_class["deadline_ms"] / 1000)
        window = int(start // WINDOW_S * WINDOW_S)
        counts = result.setdefault(window, {"late": 0.0, "failed": 0.0})
        if offset is None or offset + latency > request_class["deadline_ms"] / 1000:
            counts["failed"] += STEP_S
        elif offset + latency > request_class["aim_ms"] / 1000:
            counts["late"] += STEP_S
    return result


def worth_of(report, goal, windows):
    """The worth with the given windows in place of those of the report."""
    total = sum(w["n"] for w in windows.values())
    unserved = sum(w["refused"] + w["failed"] for w in windows.values())
    earned = sum(w["worth"] * w["n"] for w in windows.values())
    whole = earned / total
    # Zones and classes follow the whole day.
    parts = {name: value for name, _, value in report["parts"]}
    gain = whole - parts["whole day"]
    worst = sorted(w["worth"] for w in windows.values() if w["n"] > 0)[:WORST_WINDOWS]
    nines = min(1.0, math.log(max(unserved / total, 1e-9)) / math.log(goal["nines_best"]))
    prices = sum(price for _, _, price in report["prices"])
    return (goal["mean"] * whole + goal["window"] * sum(worst) / len(worst)
            + goal["class"] * (parts["worst class"] + gain)
            + goal["zone"] * (parts["worst zone"] + gain)
            + goal["nines"] * nines - prices)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("report")
    parser.add_argument("deployment")
    parser.add_argument("day")
    parser.add_argument("--first", type=float, default=0.0,
                        help="seconds from power to the first forwarded packet")
    arguments = parser.parse_args()
    with open(arguments.report, encoding="utf-8") as file:
        report = json.load(file)
    with open(arguments.deployment, "rb") as file:
        deployment = tomllib.load(file)
    day = next(d for d in deployment["day"] if d["name"] == arguments.day)
    if day["closing"]["kind"] != "power_off_all":
        parser.error(f"{arguments.day} doesn't end with all machines without power")
    off = next(e["at_s"] for e in report["events"] if e["kind"].startswith("closing"))
    back = off + day["closing"]["down_s"] + arguments.first

    windows = {int(w["name"]): dict(w) for w in report["windows"]}
    last = int(back // WINDOW_S * WINDOW_S)
    touched = [w for w in windows if off // WINDOW_S * WINDOW_S <= w <= last + WINDOW_S]
    classes = {c["name"]: c for c in report["classes"]}
    requests = sum(c["n"] for c in report["classes"])
    measured = {k: sum(windows[w][k] for w in touched) for k in ("late", "refused", "failed")}
    weight_sum = sum(classes[c["name"]]["n"] * c["worth"] for c in deployment["classes"])
    possible = {"late": 0.0, "failed": 0.0}
    for w in touched:
        windows[w].update(late=0.0, refused=0, failed=0.0, lost=0.0)
    for c in deployment["classes"]:
        share = classes[c["name"]]["n"] / requests
        for w, counts in outcomes(c, off, back, classes[c["name"]]["p50_ms"] / 1000).items():
            if w not in windows:
                continue
            rate = share * windows[w]["n"] / WINDOW_S
            late, failed = counts["late"] * rate, counts["failed"] * rate
            windows[w]["late"] += late
            windows[w]["failed"] += failed
            windows[w]["lost"] += failed * c["worth"] + late * (c["worth"] - c["late_worth"])
            possible["late"] += late
            possible["failed"] += failed
    for w in touched:
        owed = windows[w]["n"] * weight_sum / requests
        windows[w]["worth"] = 1 - windows[w]["lost"] / owed if owed else 1.0
    print(f"outage {off:.2f} to {back:.2f} s; windows {touched}")
    print(f"measured: late {measured['late']}, not served "
          f"{measured['refused'] + measured['failed']}; worth {report['G']:.3f}")
    print(f"possible: late {possible['late']:.0f}, not served {possible['failed']:.0f}; "
          f"worth {worth_of(report, deployment['goal'], windows):.3f}")


if __name__ == "__main__":
    main()
