"""A data centre that is cut off without any connection being closed.

Guards against: a cut-off data centre that stops serving local calls or local
jobs, a change of the configuration that is accepted without a quorum or lost, a
keyed call that runs although its owner can't be reached, and a configuration
that does not arrive or goes back after the cut.
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
    """Every link between two data centres goes through the far host's relay."""

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
                deployment.others.append(relay)
                self.processes[(data_centre, host)] = relay
                for peer in deployment.in_data_centre(data_centre):
                    peer.peer_overrides[host.name] = address

    def signal_cut(self, data_centre, number):
        """All relays of links that cross the border of the data centre."""
        for (source, host), relay in self.processes.items():
            if data_centre in (source, host.data_centre):
                relay.signal(number)


def key_owned_by(deployment, caller, host, data_centre, wanted, tag):
    """Sends keyed calls until one completes (wanted) or is refused."""
    for number in range(40):
        entry = caller.call(host.callers, number, f"{tag}-{number}",
                            idempotent=False, key=f"{tag}-{number}",
                            deadline_ms=1500)
        if entry["outcome"] not in ("completed", "not_run"):
            raise Failed(f"keyed call in {data_centre}: {entry}")
        if entry["outcome"] == wanted:
            return entry
    raise Failed(f"no keyed call in {data_centre} ended as {wanted}")


def while_cut_off(deployment, caller, cut):
    inside = deployment.in_data_centre(cut)
    outside = [host for host in deployment.hosts.values()
               if host.data_centre != cut]
    before = deployment.version(inside[0])

    # The others elect a leader and go on.
    wait_for("a leader outside of the cut", lambda: any(
        group["group"] == "config" and group["role"] == "leader"
        for host in outside for group in host.status()["groups"]))
    status, body = deployment.change({"kind": "use_preset", "preset": "peak"},
                                     outside[0], before)
    if status != 200:
        raise Failed(f"change outside refused: {status} {body}")
    for host in outside:
        wait_for(f"in force on {host.name}",
                 lambda host=host: deployment.version(host) >= body["version"])

    # Inside, changes are refused and the last configuration stays in force.
    for host in inside:
        status, body = host.post("/v1/ops/config", {
            "request_id": f"inside-{host.name}", "expected_version": before,
            "change": {"kind": "use_preset", "preset": "maintenance"}})
        if status != 503:
            raise Failed(f"change inside got {status} {body}")
        if deployment.version(host) != before:
            raise Failed(f"{host.name} has another version in force")

    # Local calls and local jobs go on.
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

    # Keys owned here are served, others are truly not run.
    key_owned_by(deployment, caller, inside[0], cut, "completed", "here")
    key_owned_by(deployment, caller, inside[0], cut, "not_run", "elsewhere")
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

        # The data centre of the configuration group's leader is cut off.
        cut = deployment.wait_leader("config").data_centre
        # Longer than any lease: what runs must not be started elsewhere.
        long_job = deployment.submit("before", cut, tasks=2)
        if long_job[0] != 200:
            raise Failed(f"job refused: {long_job}")
        relays.signal_cut(cut, signal.SIGUSR1)
        print(f"cut off {cut}", flush=True)
        started = time.monotonic()
        while_cut_off(deployment, caller, cut)
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
