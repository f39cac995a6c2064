"""Measures control traffic, CPU time and memory of idle instances.

Usage: python3 Tools/measure_control.py 8 16 32
For each number, starts that many instances in four data centres on loopback,
submits a ticket, waits, and prints the cost per instance.
"""
import json
import os
import re
import shutil
import subprocess
import sys
import time
import urllib.request

import demo

# Each instance uses four consecutive ports.
FIRST_PORT = 25000
SETTLE_S = 6
MEASURE_S = 10
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def write_settings(count, folder):
    """Writes settings of `count` instances, three of them replicas."""
    instances = [
        {
            "name": f"i{i:03}",
            "data_centre": f"nairobi-{i % 4 + 1}",
            "peer_address": f"127.0.0.1:{FIRST_PORT + 4 * i}",
            "replica": i < 3,
        }
        for i in range(count)
    ]
    paths = []
    for i, instance in enumerate(instances):
        port = FIRST_PORT + 4 * i
        settings = {
            "deployment": "measure",
            "instance": instance["name"],
            "caller_address": f"127.0.0.1:{port + 1}",
            "target_address": f"127.0.0.1:{port + 2}",
            "admin_address": f"127.0.0.1:{port + 3}",
            "instances": instances,
        }
        if instance["replica"]:
            settings["data_folder"] = str(folder / instance["name"])
        path = folder / f"{instance['name']}.json"
        path.write_text(json.dumps(settings))
        paths.append(path)
    return paths


def control_bytes(i):
    """Bytes that instance `i` has exchanged with other instances so far."""
    url = f"http://127.0.0.1:{FIRST_PORT + 4 * i + 3}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        text = answer.read().decode()
    values = re.findall(
        r"^lavendertack_peer_(?:sent|received)_bytes_total (\S+)$", text, re.M)
    return sum(float(value) for value in values)


def cpu_s(process):
    """CPU time of the process so far, in s."""
    fields = open(f"/proc/{process.pid}/stat").read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(process):
    """Resident memory of the process, in MiB."""
    status = open(f"/proc/{process.pid}/status").read()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024


def measure(count):
    folder = demo.ROOT / "build" / "measure"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    processes = [
        subprocess.Popen([demo.BIN / "lavendertackd", f"--settings={path}"],
                         stderr=subprocess.DEVNULL)
        for path in write_settings(count, folder)
    ]
    try:
        time.sleep(SETTLE_S)
        ticket = demo.ROOT / "Deployments" / "sandukuni" / "ticket-1.json"
        subprocess.run(
            [demo.BIN / "lavendertackctl",
             f"--admin=127.0.0.1:{FIRST_PORT + 3}", "ticket", "submit",
             str(ticket)], capture_output=True, check=False, timeout=60)
        time.sleep(SETTLE_S)
        # Indexes of the measured instances; neither is a replica.
        sample = [3, count - 1]
        bytes_before = [control_bytes(i) for i in sample]
        cpu_before = [cpu_s(processes[i]) for i in sample]
        time.sleep(MEASURE_S)
        rate = [(control_bytes(i) - before) / MEASURE_S
                for i, before in zip(sample, bytes_before)]
        cpu = [(cpu_s(processes[i]) - before) / MEASURE_S
               for i, before in zip(sample, cpu_before)]
        memory = [resident_mb(processes[i]) for i in sample]
        print(f"{count:4} instances: {sum(rate) / len(rate):8.0f} bytes/s "
              f"sent and received, {100 * sum(cpu) / len(cpu):5.2f} % of a "
              f"core, {sum(memory) / len(memory):5.1f} MB", flush=True)
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()


if __name__ == "__main__":
    for count in sys.argv[1:] or ["8"]:
        measure(int(count))
