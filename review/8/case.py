"""FLOW: an entry instance that is behind resets open flows of a new route.

A control machine is removed for good. Long after that, entry instances are
stopped and started in turn while a manifest adds a route. Clients open flows of
the new route; when the instance that took them leaves the rotation, the router
hands them to the others of the zone. Counted are the resets of the system's own
on flows whose host lives and has answered.
"""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins_2 import (BROKEN, HELD, cannot_run, client, deployment, host,
                        main, manifest, now, operator)

ZONES = ("z-a", "z-b", "z-c", "z-d")
CONTROLS = 4
ENTRIES_PER_ZONE = 2
HOSTS_PER_ZONE = 2
CONTACT_S = 4.0  # contact_window_ms.
FLOWS = 60
PAUSE_S = 0.1


async def case(log, trouble):
    deploy = deployment(log, ZONES, CONTROLS, ENTRIES_PER_ZONE)
    old, new = (deploy.prefix + "9", 8080), (deploy.prefix + "9", 8443)
    hosts = [host(deploy, log, "desk", zone)
             for zone in ZONES for _ in range(HOSTS_PER_ZONE)]
    tasks, people_of = [], None
    try:
        await deploy.start_all()
        people = operator(deploy, log)

        async def publish(version, routes):
            body = json.dumps(manifest(version, routes, ["desk"])).encode()
            status, _ = await people.order("PUT", "/config", body)
            if status != 200:
                raise cannot_run("manifest %d wasn't confirmed" % version)

        await publish(3, [("r-1", *old, "desk")])
        tasks.append(asyncio.create_task(deploy.probe_readiness()))
        for of in hosts:
            await of.start()
        await asyncio.sleep(5)

        # Two entry instances of a zone that follow different control instances.
        for zone in ZONES:
            here = [of for of in deploy.entries if of.zone == zone]
            sources = {of.name: deploy.state_source(of) for of in here}
            if len(set(sources.values())) > 1:
                break
        else:
            raise cannot_run("all entry instances of each zone follow the same "
                             "control instance")
        rolled, behind = here
        log.write("entry instances of", zone, sources)
        removed = next(of for of in deploy.controls
                       if of.ip == sources[behind.name])
        if trouble:
            await deploy.kill([removed])
            log.write(removed.name, "is removed for good")
        await asyncio.sleep(2.5 * CONTACT_S)

        # `rolled` is stopped as planned. Meanwhile a route is added.
        people_of = client(deploy, log, zone)
        await people_of.start()
        rolled.process.send_signal(signal.SIGTERM)
        log.write("platform stops", rolled.name, "with SIGTERM")
        while rolled.misses == 0:
            await asyncio.sleep(0.005)
        await publish(7, [("r-1", *old, "desk"), ("r-2", *new, "desk")])
        confirmed = now()
        resets = []

        def seen(at, got, port, ack, answered):
            own = got.total == 0
            log.write("client port", port, "gets a reset",
                      "of the system's own" if own else "of the host", "%.3f"
                      % (at - confirmed), "s after the confirmation;",
                      "between requests" if answered else "to its request")
            if own:
                resets.append(at)

        for _ in range(FLOWS):
            tasks.append(asyncio.create_task(
                people_of.hold(*new, PAUSE_S, seen)))
            await asyncio.sleep(0.002)
        log.write(FLOWS, "flows of the new route were tried")
        await rolled.process.wait()
        await deploy.start(rolled)
        await asyncio.sleep(4)
        log.write(sum(len(of.openings) for of in hosts),
                  "flows reached a host,", len(resets), "open flows were reset")
        if not any(of.openings for of in hosts):
            raise cannot_run("no flow reached a host")
        return BROKEN if resets else HELD
    finally:
        for task in tasks:
            task.cancel()
        for of in hosts + ([people_of] if people_of else []):
            of.stop()
        await deploy.stop()


if __name__ == "__main__":
    main(case, __file__)
