"""A change of the idle timeout is refused by every machine, and with it all else that changes."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import *  # noqa: E402, F403

MACHINES = 4
REQUESTS_PER_MACHINE = 5
#: What the operator changes besides the routes: `idle` raises the idle timeout to 75 s, `size` adds
#: routes until the value has 1,004,460 bytes, below the `value_bytes` of 1,048,576.
CHANGE = os.environ.get("CHANGE", "idle")
IDLE_TIMEOUT_MS, IDLE_TIMEOUT_CALM_MS = 75_000, 20_000
MORE_ROUTES, MORE_ROUTES_CALM = 5_800, 350

BEFORE = {
    "tarif-abfrage": ("/tarif/", "safe", "tarifrechner", 1000, 250),
    "vertrag-wechsel": ("/wechsel/", "unsafe", "vertragsdienst", 1200, 300),
    "preisblatt": ("/preis/", "safe", "archivdienst", 3000, 1000),
}
#: The contract switch moves to another service, and a route is new.
AFTER = dict(
    BEFORE,
    **{"vertrag-wechsel": ("/wechsel/", "unsafe", "archivdienst", 1200, 300),
       "zaehler-historie": ("/zaehler/", "safe", "archivdienst", 2000, 600)})


def changed_configuration():
    is_idle, trouble = CHANGE == "idle", has_trouble()
    idle_timeout_ms = IDLE_TIMEOUT_MS if trouble else IDLE_TIMEOUT_CALM_MS
    more_routes = MORE_ROUTES if trouble else MORE_ROUTES_CALM
    if is_idle:
        return configuration(9, AFTER, idle_timeout_ms=idle_timeout_ms)
    return configuration(9, AFTER, more_routes=more_routes)


async def ask(record, machine, method, path, request_id):
    body = b"{}" if method == "POST" else b""
    answer = await call(machine.front, method, path, request_headers(request_id, 2500), body)
    record.write(f"{machine.name}: {method} {path} {request_id} -> {answer}")
    return answer


async def ask_all(record, platform, label):
    """Sends the same requests to each machine; returns the answers by request id."""
    answers = {}
    for machine in platform.machines:
        for number in range(REQUESTS_PER_MACHINE):
            for method, path in (("POST", "/wechsel/x"), ("GET", "/zaehler/x"), ("GET", "/tarif/x")):
                request_id = f"{label}-{machine.name}-{path.split('/')[1]}-{number}"
                answers[request_id] = await ask(record, machine, method, path, request_id)
    return answers


async def case(record):
    store = Store(record)
    await store.start()
    services = {"tarifrechner": 3, "vertragsdienst": 3, "archivdienst": 3}
    backends = await start_backends(record, store, services)
    old_service = [backend for backend in backends if backend.service == "vertragsdienst"]
    store.put("op/config", configuration(7, BEFORE))
    platform = Platform(record, store, MACHINES)
    try:
        platform.start_all()
        if not await platform.until_ready(15):
            raise CannotRun("the machines are not ready")
        await asyncio.sleep(CONTACT_S + 1)
        before = await ask_all(record, platform, "before")
        served_before = share_served(record, "before", before, ("wechsel", "tarif"))

        changed = changed_configuration()
        store.put("op/config", changed)
        record.write(f"the store acknowledges version 9, {len(changed)} bytes ({CHANGE})")
        await asyncio.sleep(CONFIG_APPLY_S + 2)
        after = await ask_all(record, platform, "after")
        runs = [run for backend in old_service for run in backend.runs if run.startswith("after-")]
        missing = [name for name, answer in after.items() if answer.status == 404]
        record.write(f"CONFIG: {len(runs)} requests run by the old service, {len(missing)} get 404 "
                     f"though their route is there, of {len(after)}")

        record.write("all processes are killed at the same moment and start again")
        for machine in platform.machines:
            platform.signal(machine, signal.SIGKILL)
        for machine in platform.machines:
            machine.process.wait()
        await asyncio.sleep(1)
        platform.start_all()
        await asyncio.sleep(RECOVERY_S + 1)
        recovered = await ask_all(record, platform, "recovered")
        served = share_served(record, "recovered", recovered, ("wechsel", "tarif"))
        is_config_broken = bool(runs or missing)
        is_recover_broken = served_before >= 0.25 and served < 0.25
        record.write(f"CONFIG {'broken' if is_config_broken else 'held'}, "
                     f"RECOVER {'broken' if is_recover_broken else 'held'}")
        for machine in platform.machines[:1]:
            for line in platform.log(machine).splitlines():
                if "document_rejected" in line:
                    record.write(f"{machine.name} logged: {line[:400]}")
        return is_config_broken or is_recover_broken
    finally:
        platform.end()


def share_served(record, label, answers, kinds):
    chosen = [answer for name, answer in answers.items() if name.split("-")[-2] in kinds]
    served = sum(answer.status == 200 and answer.whole for answer in chosen)
    record.write(f"{label}: {served} of {len(chosen)} requests on the first routes served")
    return served / len(chosen)


main(case, FOLDER)
