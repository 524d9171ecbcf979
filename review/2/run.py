"""The body of a GET request that arrives in chunks does not reach the backend."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import *  # noqa: E402, F403

MACHINES = 3
REQUESTS = 10
ROUTES = {
    "zaehler-historie": ("/zaehler/", "safe", "archivdienst", 2000, 600),
    "vertrag-wechsel": ("/wechsel/", "unsafe", "vertragsdienst", 1200, 300),
}
CHUNK_BYTES = 64


class Archive(Backend):
    """Backend that keeps what it runs. Its answers name the filter that they are made for."""

    async def handle(self, reader, writer, head, body):
        method, path, _ = head[0].split(" ")
        request_id = head[1].get("x-request-id")
        if path != "/health":
            received[request_id] = (method, path, body)
            self.record.write(f"{self.name} receives {request_id}: {method} {path}, {len(body)} bytes")
        return await super().handle(reader, writer, head, body)


#: Method, path and body of each request, as sent by the client and as received by a backend.
sent, received = {}, {}


def in_chunks(body):
    parts = [body[start:start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


async def ask(record, machine, method, path, request_id, body, is_chunked):
    headers = request_headers(request_id, 2500)
    headers["Content-Type"] = "application/json"
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}"
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([*lines, framing]) + "\r\n\r\n"
    connection = await Connection.open(machine.front)
    connection.writer.write(head.encode() + (in_chunks(body) if is_chunked else body))
    sent[request_id] = (method, path, body)
    answer = await connection.answer(4)
    connection.close()
    record.write(f"client: {method} {path} {request_id}, {len(body)} bytes, {framing} -> {answer}")


async def case(record):
    store = Store(record)
    await store.start()
    services = {"archivdienst": 3, "vertragsdienst": 2}
    await start_backends(record, store, services, Archive)
    store.put("op/config", configuration(7, ROUTES))
    platform = Platform(record, store, MACHINES)
    try:
        platform.start_all()
        if not await platform.until_ready(15):
            raise CannotRun("the machines are not ready")
        await asyncio.sleep(CONTACT_S + 1)
        for machine in platform.machines:
            for number in range(REQUESTS):
                query = {"meter": 4711 + number, "from": "2025-10-01", "to": "2025-12-31"}
                body = json.dumps(query).encode() * (1 + number)
                label = f"{machine.name}-{number}"
                await ask(record, machine, "GET", "/zaehler/suche", f"read-{label}", body,
                          has_trouble())
                await ask(record, machine, "POST", "/wechsel/x", f"write-{label}", body,
                          has_trouble())
        changed = [name for name, what in received.items() if sent.get(name) != what]
        record.write(f"UNASKED: {len(changed)} of {len(received)} requests run were changed on the way")
        for name in changed[:3]:
            record.write(f"sent {sent.get(name)}, received {received[name]}")
        if not received:
            raise CannotRun("no request was run")
        return bool(changed)
    finally:
        platform.end()


main(case, FOLDER)
