"""FAILBACK: all control processes are killed right after a zone was taken back.

A zone is evacuated. Its hosts become cold shortly before it is taken back, so
their next reports say so. Once the order to take the zone back is confirmed,
all processes of the core are killed at the same moment and are back within a
second. Counted are the requests that each cold host takes.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins_2 import (BROKEN, HELD, cannot_run, client, deployment, host,
                        main, manifest, now, operator)

COLD_S = 2.0  # cold_start_s of the manifest.
COLD_PER_S = 0.0  # cold_per_s of the manifest.
LIMIT = COLD_PER_S * 1.5 + 5  # cold_burst_factor 1.5, cold_slack 5.
ZONES = ("z-a", "z-b", "z-c")
HOSTS_PER_ZONE = 3
REQUESTS_PER_S = 80  # In each zone: 27 for each host, as on the small sites.
DOWN_S = 0.3
AFTER_S = 0.1  # From the confirmation to the kill.


def most_in_a_second(of, cold_from, cold_until):
    """The most requests that were sent and arrived inside one second while the
    host was cold."""
    cold = [(sent, arrived) for sent, arrived in of.openings
            if cold_from <= arrived <= cold_until]
    return max((sum(start <= sent and arrived <= start + 1.0
                    for sent, arrived in cold) for start, _ in cold), default=0)


async def case(log, trouble):
    deploy = deployment(log, ZONES)
    route = (deploy.prefix + "9", 8080)
    hosts = [host(deploy, log, "desk", zone)
             for zone in ZONES for _ in range(HOSTS_PER_ZONE)]
    clients = [client(deploy, log, zone) for zone in ZONES]
    tasks = []
    try:
        await deploy.start_all()
        people = operator(deploy, log)
        body = json.dumps(manifest(3, [("r-1", *route, "desk")], ["desk"],
                                   COLD_S, COLD_PER_S)).encode()
        status, _ = await people.order("PUT", "/config", body)
        if status != 200:
            raise cannot_run("the first manifest wasn't confirmed")
        tasks.append(asyncio.create_task(deploy.probe_readiness()))
        for of in hosts:
            await of.start()
        await asyncio.sleep(6)
        for of in clients:
            await of.start()
            tasks.append(asyncio.create_task(of.load(*route, REQUESTS_PER_S)))
        await asyncio.sleep(5)
        zone = ZONES[0]
        status, _ = await people.order("POST", "/evacuations/" + zone)
        if status is None:
            raise cannot_run("the evacuation wasn't confirmed")
        await asyncio.sleep(6)
        evacuated = [of for of in hosts if of.zone == zone]
        # Just after one of them has reported.
        latest = max(of.reported_at for of in evacuated)
        while max(of.reported_at for of in evacuated) == latest:
            await asyncio.sleep(0.005)
        cold_from = now()
        cold_until = cold_from + COLD_S
        for of in evacuated:
            of.cold_until = cold_until
        log.write("the hosts of", zone, "are cold for", COLD_S, "s")
        status, _ = await people.order("DELETE", "/evacuations/" + zone)
        confirmed = now()
        if status is None:
            raise cannot_run("the order to take the zone back wasn't confirmed")
        await asyncio.sleep(AFTER_S)
        if trouble:
            await deploy.kill(deploy.controls)
            deploy.bootstrap = False
            await asyncio.sleep(DOWN_S)
            for of in deploy.controls:
                await deploy.start(of)
            log.write("the core is back", round(now() - confirmed, 3),
                      "s after the confirmation")
        await asyncio.sleep(8)
        worst = 0
        for of in evacuated:
            most = most_in_a_second(of, cold_from, cold_until)
            worst = max(worst, most)
            log.write("host", of.id, "took", most, "requests in one second "
                      "while it was cold;", LIMIT, "are allowed")
        for of in clients:
            log.write("clients of", of.zone, of.ends)
        if sum(of.ends.get("answered", 0) for of in clients) < 500:
            raise cannot_run("the clients were hardly served")
        return BROKEN if worst > LIMIT else HELD
    finally:
        for task in tasks:
            task.cancel()
        for of in hosts + clients:
            of.stop()
        await deploy.stop()


if __name__ == "__main__":
    main(case, __file__)
