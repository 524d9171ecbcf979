"""Long answers that stop in the middle: the backend hangs, and the route's timeout passes."""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins_2 import *  # noqa: E402,F403

REQUESTS = 3400
REQUESTS_PER_S = 40
WORK_S = 0.35
BACKENDS = 15
# Doses of `srv_grey` with `hang` in the site file: 0.14 of the backends fail 0.45 of their requests for 6.5 s.
FAILING_BACKENDS = 2
FAILING_SHARE = 0.45
FAILING_FOR_S = 6.5
FAILING_EVERY_S = 12
USUAL_ANSWER_BYTES = 90_000
ANSWER_BYTES = 540_000  # the longest answer of the kind in the site file
SENT_BEFORE_HANG = 300_000
TIMEOUT_MS = 3000
CLIENT_DEADLINE_MS = 8000
BOUND_S = TIMEOUT_MS / 1000 + 0.5


class Archive(Backend):
    """A backend of the archive. A failing one hangs in 0.4 of its answers, and its health is good."""

    def __init__(self, record, name, is_failing):
        super().__init__(record, name, "archiv", WORK_S)
        self.is_failing = is_failing
        self.random = random.Random(name)

    def body_of(self, target, request_id, length=USUAL_ANSWER_BYTES):
        return (f"{self.name} {request_id} ".encode() * (length // 8))[:length]

    def is_hanging(self):
        since_s = (time.monotonic() - self.record.start - 5) % FAILING_EVERY_S
        is_failing = self.is_failing and has_trouble() and since_s < FAILING_FOR_S
        return is_failing and self.random.random() < FAILING_SHARE

    def answer(self, connection, method, target, request_id):
        if not self.is_hanging():
            return super().answer(connection, method, target, request_id)
        body = self.body_of(target, request_id, ANSWER_BYTES)
        self.record(f"backend {self.name} hangs after {SENT_BEFORE_HANG} bytes of the answer to {request_id}")
        connection.sendall(f"{self.head(request_id)}Content-Length: {len(body)}\r\n\r\n".encode()
                           + body[:SENT_BEFORE_HANG])
        # Ends with the connection, or after 30 s.
        connection.settimeout(30)
        connection.recv(1)
        return False


def main(record):
    backends = [Archive(record, f"i-arch{n}", n < FAILING_BACKENDS) for n in range(BACKENDS)]
    routes = {"archive-export": route("/export/", "download", "archiv", TIMEOUT_MS, 800, 2)}
    lasted = []

    def client(entry, number):
        request_id = f"c{number}"
        reader = Reader(connect(entry, CLIENT_DEADLINE_MS / 1000))
        started = time.monotonic()
        record(f"client {request_id}: sends GET /export/{number}")
        reader.connection.sendall(request_bytes("GET", f"/export/{number}", request_id, CLIENT_DEADLINE_MS))
        try:
            start, headers = reader.head()
            body = reader.body(headers)
            outcome = f"{start.split(' ')[1]} with {len(body)} bytes"
        except socket.timeout:
            outcome = "no end of the answer, the client gives up"
        except (OSError, ValueError, TypeError) as error:
            outcome = f"broken: {error}"
        lasted.append(time.monotonic() - started)
        record(f"client {request_id}: {outcome} after {lasted[-1]:.3f} s")
        reader.connection.close()

    with Site(record, backends, configuration(7, routes, ["archiv"])) as site:
        threads = [threading.Thread(target=client, args=(site.entries[n % 3], n)) for n in range(REQUESTS)]
        for thread in threads:
            thread.start()
            time.sleep(1 / REQUESTS_PER_S)
        for thread in threads:
            thread.join()
    unanswered = [s for s in lasted if s >= TIMEOUT_MS / 1000]
    late = [s for s in lasted if s > BOUND_S]
    record(f"{len(unanswered)} requests unanswered at the route's timeout, {len(late)} still half a second later")
    # The stricter of the two readings of the rule: eight or more, and over half.
    return len(late) >= 8 and len(late) * 2 > len(unanswered)


finish(main, HERE)
