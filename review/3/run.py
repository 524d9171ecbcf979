"""A planned stop breaks off slow reads: the process takes its own quiet for lost links."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import *  # noqa: E402, F403

MACHINES = 4
#: Longest work of preisblatt in the site file: 2,700 ms.
SLOW_WORK_MS = 2_300
QUICK_WORK_MS = 90
QUICK_INTERVAL_S = 0.1
SLOW_READS = 4
ROUTES = {
    "tarif-abfrage": ("/tarif/", "safe", "tarifrechner", 1000, 250),
    "preisblatt": ("/preis/", "safe", "archivdienst", 3000, 1000),
}


class Balancer:
    """The platform's balancer: two questions without a 200 take a machine out."""

    def __init__(self, record, platform):
        self.record, self.platform = record, platform
        self.missed = {machine.name: 0 for machine in platform.machines}

    def takes(self, machine):
        return self.missed[machine.name] < 2

    async def run(self):
        while True:
            began = time.monotonic()
            for machine in self.platform.machines:
                is_ready = await self.platform.is_ready(machine)
                self.missed[machine.name] = 0 if is_ready else self.missed[machine.name] + 1
                if self.missed[machine.name] == 2:
                    self.record.write(f"the balancer takes {machine.name} out")
            await asyncio.sleep(1 - (time.monotonic() - began))


async def quick_reads(record, balancer, machine):
    """Clients of quick lookups, over new connections while the balancer hands them out."""
    number = 0
    while True:
        await asyncio.sleep(QUICK_INTERVAL_S)
        if balancer.takes(machine):
            number += 1
            headers = request_headers(f"quick-{machine.name}-{number}", 2000)
            asyncio.ensure_future(
                call(machine.front, "GET", f"/tarif/w{QUICK_WORK_MS}/x", headers))


async def slow_read(record, machine, number, connection):
    """A client with a kept connection reads a price sheet; returns the answer and when it ended."""
    request_id = f"slow-{number}"
    headers = request_headers(request_id, 6000)
    connection.send("GET", f"/preis/w{SLOW_WORK_MS}/{request_id}", headers)
    record.write(f"client sends {request_id} to {machine.name} over a kept connection")
    answer = await connection.answer(7)
    record.write(f"client: {request_id} -> {answer} {answer.body[:60]!r}")
    connection.close()
    return answer, record.now()


async def case(record):
    store = Store(record)
    await store.start()
    backends = await start_backends(record, store, {"tarifrechner": 4, "archivdienst": 6})
    store.put("op/config", configuration(7, ROUTES))
    platform = Platform(record, store, MACHINES)
    balancer = Balancer(record, platform)
    tasks = []
    try:
        platform.start_all()
        if not await platform.until_ready(15):
            raise CannotRun("the machines are not ready")
        tasks = [asyncio.ensure_future(balancer.run())]
        tasks += [asyncio.ensure_future(quick_reads(record, balancer, machine))
                  for machine in platform.machines]
        await asyncio.sleep(CONTACT_S + 2)
        stopped = platform.machines[0]
        kept = []
        for number in range(SLOW_READS):
            connection = await Connection.open(stopped.front)
            connection.send("GET", "/preis/w20/first", request_headers(f"first-{number}", 6000))
            if (await connection.answer(3)).status != 200:
                raise CannotRun("a kept connection got no first answer")
            kept.append(connection)
        began = record.now()
        if has_trouble():
            platform.signal(stopped, signal.SIGTERM)
        # The balancer's second question without a 200 comes up to 2 s after the signal.
        await asyncio.sleep(2.2)
        reads = [slow_read(record, stopped, number, connection)
                 for number, connection in enumerate(kept)]
        answers = await asyncio.gather(*reads)
        broken = []
        for number, (answer, ended) in enumerate(answers):
            runs = [backend.ended.get(f"slow-{number}") for backend in backends
                    if f"slow-{number}" in backend.runs]
            is_answered = answer.status == 200 and answer.whole
            record.write(f"slow-{number}: {answer}, {ended - began:.1f} s after the time of the signal; "
                         f"its runs: {runs}")
            # The rule excuses an end in the last sixth of the grace time.
            is_before_last_sixth = ended - began < GRACE_S * 5 / 6
            if not is_answered and "dropped" in runs and is_before_last_sixth:
                broken.append(number)
        for line in platform.log(stopped).splitlines():
            if "target_links_lost" in line:
                record.write(f"{stopped.name} logged: {line[:300]}")
        record.write(f"LOST: {len(broken)} of {len(answers)} requests broken off at work")
        return bool(broken)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        platform.end()


main(case, FOLDER)
