"""Sends calls while entry hosts and targets are stopped or killed.

Guards against: a keyed call that runs twice when it is sent concurrently
through two entry hosts and the owner of its key is killed, a non-idempotent
call that runs twice, a call that is answered with not_run although it ran, and
a planned stop of an entry host or a target that interrupts calls.
"""

import signal
import sys
import threading
from collections import Counter, defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from caller import Caller, expected_answer  # noqa: E402
from deployment import Deployment, Failed, read_ledger, wait_for  # noqa: E402


def runs_by_body(deployment):
    runs = Counter()
    for target in deployment.targets.values():
        for entry in read_ledger(target.ledger):
            if entry["event"] == "run":
                runs[entry["body"]] += 1
    return runs


def check_ledgers(deployment, caller):
    """Checks the answers and runs of all calls (guarantees P4, P5 and P6)."""
    caller.ledger.flush()
    runs = runs_by_body(deployment)
    by_body = defaultdict(list)
    for entry in read_ledger(deployment.folder / "caller.ledger"):
        by_body[entry["body"]].append(entry)
    for body, entries in by_body.items():
        for entry in entries:
            if (entry["outcome"] == "completed"
                    and entry["answer"] != expected_answer(body)):
                raise Failed(f"wrong answer: {entry}")
        if not entries[0]["idempotent"] and runs[body] > 1:
            raise Failed(f"ran {runs[body]} times: {entries}")
        if all(entry["outcome"] == "not_run" for entry in entries) and runs[body]:
            raise Failed(f"not_run and ran: {entries}")
        if (any(entry["outcome"] == "completed" for entry in entries)
                and not runs[body]):
            raise Failed(f"completed and never ran: {entries}")


def send_pair(caller, hosts, number, key):
    """Sends the same keyed call concurrently through two entry hosts."""
    body = f"pair-{number}"
    entries = []
    threads = [threading.Thread(daemon=True, target=lambda host=host: entries.append(
        caller.call(host.callers, number, body, call_class="recon",
                    idempotent=False, key=key, deadline_ms=8000)))
        for host in hosts]
    for thread in threads:
        thread.start()
    return threads, entries


def keyed_pairs_with_owner_killed(deployment, caller):
    hosts = [deployment.hosts["paisley-1"], deployment.hosts["dundee-1"]]
    # Without a failure, both calls get the complete answer of one execution.
    threads, entries = send_pair(caller, hosts, 0, "key-quiet")
    for thread in threads:
        thread.join()
    if [entry["outcome"] for entry in entries] != ["completed"] * 2:
        raise Failed(f"a pair without a failure did not complete: {entries}")
    # A repeated call gets the stored answer. The same key with another body is
    # an error.
    again = caller.call(hosts[0].callers, 0, "pair-0", call_class="recon",
                        idempotent=False, key="key-quiet")
    if again["outcome"] != "completed":
        raise Failed(f"the repeat did not complete: {again}")
    reused = caller.call(hosts[0].callers, 1, "another body", call_class="recon",
                         idempotent=False, key="key-quiet")
    if reused["outcome"] != "not_run":
        raise Failed(f"a reused key was not refused: {reused}")
    # The leader of each cell in turn is killed while many pairs are in flight.
    number = 100
    for round_number, data_centre in enumerate(deployment.data_centres()):
        leader = deployment.wait_leader(f"cell-{data_centre}")
        pair = [host for host in deployment.hosts.values()
                if host is not leader and host.running()][:2]
        in_flight = []
        for _ in range(12):
            number += 1
            in_flight.append(send_pair(caller, pair, number, f"key-{number}"))
        leader.kill()
        print(f"killed {leader.name}, leader of cell-{data_centre}", flush=True)
        for threads, entries in in_flight:
            for thread in threads:
                thread.join()
        leader.start()
        wait_for(f"{leader.name} is ready again", leader.is_ready)
        deployment.wait_leader(f"cell-{data_centre}")


