"""Partitions one data centre from the others without closing connections.

Guards against: a partitioned data centre that stops serving local calls or
jobs, a change of the configuration that is accepted without a quorum or lost, a
keyed call that runs although the owner of its key can't be reached, and a host
that misses the newest configuration or returns to an older one after the
partition.
"""

import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "standins"))

from caller import Caller  # noqa: E402
from counts import Counts  # noqa: E402
from deployment import (RELAY, Deployment, Failed, Process,  # noqa: E402
                        free_port, wait_for)


def accepts(ip, port):
    socket.create_connection((ip, port), 1).close()
    return True


class Relays:
    """Relays for all links between data centres. There is one for each host and
    each other data centre whose hosts connect to it."""

    def __init__(self, deployment):
        self.processes = {}
        for host in deployment.hosts.values():
            for data_centre in deployment.data_centres():
                if data_centre == host.data_centre:
                    continue
                ip = deployment.new_ip()
                address = f"{ip}:{free_port(ip)}"
                relay = Process(f"relay-{data_centre}-{host.name}",
                                [sys.executable, RELAY, address, host.peers],
                                deployment.folder / "relays.output")
                relay.start()
                deployment.other_processes.append(relay)
                self.processes[(data_centre, host)] = relay
                for peer in deployment.in_data_centre(data_centre):
                    peer.peer_overrides[host.name] = address

    def signal_cut(self, data_centre, number):
        """Signals all relays between the data centre and the others."""
        for (source, host), relay in self.processes.items():
            if data_centre in (source, host.data_centre):
                relay.signal(number)


def send_until_outcome(deployment, caller, host, data_centre, wanted, tag):
    """Sends calls with different keys until one ends with this outcome."""
    for number in range(40):
        entry = caller.call(host.callers, number, f"{tag}-{number}",
                            idempotent=False, key=f"{tag}-{number}",
                            deadline_ms=1500)
        if entry["outcome"] not in ("completed", "not_run"):
            raise Failed(f"keyed call in {data_centre}: {entry}")
        if entry["outcome"] == wanted:
            return entry
    raise Failed(f"no keyed call in {data_centre} ended as {wanted}")


def check_partition(deployment, caller, cut):
    inside = deployment.in_data_centre(cut)
    outside = [host for host in deployment.hosts.values()
               if host.data_centre != cut]
    before = deployment.version(inside[0])

    # The other data centres elect a leader and accept changes.
    wait_for("a leader outside of the partition", lambda: any(
        group["group"] == "config" and group["role"] == "leader"
        for host in outside for group in host.status()["groups"]))
    status, body = deployment.change({"kind": "use_preset", "preset": "peak"},
                                     outside[0], before)
    if status != 200:
        raise Failed(f"change outside refused: {status} {body}")
    for host in outside:
        wait_for(f"in force on {host.name}",
                 lambda host=host: deployment.version(host) >= body["version"])

    # Inside the partition, changes are refused and the last configuration stays
    # in force.
    for host in inside:
        status, body = host.post("/v1/ops/config", {
            "request_id": f"inside-{host.name}", "expected_version": before,
            "change": {"kind": "use_preset", "preset": "maintenance"}})
        if status != 503:
            raise Failed(f"change inside got {status} {body}")
        if deployment.version(host) != before:
            raise Failed(f"{host.name} has another version in force")

    # Local calls and local jobs still complete.
    for number, host in enumerate(inside):
        for repeat in range(10):
            entry = caller.call(host.callers, number,
                                f"local-{number}-{repeat}", idempotent=False)
            if entry["outcome"] != "completed":
                raise Failed(f"local call: {entry}")
    status, body = deployment.submit("cut-off", cut, host=inside[0], tasks=4)
    if status != 200:
        raise Failed(f"local job refused: {status} {body}")
    wait_for("the local job ends", lambda: deployment.jobs(
        cut, inside[0])["cut-off"]["state"] == "Ended")

    # Calls whose keys are owned here complete. Calls with other keys are
    # answered with not_run, and the counts show that they did not run.
    send_until_outcome(deployment, caller, inside[0], cut, "completed", "here")
    send_until_outcome(deployment, caller, inside[0], cut, "not_run",
                       "elsewhere")
    return before


def main():
    with Deployment({"leith": 3, "paisley": 2, "dundee": 2}) as deployment:
        relays = Relays(deployment)
        for relay in relays.processes.values():
            ip, port = relay.command[2].rsplit(":", 1)
            wait_for(f"{relay.name} listens",
                     lambda ip=ip, port=port: accepts(ip, int(port)))
        deployment.start_hosts()
        deployment.wait_ready()
        deployment.configure_default()
        for data_centre in deployment.data_centres():
            deployment.add_target(f"target-{data_centre}", data_centre)
            deployment.add_worker(f"worker-{data_centre}", data_centre)
        for name in deployment.targets:
            deployment.wait_target_seen(name)
        caller = Caller(deployment.folder / "caller.ledger")

        # Partitions the data centre that holds the leader of the configuration
        # group.
        cut = deployment.wait_leader("config").data_centre
        # This job is accepted before the partition, which lasts longer than any
        # lease. Its running tasks must not be started elsewhere.
        long_job = deployment.submit("before", cut, tasks=2)
        if long_job[0] != 200:
            raise Failed(f"job refused: {long_job}")
        relays.signal_cut(cut, signal.SIGUSR1)
        print(f"cut off {cut}", flush=True)
        started = time.monotonic()
        check_partition(deployment, caller, cut)
        print(f"cut off for {time.monotonic() - started:.1f} s", flush=True)
        relays.signal_cut(cut, signal.SIGUSR2)
        healed = time.monotonic()
        version = max(deployment.version(host)
                      for host in deployment.hosts.values())
        deployment.wait_in_force(version)
        print(f"in force everywhere {time.monotonic() - healed:.1f} s after the "
              "cut ended", flush=True)
        version = deployment.must_change({"kind": "use_preset",
                                          "preset": "ordinary"},
                                         deployment.in_data_centre(cut)[0])
        deployment.wait_in_force(version)

        counts = Counts(deployment, {"before": 2, "cut-off": 4})
        if (counts.ended_once() != 6 or counts.two_places()
                or counts.duplicated() or counts.wrong_answers()
                or counts.lost() or counts.faults):
            raise Failed("\n".join(counts.faults))


if __name__ == "__main__":
    main()
