"""Runs a deployment as separate processes and checks the outcomes.

Instances, targets and callers are processes of their own. While the callers
run, an instance is killed, a target is drained, and a data centre is taken out
of service and put back.
"""
import json
import pathlib
import secrets
import shutil
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "bin"
CALLERS_RUN_S = 24
# Maximum time from the ticket that takes a data centre out of service until the
# last request starts there.
MAX_TAKE_OUT_S = 3.0
# Callers of each deployment: service, class, flows, repeatable (0 or 1), mean
# think time in ms.
WORKLOADS = {
    "sandukuni": [
        ("catalogue", "browse", 120, 1, 1500),
        ("catalogue", "hold", 40, 0, 1500),
        ("guides", "guide", 20, 1, 2500),
    ],
    "mwakilema": [
        ("waivers", "queue", 120, 1, 1500),
        ("waivers", "signature", 40, 0, 1500),
        ("packs", "pack", 20, 1, 2500),
    ],
}
# Targets of each deployment: service, number of targets, mean service time in
# ms, size of an answer in bytes.
TARGETS = {
    "sandukuni": [("catalogue", 14, 25, 400), ("guides", 4, 60, 20000)],
    "mwakilema": [("waivers", 14, 25, 400), ("packs", 4, 60, 20000)],
}


class Deployment:
    """The processes of one deployment, their settings and output files."""

    def __init__(self, name):
        self.name = name
        self.run = ROOT / "build" / "demo" / name
        shutil.rmtree(self.run, ignore_errors=True)
        self.run.mkdir(parents=True)
        self.token = self.run / "admin-token"
        self.token.touch(mode=0o600)
        self.token.write_text(secrets.token_urlsafe(24))
        # By instance name: path of the settings file, and its content.
        self.settings = {}
        for path in sorted((ROOT / "Deployments" / name).glob("*-*[ab].json")):
            settings = json.loads(path.read_text())
            if "data_folder" in settings:
                settings["data_folder"] = str(self.run / settings["instance"])
            settings["admin_token_file"] = str(self.token)
            settings["stop_within_ms"] = 3000
            copy = self.run / path.name
            copy.write_text(json.dumps(settings))
            self.settings[settings["instance"]] = (copy, settings)
        # Instances' processes by name.
        self.processes = {}
        # By name: process, data centre, service and path of the journal.
        self.targets = {}

    def start_instance(self, name, program=BIN / "lavendertackd"):
        path, _ = self.settings[name]
        log = open(self.run / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [program, f"--settings={path}"], stderr=log, stdout=log)

    def start_targets(self):
        addresses = {}
        for _, settings in self.settings.values():
            instance = next(i for i in settings["instances"]
                            if i["name"] == settings["instance"])
            addresses.setdefault(instance["data_centre"], []).append(
                settings["target_address"])
        data_centres = sorted(addresses)
        count = 0
        for service, target_count, mean_ms, body_bytes in TARGETS[self.name]:
            for i in range(target_count):
                data_centre = data_centres[count % len(data_centres)]
                count += 1
                name = f"{service}-{i:02}"
                journal = self.run / f"{name}.journal"
                process = subprocess.Popen([
                    BIN / "standin", "--mode=target", f"--name={name}",
                    f"--service={service}",
                    f"--connect={','.join(addresses[data_centre])}",
                    f"--service_ms={mean_ms}", f"--body_bytes={body_bytes}",
                    f"--journal={journal}", "--cold_ms=500"])
                self.targets[name] = (process, data_centre, service, journal)

    def start_callers(self, seconds=CALLERS_RUN_S):
        mix = ",".join("/".join(map(str, m)) for m in WORKLOADS[self.name])
        addresses = ",".join(
            s["caller_address"] for _, s in self.settings.values())
        return subprocess.Popen(
            [BIN / "standin", "--mode=callers", f"--instances={addresses}",
             f"--mix={mix}", f"--seconds={seconds}"],
            stdout=subprocess.PIPE, text=True)

    def run_ctl(self, instance, *words):
        """Runs lavendertackctl with the arguments `words` at an instance."""
        admin = self.settings[instance][1]["admin_address"]
        return subprocess.run(
            [BIN / "lavendertackctl", f"--admin={admin}",
             f"--token_file={self.token}", *words],
            capture_output=True, text=True, check=False)

    def stop(self):
        processes = [p for p, *_ in self.targets.values()]
        processes += self.processes.values()
        for process in processes:
            if process.poll() is None:
                process.terminate()
        for process in processes:
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()

    def journal(self, name):
        """The words of each line of a target's journal.

        A line is the time in ms, then "run", service, flow, request and
        "repeatable" or "once"; or the time, "end" and max_busy=N.
        """
        path = self.targets[name][3]
        if not path.exists():
            return []
        return [line.split() for line in path.read_text().splitlines()]


def replicas(deployment):
    """Names of the instances that are replicas."""
    _, settings = next(iter(deployment.settings.values()))
    return [i["name"] for i in settings["instances"] if i["replica"]]


