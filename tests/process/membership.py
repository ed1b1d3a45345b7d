"""Adds, removes, restarts and drains entry hosts, and drains a target.

Guards against: an added host that does not serve or vote, a removed host that
is still counted as a voter, a rolling restart that interrupts calls or loses
jobs, and a drained target that gets new calls.
"""

import signal
import sys
import threading
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from caller import Caller  # noqa: E402
from counts import Counts  # noqa: E402
from deployment import (Deployment, Failed, read_ledger,  # noqa: E402
                        request, wait_for)


def voters_of(host, group):
    return sorted(voter.split("/")[0] for row in host.status()["groups"]
                  if row["group"] == group for voter in row["voters"])


def add_host(deployment):
    """Adds a third host to paisley, whose cell then needs no witness."""
    host = deployment.add_host("paisley-3", "paisley")
    deployment.known_hosts.append(host)
    host.start()
    version = deployment.must_change({"kind": "set_host",
                                      "host": host.configuration_entry()})
    deployment.wait_in_force(version)
    wait_for("the new host is ready", host.is_ready)
    wait_for("the new host votes in its cell", lambda: voters_of(
        deployment.leader_of("cell-paisley"), "cell-paisley")
        == ["paisley-1", "paisley-2", "paisley-3"])
    entry = deployment.caller.call(host.callers, 0, "through the new host")
    if entry["outcome"] != "completed":
        raise Failed(f"call through the new host: {entry}")


def remove_host(deployment):
    """Removes the added host after a planned stop."""
    host = deployment.hosts["paisley-3"]
    status, _, _ = request(host.operators, "POST", "/v1/ops/stop",
                           {"request_id": "stop-paisley-3"})
    if status != 200 or host.wait() != 0:
        raise Failed("the planned stop by an operator failed")
    version = deployment.must_change({"kind": "remove_host",
                                      "host": host.name})
    deployment.known_hosts.remove(host)
    del deployment.hosts[host.name]
    deployment.wait_in_force(version)
    wait_for("the removed host no longer votes", lambda: "paisley-3" not in
             voters_of(deployment.leader_of("cell-paisley"), "cell-paisley"))


def rolling_restart(deployment):
    """Restarts one host after the other while calls and batch jobs run."""
    ended = threading.Event()
    entries = []

    def send(thread):
        number = 0
        while not ended.is_set() and number < 5000:
            hosts = [host for host in deployment.hosts.values()
                     if host.running() and host.is_ready()]
            host = hosts[(number + thread) % len(hosts)]
            entries.append(deployment.caller.call(
                host.callers, number, f"rolling-{thread}-{number}",
                idempotent=False))
            number += 1
    threads = [threading.Thread(daemon=True, target=send, args=(number,))
               for number in range(3)]
    for thread in threads:
        thread.start()
    try:
        for host in list(deployment.hosts.values()):
            host.signal(signal.SIGTERM)
            status = host.wait()
            if status != 0:
                raise Failed(f"{host.name} stopped with status {status}")
            host.start()
            wait_for(f"{host.name} is ready again", host.is_ready)
    finally:
        ended.set()
        for thread in threads:
            thread.join()
    outcomes = Counter(entry["outcome"] for entry in entries)
    print(f"calls during the rolling restart: {dict(outcomes)}", flush=True)
    if set(outcomes) - {"completed", "not_run"} or not outcomes["completed"]:
        bad = [entry for entry in entries
               if entry["outcome"] not in ("completed", "not_run")]
        raise Failed(f"a restart interrupted calls: {bad[:3]}")


def drain_host(deployment):
    """A draining host is not ready for callers and leads no group."""
    host = deployment.wait_leader("cell-leith")
    deployment.must_change({"kind": "drain_host", "host": host.name,
                            "draining": True})
    wait_for("the drained host is not ready", lambda: not host.is_ready())
    wait_for("it leads no group", lambda: all(
        group["role"] == "follower" for group in host.status()["groups"]))
    deployment.wait_leader("cell-leith", other_than=host)
    deployment.must_change({"kind": "drain_host", "host": host.name,
                            "draining": False})
    wait_for("it is ready again", host.is_ready)


def drain_target(deployment):
    """A drained target gets no call once the drain is in force."""
    status, body = deployment.any_host().post(
        "/v1/ops/targets/target-paisley/drain",
        {"request_id": "drain-1", "expected_version": deployment.version(),
         "draining": True})
    if status != 200:
        raise Failed(f"drain refused: {status} {body}")
    deployment.wait_in_force(body["version"])
    target = deployment.targets["target-paisley"]
    before = len(read_ledger(target.ledger))
    for number in range(60):
        host = list(deployment.hosts.values())[number % len(deployment.hosts)]
        entry = deployment.caller.call(host.callers, number, f"drain-{number}")
        if entry["outcome"] != "completed":
            raise Failed(f"call after the drain: {entry}")
    if len(read_ledger(target.ledger)) != before:
        raise Failed("the drained target got a call")


def main():
    with Deployment({"leith": 3, "paisley": 2, "dundee": 2}) as deployment:
        deployment.start_hosts()
        deployment.wait_ready()
        deployment.configure_default()
        for data_centre in deployment.data_centres():
            deployment.add_target(f"target-{data_centre}", data_centre)
            deployment.add_worker(f"worker-{data_centre}", data_centre,
                                  run_ms=1000)
        for name in deployment.targets:
            deployment.wait_target_seen(name)
        deployment.caller = Caller(deployment.folder / "caller.ledger")
        jobs = {}
        for data_centre in deployment.data_centres():
            deployment.submit(f"job-{data_centre}", data_centre, tasks=40)
            jobs[f"job-{data_centre}"] = 40
        for step in (add_host, remove_host, rolling_restart, drain_host,
                     drain_target):
            step(deployment)
            print(f"{step.__name__} done", flush=True)
        for data_centre in deployment.data_centres():
            wait_for(f"the job of {data_centre} ends",
                     lambda data_centre=data_centre: deployment.jobs(
                         data_centre)[f"job-{data_centre}"]["state"] == "Ended")
        counts = Counts(deployment, jobs)
        if (counts.ended_once() != sum(jobs.values()) or counts.two_places()
                or counts.overcommitted() or counts.duplicated()
                or counts.wrong_answers() or counts.lost() or counts.faults):
            raise Failed("\n".join(counts.faults))


if __name__ == "__main__":
    main()
