"""Case 1: a former decider that is cut off from the store gives keys to a server's next life.

In each attempt the decider is cut off from the store while a data centre is evacuated. The next
decider has a server of it release its keys and grants them to others; that server then crashes and
is back at once under its id. Judges what the servers have granted and released.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
COMMON = FOLDER.parent / "common"
sys.path.insert(0, str(COMMON))

from deployment import (  # noqa: E402
    CannotRunError,
    Daemon,
    Helper,
    await_ready,
    check_built,
    free_hosts,
)
from proxy import Proxy  # noqa: E402

DAEMONS = 3
SERVERS = 3
CROSS_ZONE_SECONDS = 0.003
ZONES = ("kingston", "spanish-town", "mandeville")
ATTEMPTS = 5
CUT_SECONDS = 5.5
ATTEMPT_SECONDS = 17.0
BROKEN_SECONDS = 0.5
AFTER_RENEWAL_SECONDS = 0.16
"""When the cut begins, after the renewals of a second: the next decider's first grants then come
a moment after those of the former one, which has nothing more to renew for most of a second."""


class Server:
    """A process of ``holder.py`` that can be killed and started again at its address."""

    def __init__(self, folder: pathlib.Path, number: int) -> None:
        self.id = f"i-{number:04x}"
        self.zone = ZONES[number % len(ZONES)]
        self.log = folder / f"{self.id}.log"
        self.port = 0
        self.start()

    def start(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, str(COMMON / "holder.py"), self.id, str(self.port), str(self.log)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        line = self.process.stdout.readline()
        if not line:
            raise CannotRunError("a server did not start")
        self.port = int(line)
        self.born = int(time.time() * 1000)

    def set_delay(self, seconds: float) -> None:
        self.process.stdin.write(f"{seconds}\n")
        self.process.stdin.flush()

    def entry(self) -> dict:
        return {
            "id": self.id,
            "service": "availability",
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "warmup-left-ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def crash(self) -> None:
        self.kill()
        with self.log.open("a") as log:
            log.write(f"{time.monotonic():.6f} {self.id} 0 killed 0 65535 0 0.0\n")

    def released_since(self, at: float) -> bool:
        return any(
            what == "released" and time_ >= at for time_, _, what, *_ in events_of([self])
        )


def events_of(servers) -> list[tuple]:
    events = []
    for server in servers:
        for line in server.log.read_text().splitlines():
            fields = line.split()
            if len(fields) == 8:
                at, server_id, _, what, first, last, fence, seconds = fields
                events.append(
                    (float(at), server_id, what, int(first), int(last), int(fence), float(seconds))
                )
    return sorted(events)


def main() -> int:
    check_built()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    processes: list = []
    with tempfile.TemporaryDirectory() as name:
        try:
            return run(pathlib.Path(name), processes, trouble)
        finally:
            for process in processes:
                process.kill()


def run(folder, processes, trouble: bool) -> int:
    servers = []
    for number in range(SERVERS):
        servers.append(Server(folder, number))
        processes.append(servers[-1])
    options = {
        "timeouts_ms": [1500, 2000, 1000],
        "servers": {"holds": [2, 0.02], "bookings": [2, 0.02]},
        "others": [server.entry() for server in servers],
    }
    platform = Helper(COMMON / "platform_process.py", json.dumps(options))
    processes.append(platform)
    host, _, port = platform.read()["store"].rpartition(":")
    daemons, proxies = [], {}
    for number, address in enumerate(free_hosts(DAEMONS)):
        proxy = Proxy((host, int(port)))
        daemons.append(Daemon(folder, number, address, proxy.address))
        processes.append(daemons[-1])
        proxies[daemons[-1].name] = proxy
    for daemon in daemons:
        daemon.start()
    await_ready(daemons, 20.0)
    time.sleep(5.0)
    notes = []
    for attempt in range(ATTEMPTS):
        ends_at = time.monotonic() + ATTEMPT_SECONDS
        notes.append(play(attempt, servers, platform, proxies, trouble))
        time.sleep(max(0.0, ends_at - time.monotonic()))
    if any(daemon.process.poll() is not None for daemon in daemons):
        notes.append("a daemon has ended")
    keep = os.environ.get("KEEP")
    if keep:
        for path in folder.glob("*.log"):
            (pathlib.Path(keep) / path.name).write_text(path.read_text())
    return judge(events_of(servers), notes, trouble)


def play(attempt: int, servers, platform, proxies, trouble: bool) -> str:
    decider = platform.ask("decider")
    zone = next(zone for zone in ZONES if zone in decider)
    for server in servers:
        server.set_delay(0.0 if server.zone == zone else CROSS_ZONE_SECONDS)
    await_renewal(servers)
    time.sleep(AFTER_RENEWAL_SECONDS)
    cut_at = time.monotonic()
    if trouble:
        proxies[decider].cut()
    platform.send(f"evacuate {zone}")
    note = f"attempt {attempt}: decider {decider}, cut {trouble}"
    crashed = None
    while trouble and crashed is None and time.monotonic() < cut_at + 4.0:
        for server in servers:
            if server.zone == zone and server.released_since(cut_at):
                crashed = server
                break
        time.sleep(0.002)
    if crashed is not None:
        time.sleep(0.01)  # for the answer to the release
        crashed.crash()
        crashed.start()
        platform.send("register " + json.dumps(crashed.entry()))
        note += (
            f", {crashed.id} released, crashed and was up again "
            f"{time.monotonic() - cut_at:.3f} s after the cut"
        )
    time.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
    proxies[decider].heal() if trouble else None
    time.sleep(2.5)
    platform.send(f"take-back {zone}")
    return note


def await_renewal(servers) -> None:
    """Waits until the present second's renewals have reached all servers."""
    started = time.monotonic()
    while time.monotonic() < started + 3.0:
        granted = [event for event in events_of(servers) if event[2] == "granted"]
        if granted and granted[-1][0] > started and time.monotonic() > granted[-1][0] + 0.03:
            return
        time.sleep(0.005)