def submit(deployment, instance, path):
    """Submits a ticket file; returns whether it was accepted."""
    result = deployment.run_ctl(instance, "ticket", "submit", str(path))
    print(f"  ticket {path.name}: {result.stdout.strip() or result.stderr}")
    return result.returncode == 0


def run(deployment):
    """Runs the scenario; returns the list of failures."""
    failures = []
    for name in deployment.settings:
        deployment.start_instance(name)
    time.sleep(1.5)
    first_replica = replicas(deployment)[0]
    ticket = ROOT / "Deployments" / deployment.name / "ticket-1.json"
    if not submit(deployment, first_replica, ticket):
        failures.append("the first ticket was not accepted")
    deployment.start_targets()
    time.sleep(2.0)
    callers = deployment.start_callers()
    time.sleep(5)

    names = list(deployment.settings)
    killed = names[3]
    print(f"  kill -9 {killed}")
    deployment.processes[killed].kill()
    deployment.processes[killed].wait()
    time.sleep(3)
    deployment.start_instance(killed)

    drained = next(iter(deployment.targets))
    print(f"  drain {drained}")
    deployment.targets[drained][0].send_signal(signal.SIGUSR1)
    time.sleep(3)

    data_centres = sorted(
        {location for _, location, _, _ in deployment.targets.values()})
    data_centre = data_centres[-1]
    take_out_ticket = deployment.run / "ticket-2.json"
    take_out_ticket.write_text(json.dumps(
        {"number": 2, "data_centres": [{"name": data_centre, "out": True}]}))
    taken_out_ms = time.time() * 1000
    if not submit(deployment, replicas(deployment)[1], take_out_ticket):
        failures.append("the second ticket was not accepted")
    time.sleep(6)
    put_back_ticket = deployment.run / "ticket-3.json"
    put_back_ticket.write_text(json.dumps(
        {"number": 3, "data_centres": [{"name": data_centre, "out": False}]}))
    put_back_ms = time.time() * 1000
    if not submit(deployment, replicas(deployment)[2], put_back_ticket):
        failures.append("the third ticket was not accepted")
    summary = json.loads(callers.communicate(timeout=60)[0])
    deployment.stop()
    return failures + check_outcomes(
        deployment, summary, data_centre, taken_out_ms, put_back_ms)


def check_outcomes(deployment, summary, data_centre, taken_out_ms,
                   put_back_ms):
    """Checks and prints what the callers and targets recorded.

    `data_centre` was out of service from `taken_out_ms` to `put_back_ms`, both
    in ms of the wall clock. Returns the list of failures.
    """
    failures = []
    run_once, run_twice, misrouted, last_run_ms = set(), 0, 0, taken_out_ms
    for name, (_, location, service, _) in deployment.targets.items():
        for line in deployment.journal(name):
            if line[1] == "end" and int(line[2].split("=")[1]) > 2:
                failures.append(f"{name} ran more than 2 requests at a time")
            if line[1] != "run":
                continue
            if line[2] != service:
                misrouted += 1
            if line[5] == "once":
                key = (line[3], line[4])
                run_twice += key in run_once
                run_once.add(key)
            if (location == data_centre
                    and taken_out_ms < int(line[0]) < put_back_ms):
                last_run_ms = max(last_run_ms, int(line[0]))
    counts_by_service = {}
    for target, count in summary["served_by_target"].items():
        counts_by_service.setdefault(
            target.rsplit("-", 1)[0], []).append(count)
    for key, value in summary.items():
        if key != "served_by_target":
            print(f"  {key}: {value}")
    for service, counts in counts_by_service.items():
        mean = sum(counts) / len(counts)
        print(f"  imbalance of {service}: max/mean {max(counts) / mean:.2f} "
              f"over {len(counts)} targets")
    take_out_s = (last_run_ms - taken_out_ms) / 1000
    print(f"  requests at a wrong service: {misrouted}")
    print(f"  non-repeatable requests run: {len(run_once)}, twice: {run_twice}")
    print(f"  last packet into {data_centre}: {take_out_s:.2f} s "
          "after the ticket")
    if summary["served"] < 1000:
        failures.append("too few requests were served")
    if summary["wrong_answer"]:
        failures.append("a caller received a wrong answer")
    if misrouted:
        failures.append("a request ran at a target of another service")
    if run_twice:
        failures.append("a non-repeatable request ran twice")
    if take_out_s > MAX_TAKE_OUT_S:
        failures.append("the data centre received packets for too long")
    return failures


def main():
    names = sys.argv[1:] or list(WORKLOADS)
    failed = False
    for name in names:
        print(f"{name}:")
        deployment = Deployment(name)
        try:
            failures = run(deployment)
        finally:
            deployment.stop()
        for failure in failures:
            print(f"  WRONG: {failure}")
        failed = failed or bool(failures)
    print("demo: FAILED" if failed else "demo: all outcomes correct")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
