"""A backend falls silent for good while its agent stands still, and its address goes to another service."""

import asyncio
import itertools
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-in-3"))
from platform_stand_in import now, play  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REUSE_AFTER_S = 2.05  # reuseAfterS: 2
EVENTS = 10
FREEZE_AFTER_S = 0.28  # after the backend has fallen silent
READ_BEFORE_FREEZE_S = 0.1  # the agent has read its settings this long before it stands still
POLL_S = 2.0
ROUTES = {8443: "logbook", 9443: "certdesk"}
FLOWS_PER_S = 380  # the site has about 400 requests a second


async def next_read(world, machine):
    """Changes the order of the seeds and returns when the agent has read it, by its log."""
    path = os.path.join(world.folder, machine.name + ".log")
    position = os.path.getsize(path)
    world.balancers.append(world.balancers.pop(0))
    machine.write_settings()
    for _ in range(1000):
        with open(path, "rb") as log:
            log.seek(position)
            if b"event=settings_applied" in log.read():
                return now()
        await asyncio.sleep(0.005)
    raise OSError("the settings were not read")


async def replace(world, machine, ident):
    """The backend of the machine ends silently, its agent stands still, the other service gets the address."""
    # What the agent reads while the address is used again would end the case, so it has to have read just before.
    read_at = await next_read(world, machine)
    await asyncio.sleep(read_at + POLL_S + READ_BEFORE_FREEZE_S - FREEZE_AFTER_S - now())
    former = world.backends[machine.name]
    ended = now()
    former.fall_silent()
    world.note("silent", backend=former.id, service=machine.service)
    await asyncio.sleep(FREEZE_AFTER_S)
    machine.signal(signal.SIGSTOP)
    world.note("frozen", machine=machine.name)
    await asyncio.sleep(ended + REUSE_AFTER_S - now())
    machine.service = "certdesk" if machine.service == "logbook" else "logbook"
    machine.write_settings()
    former.release_address()
    await world.start_backend(machine, ident, warm=False)
    machine.signal(signal.SIGCONT)
    world.note("thawed", machine=machine.name, after=round(now() - ended - FREEZE_AFTER_S, 3))


async def scenario(world):
    await world.start([(world.routable, port, {service: 1}) for port, service in ROUTES.items()], ["logbook", "certdesk"])
    requests, is_over = [], False

    async def load():
        ports = itertools.cycle(ROUTES)
        while not is_over:
            port = next(ports)
            client = world.clients[len(requests) % len(world.clients)]
            requests.append(asyncio.create_task(client.request((world.routable, port), f"{port}-{len(requests)}")))
            await asyncio.sleep(1 / FLOWS_PER_S)

    traffic = asyncio.create_task(load())
    await asyncio.sleep(2)
    for event in range(EVENTS):
        if TROUBLE:
            await replace(world, world.agents[event // 2 % 7], f"i-{100 + event:04x}")
        await asyncio.sleep(3)
    is_over = True
    await traffic
    ends = await asyncio.gather(*requests)
    foreign = [n["request"] for n in world.notes if n["event"] == "run" and not n["request"].startswith("first") and
               n["service"] != ROUTES[int(n["request"].split("-")[0])]]
    world.note("result", ends={e: ends.count(e) for e in set(ends)}, foreign=foreign)
    print(f"{len(foreign)} of {len(ends)} requests were run by a service to which no configuration lets them go")
    return 1 if foreign else 0


if __name__ == "__main__":
    sys.exit(play(scenario, None, os.path.join(HERE, "record.txt"), ["att-a", "att-a", "att-b", "att-c"],
                  [(zone, "logbook") for zone in ("att-a", "att-a", "att-a", "att-b", "att-b", "att-c", "att-c")] +
                  [(zone, "certdesk") for zone in ("att-a", "att-b", "att-c")]))