def judge(events, notes, trouble: bool) -> int:
    overlaps = both_held(holds_of(events))
    longest = max((overlap[0] for overlap in overlaps), default=0.0)
    lines = [f"trouble: {trouble}", *notes]
    lines.append(f"times that two servers held the same keys: {len(overlaps)}")
    lines.append(f"longest: {longest:.3f} s")
    for seconds, one, other in sorted(overlaps, reverse=True)[:10]:
        lines.append(f"{seconds:.3f} s: {describe(one)} and {describe(other)}")
    lines.append("time server event first last fence seconds")
    lines.extend(" ".join(map(str, event)) for event in events)
    (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[: len(notes) + 8]))
    return 1 if longest > BROKEN_SECONDS else 0


def describe(hold) -> str:
    server, first, last, fence, start, end = hold
    return f"{server} held {first}-{last} under {fence} from {start:.3f} to {end:.3f}"


def holds_of(events) -> list[tuple]:
    """Returns (server, first, last, fence, start, end) for each time that a server held keys."""
    done, current = [], []
    for at, server, what, first, last, fence, seconds in events:
        if what not in ("granted", "released", "killed"):
            continue
        rest = []
        for hold in current:
            name, a, b, held_fence, start, end = hold
            if name != server or b < first or a > last:
                rest.append(hold)
                continue
            done.append((name, max(a, first), min(b, last), held_fence, start, min(end, at)))
            if a < first:
                rest.append((name, a, first - 1, held_fence, start, end))
            if b > last:
                rest.append((name, last + 1, b, held_fence, start, end))
        current = rest
        if what == "granted":
            current.append((server, first, last, fence, at, at + seconds))
    return [*done, *current]


def both_held(holds) -> list[tuple]:
    overlaps = []
    for index, one in enumerate(holds):
        for other in holds[index + 1 :]:
            if one[0] == other[0] or one[2] < other[1] or one[1] > other[2]:
                continue
            seconds = min(one[5], other[5]) - max(one[4], other[4])
            if seconds > 0.001:
                overlaps.append((seconds, one, other))
    return overlaps


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRunError as error:
        print(f"cannot run: {error}")
        sys.exit(2)
