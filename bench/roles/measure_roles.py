#!/usr/bin/env python3
"""Measures the resource use of each role of an entry host with real daemons.

usage: bench/roles/measure_roles.py [--build-dir build] [--seconds 8]

It runs one deployment on loopback: 3 data centres with 3, 2 and 2 entry hosts.
Each section varies one quantity (workers, running tasks, starts, calls,
changes) and prints processor time, memory and peer bytes of each role. The cost
per unit in docs/CAPACITY.md is calculated from these figures.
"""

import argparse
import os
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "standins"))

import deployment as standins  # noqa: E402
from caller import Caller  # noqa: E402
from deployment import Deployment, request, wait_for  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CELL = "leith"


def cpu_seconds(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid):
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 2**20


def metric(host, name):
    _, _, body = request(host.operators, "GET", "/metrics")
    for line in body.decode().splitlines():
        if line.startswith(f"bramleypath_{name} "):
            return float(line.split()[1])
    return 0.0


class Sample:
    def __init__(self, hosts):
        self.at = time.monotonic()
        self.cpu = {host.name: cpu_seconds(host.child.pid) for host in hosts}
        self.sent = {host.name: metric(host, "peer_bytes_sent_total")
                     for host in hosts}
        self.received = {host.name: metric(host, "peer_bytes_received_total")
                         for host in hosts}


def roles(deployment):
    """Returns the leader of the cell, another voter of it, and a host that is
    neither a voter of this cell nor a witness of any cell."""
    leader = deployment.wait_leader(f"cell-{CELL}")
    voter = next(host for host in deployment.in_data_centre(CELL)
                 if host is not leader)
    others = [host for host in deployment.hosts.values()
              if host.data_centre != CELL]
    return {"cell_leader": leader, "cell_voter": voter, "other_host": others[-1]}


def report(section, amount, deployment, before, after, count=None):
    seconds = after.at - before.at
    for role, host in roles(deployment).items():
        name = host.name
        cpu = after.cpu[name] - before.cpu[name]
        line = (f"role_cost section={section} amount={amount} role={role} "
                f"cpu_percent={100 * cpu / seconds:.2f} "
                f"rss_mb={resident_mb(host.child.pid):.1f} "
                f"sent_bytes_s={(after.sent[name] - before.sent[name]) / seconds:.0f} "
                f"received_bytes_s="
                f"{(after.received[name] - before.received[name]) / seconds:.0f}")
        if count:
            line += f" us_each={1e6 * cpu / count:.0f} count={count}"
        print(line, flush=True)


def measure(section, amount, deployment, seconds):
    hosts = list(deployment.hosts.values())
    before = Sample(hosts)
    time.sleep(seconds)
    report(section, amount, deployment, before, Sample(hosts))


def add_workers(deployment, total):
    for number in range(len(deployment.workers), total):
        deployment.add_worker(f"w{number}", CELL, rack=f"r{number % 6}",
                              processors=32000, memory=125000, run_ms=600000,
                              announce_ms=2000)
    leader = deployment.wait_leader(f"cell-{CELL}")
    wait_for("all workers were added", lambda: len(deployment.workers) == total
             and leader.running())
    # Waits until each entry host has forwarded the first announcement of each
    # worker, since a worker announces itself every 2 s to one of three hosts in
    # turn.
    time.sleep(8)


def running_tasks(deployment, job):
    return deployment.jobs(CELL)[job].get("running", 0)


def measure_tasks(deployment, seconds):
    total = 0
    for round_number in range(2):
        tasks = 5 * len(deployment.workers)
        job = f"long-{round_number}"
        deployment.submit(job, CELL, tasks=tasks, processors=1000, memory=1000)
        wait_for(f"{job} runs", lambda job=job, tasks=tasks:
                 running_tasks(deployment, job) == tasks, 60)
        total += tasks
        measure("running_tasks", total, deployment, seconds)


def measure_changes(deployment, changes):
    hosts = list(deployment.hosts.values())
    before = Sample(hosts)
    slowest = 0.0
    for number in range(changes):
        started = time.monotonic()
        version = deployment.must_change(
            {"kind": "use_preset", "preset": ("peak", "ordinary")[number % 2]})
        deployment.wait_in_force(version)
        slowest = max(slowest, time.monotonic() - started)
    report("config_changes", changes, deployment, before, Sample(hosts), changes)
    print(f"config_changes slowest_in_force_ms={1000 * slowest:.0f}", flush=True)


def measure_calls(deployment, callers, seconds):
    for number in range(4):
        deployment.add_target(f"t{number}", CELL, times="check=2,recon=20")
    host = next(host for host in deployment.in_data_centre(CELL)
                if host is not deployment.leader_of(f"cell-{CELL}"))
    for number in range(4):
        deployment.wait_target_seen(f"t{number}")
    ended = [0] * callers
    stop_at = time.monotonic() + seconds

    def run(index):
        caller = Caller(deployment.folder / f"calls-{index}.ledger")
        while time.monotonic() < stop_at:
            caller.call(host.callers, ended[index], "check")
            ended[index] += 1
    before = {"cpu": cpu_seconds(host.child.pid), "at": time.monotonic()}
    threads = [threading.Thread(target=run, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cpu = cpu_seconds(host.child.pid) - before["cpu"]
    elapsed_s = time.monotonic() - before["at"]
    print(f"role_cost section=calls amount={sum(ended) / elapsed_s:.0f}_per_s "
          f"role=routing_host us_each={1e6 * cpu / sum(ended):.0f} "
          f"count={sum(ended)} rss_mb={resident_mb(host.child.pid):.1f}",
          flush=True)


def measure_starts(deployment, tasks):
    hosts = list(deployment.hosts.values())
    before = Sample(hosts)
    deployment.submit("short", CELL, tasks=tasks, processors=100, memory=100)
    wait_for("all short tasks were started",
             lambda: running_tasks(deployment, "short") == tasks, 120)
    after = Sample(hosts)
    report("starts", tasks, deployment, before, after, tasks)
    print(f"starts per_second={tasks / (after.at - before.at):.0f}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build-dir", default="build")
    parser.add_argument("--seconds", type=float, default=8.0)
    arguments = parser.parse_args()
    standins.use_build(arguments.build_dir)
    seconds = arguments.seconds
    with Deployment({"leith": 3, "paisley": 2, "dundee": 2}) as deployment:
        deployment.log_level = "info"
        deployment.start_hosts()
        deployment.wait_ready()
        deployment.configure_default()
        measure("idle", 0, deployment, seconds)
        for workers in (20, 40, 80):
            add_workers(deployment, workers)
            measure("workers", workers, deployment, seconds)
        measure_tasks(deployment, seconds)
        measure_starts(deployment, 800)
        measure_changes(deployment, 40)
        measure_calls(deployment, 8, seconds)


if __name__ == "__main__":
    main()
