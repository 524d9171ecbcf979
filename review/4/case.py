"""Spoiled answers: a length that is too short stands beside the chunked coding."""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins_2 import *  # noqa: E402,F403

CLIENTS = 24
PAIRS_PER_CLIENT = 100
# Doses of `garble` without a variant in the site file: 0.35 of the backends spoil 0.02 of their answers.
SPOILING_BACKENDS = 1  # of 4
SPOILED_SHARE = 0.02
STATED_BYTES = 10


class Directory(Backend):
    """A backend of the directory, some of whose answers are spoiled."""

    def __init__(self, record, name, is_spoiling):
        super().__init__(record, name, "vol-directory")
        self.is_spoiling = is_spoiling
        self.random = random.Random(name)

    def answer(self, connection, method, target, request_id):
        if not (self.is_spoiling and has_trouble() and self.random.random() < SPOILED_SHARE):
            return super().answer(connection, method, target, request_id)
        body = self.body_of(target, request_id)
        self.record(f"backend {self.name} spoils the answer to {request_id}: states {STATED_BYTES} "
                    f"bytes beside the chunked coding of {len(body)}")
        head = f"{self.head(request_id)}Content-Length: {STATED_BYTES}\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall(f"{head}{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n")
        return True


def main(record):
    backends = [Directory(record, f"i-dir{n}", n < SPOILING_BACKENDS) for n in range(4)]
    backends += [Backend(record, f"i-sign{n}", "shift-signup") for n in range(2)]
    by_name = {backend.name: backend for backend in backends}
    routes = {"profile-get": route("/profile/", "safe", "vol-directory"),
              "slot-book": route("/book/", "unsafe", "shift-signup")}
    breaks = []

    def check(request_id, target, reader):
        """Reads the answer to a request as RFC 9112 delimits it; returns whether the rule holds."""
        try:
            head = reader.head()
        except ValueError as error:
            breaks.append(f"{request_id}: bytes that are no answer: {error}")
            return False
        if head is None:
            record(f"client {request_id}: connection closed")
            return False
        start, headers = head
        words = start.split(" ")
        if words[0] != "HTTP/1.1" or len(words) < 2:
            breaks.append(f"{request_id}: bytes that are no answer: {start!r}")
            return False
        body = reader.body(headers)
        record(f"client {request_id}: {words[1]}, id {headers.get('x-request-id')}, {len(body)} bytes")
        if not words[1].startswith("2"):
            return headers.get("connection") != "close"
        backend = by_name.get(headers.get("x-response-seal", "").split(".")[0])
        if headers.get("x-request-id") != request_id:
            breaks.append(f"{request_id}: a success of another request: {headers.get('x-request-id')}")
        elif backend is None or body != backend.body_of(target, request_id):
            breaks.append(f"{request_id}: a success with {len(body)} bytes, not the backend's whole body")
        return headers.get("connection") != "close"

    def client(entry, number):
        reader = None
        for pair in range(PAIRS_PER_CLIENT):
            for method, target, body in (("GET", f"/profile/{pair}", b""), ("POST", f"/book/{pair}", b"slot")):
                request_id = f"c{number}-{pair}-{method.lower()}"
                try:
                    if reader is None:
                        reader = Reader(connect(entry, 5))
                    record(f"client {request_id}: sends {method} {target}")
                    reader.connection.sendall(request_bytes(method, target, request_id, 1500, body))
                    is_kept = check(request_id, target, reader)
                except (OSError, ValueError) as error:
                    record(f"client {request_id}: {error}")
                    is_kept = False
                if not is_kept and reader is not None:
                    reader.connection.close()
                    reader = None

    with Site(record, backends, configuration(7, routes, ["vol-directory", "shift-signup"])) as site:
        threads = [threading.Thread(target=client, args=(site.entries[n % 3], n)) for n in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    for line in breaks:
        record(f"MIXED {line}")
    sent = 2 * CLIENTS * PAIRS_PER_CLIENT
    record(f"{len(breaks)} broken of {sent} requests sent")
    return bool(breaks)


finish(main, HERE)