class SteadyLoad:
    """Sends calls through all running hosts that report ready, in threads."""

    def __init__(self, deployment, caller, prefix):
        self.deployment = deployment
        self.caller = caller
        self.prefix = prefix
        self.ended = threading.Event()
        self.entries = []
        self.threads = [threading.Thread(daemon=True, target=self.run, args=(number,))
                        for number in range(6)]
        for thread in self.threads:
            thread.start()

    def run(self, thread):
        number = 0
        while not self.ended.is_set() and number < 5000:
            hosts = [host for host in self.deployment.hosts.values()
                     if host.running() and host.is_ready()]
            if not hosts:
                continue
            host = hosts[(thread + number) % len(hosts)]
            body = f"{self.prefix}-{thread}-{number}"
            self.entries.append(self.caller.call(
                host.callers, number, body, idempotent=False,
                call_class="recon" if number % 2 else "check"))
            number += 1

    def wait_for_more(self, count):
        goal = len(self.entries) + count
        wait_for(f"{goal} calls", lambda: len(self.entries) >= goal)

    def finish(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()
        return Counter(entry["outcome"] for entry in self.entries)


def planned_stops_under_load(deployment, caller):
    load = SteadyLoad(deployment, caller, "stop")
    load.wait_for_more(100)
    host = deployment.hosts["leith-2"]
    host.signal(signal.SIGTERM)
    status = host.wait()
    if status != 0:
        raise Failed(f"{host.name} stopped with status {status}")
    load.wait_for_more(100)
    target = deployment.targets["target-2"]
    target.signal(signal.SIGTERM)
    if target.wait() != 0:
        raise Failed("the target did not exit with status 0")
    load.wait_for_more(100)
    outcomes = load.finish()
    print(f"planned stops under load: {dict(outcomes)}", flush=True)
    if set(outcomes) - {"completed", "not_run"}:
        bad = [entry for entry in load.entries
               if entry["outcome"] not in ("completed", "not_run")]
        raise Failed(f"a planned stop interrupted calls: {bad[:3]}")
    entries = read_ledger(target.ledger)
    left_at = next(entry["at"] for entry in entries if entry["event"] == "leave")
    late = [entry for entry in entries
            if entry["event"] == "run" and entry["at"] > left_at + 3e6]
    if late:
        raise Failed(f"{len(late)} calls arrived over 3 s after the leave")
    host.start()
    wait_for(f"{host.name} is ready again", host.is_ready)


def second_signal_ends_early(deployment, caller):
    """A second signal ends a stop that waits for a long call, with status 3."""
    host = deployment.hosts["dundee-2"]
    results = []
    thread = threading.Thread(daemon=True, target=lambda: results.append(caller.call(
        host.callers, 0, "slow call", call_class="slow", idempotent=False,
        deadline_ms=60000)))
    thread.start()
    wait_for("the slow call runs",
             lambda: runs_by_body(deployment)["slow call"] == 1)
    host.signal(signal.SIGTERM)
    wait_for("the host is not ready", lambda: not host.is_ready())
    host.signal(signal.SIGTERM)
    status = host.wait()
    thread.join()
    if status != 3 or "interrupted=1" not in host.log_file.read_text():
        raise Failed(f"status {status} after the second signal")
    if results[0]["outcome"] == "not_run":
        raise Failed(f"interrupted call reported as not run: {results}")
    host.start()
    wait_for(f"{host.name} is ready again", host.is_ready)


def targets_killed_under_load(deployment, caller):
    load = SteadyLoad(deployment, caller, "kill")
    load.wait_for_more(100)
    deployment.targets["target-3"].kill()
    load.wait_for_more(100)
    deployment.hosts["paisley-2"].kill()
    load.wait_for_more(100)
    print(f"kills under load: {dict(load.finish())}", flush=True)


def main():
    with Deployment({"leith": 3, "paisley": 2, "dundee": 2}) as deployment:
        deployment.start_hosts()
        deployment.wait_ready()
        deployment.configure_default()
        for number in range(6):
            deployment.add_target(f"target-{number}",
                                  deployment.data_centres()[number % 3],
                                  times="check=5,recon=40,slow=20000")
        for name in deployment.targets:
            deployment.wait_target_seen(name)
        caller = Caller(deployment.folder / "caller.ledger")
        keyed_pairs_with_owner_killed(deployment, caller)
        print("keyed pairs done", flush=True)
        planned_stops_under_load(deployment, caller)
        second_signal_ends_early(deployment, caller)
        print("second signal done", flush=True)
        targets_killed_under_load(deployment, caller)
        check_ledgers(deployment, caller)


if __name__ == "__main__":
    main()
