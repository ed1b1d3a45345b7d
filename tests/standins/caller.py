"""A stand-in for callers, which sends calls and records their answers."""

import http.client
import json
import select
import threading
import time


class Caller:
    """Sends calls. Each thread has one connection to each entry host.

    The ledger has one entry for each request sent: the number of the call,
    whether it was idempotent, its key, and its outcome. The outcome is
    completed, not_run, outcome_unknown, or broken when the connection to the
    entry host was lost.
    """

    def __init__(self, ledger_path):
        self.ledger = open(ledger_path, "a", encoding="utf-8")
        self.lock = threading.Lock()
        self.connections = threading.local()

    def close(self):
        self.ledger.close()

    def connection(self, address, timeout_s):
        pool = self.connections.__dict__.setdefault("pool", {})
        if address not in pool:
            host, port = address.rsplit(":", 1)
            pool[address] = http.client.HTTPConnection(host, int(port),
                                                       timeout=timeout_s)
        connection = pool[address]
        # An idle connection is readable when the peer has closed it. A new one
        # is then opened, as any HTTP client does.
        if connection.sock and select.select([connection.sock], [], [], 0)[0]:
            connection.close()
        connection.timeout = timeout_s
        return connection

    def call(self, address, number, body, service="ledger", member="leith-assay",
             call_class="check", idempotent=True, key=None, deadline_ms=5000):
        headers = {"Bramleypath-Member": member, "Bramleypath-Class": call_class,
                   "Bramleypath-Deadline-Ms": str(deadline_ms),
                   "Bramleypath-Idempotent": "true" if idempotent else "false"}
        if key:
            headers["Bramleypath-Key"] = key
        entry = {"number": number, "body": body, "idempotent": idempotent,
                 "key": key, "entry": address, "member": member,
                 "class": call_class, "sent": time.time()}
        started = time.monotonic()
        connection = self.connection(address, deadline_ms / 1000 + 15)
        try:
            connection.request("POST", f"/v1/call/{service}", body=body,
                               headers=headers)
            response = connection.getresponse()
            answer = response.read().decode()
            entry.update(status=response.status,
                         outcome=response.getheader("Bramleypath-Outcome"),
                         request=response.getheader("Bramleypath-Request-Id"),
                         answer=answer[:300])
            if response.getheader("Connection") == "close":
                connection.close()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            entry.update(status=0, outcome="broken", error=repr(error))
        entry["seconds"] = time.monotonic() - started
        with self.lock:
            self.ledger.write(json.dumps(entry) + "\n")
            self.ledger.flush()
        return entry


def expected_answer(body):
    return "answer:" + body
