"""Measures state and its handling by size: ``python -m fireflylink_experiments.state_size``.

It prints the slope and the residual at four sizes of: bytes and memory of the configuration for
each server, bytes, memory, encoding, decoding, merging and planning time of a table for each shard,
memory of a request id, and memory of a view for each member.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from absl import app, flags

from fireflylink_core import OwnershipTable
from fireflylink_daemon.control import View
from fireflylink_decisions.admission import (
    RequestIdMemory,
    issue_request_id,
    parse_request_id,
)
from fireflylink_decisions.authority import AuthorityBook
from fireflylink_decisions.membership import MemberDirectory
from fireflylink_decisions.ownership import (
    BoundedLoadPlanner,
    PlanningInput,
    Routes,
    merge_tables,
)
from fireflylink_documents import (
    decode_configuration,
    decode_table,
    encode_configuration,
    encode_table,
)
from fireflylink_experiments._control_system import SystemShape
from fireflylink_experiments._fits import fit_line

SERVERS = flags.DEFINE_list("servers", ["40", "80", "160", "320"], "Numbers of servers.")
SHARDS = flags.DEFINE_integer("shards_per_server", 16, "Shards for each server.")
REPEATS = flags.DEFINE_integer("repeats", 3, "Repetitions; the least time counts.", 1, 100)

MICROSECONDS = 1e6
IDS_OF_A_SERVER = 100
NOW_MS = 1_700_000_000_000
TABLE_ID = "dc00.keep"


class Sample:
    """Figures of one size by name, and the size that each is counted against."""

    __slots__ = ("figures",)

    def __init__(self) -> None:
        self.figures: dict[str, tuple[float, float]] = {}

    def take(self, name: str, size: float, value: float) -> None:
        """Takes a figure."""
        self.figures[name] = (size, value)


def memory_of(make: Callable[[], Any]) -> tuple[float, Any]:
    """Returns the bytes that stay allocated after a call, and its result."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return float(used), made


def time_of(work: Callable[[], Any]) -> float:
    """Returns the least processor time of a call in microseconds."""
    times = []
    for _ in range(REPEATS.value):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return min(times) * MICROSECONDS


def planned_table(servers: int) -> tuple[SystemShape, PlanningInput, OwnershipTable]:
    """Returns a settled table for one data centre and the input that plans it again."""
    shape = SystemShape(servers, 1, 1, SHARDS.value)
    configuration = shape.configuration()
    members = shape.members()[: max(1, servers // 3)]
    tables: dict[str, OwnershipTable] = {}
    version = 0
    while True:
        given = PlanningInput(
            configuration=configuration,
            tables=dict(tables),
            table_id=TABLE_ID,
            members=members,
            lost_members=frozenset(),
            down_servers=frozenset(),
            cold_servers=frozenset(),
            shard_loads={
                (name, n): 100.0
                for name in configuration.services
                for n in range(servers * SHARDS.value)
            },
            hot_keys={},
            settled_version=version,
            now_ms=NOW_MS,
            write_id="write",
        )
        plan = BoundedLoadPlanner().plan(given)
        if not plan.tables:
            return shape, given, tables[TABLE_ID]
        tables = {table.table_id: table for table in plan.tables}
        version = tables[TABLE_ID].version


def sample_of(servers: int) -> Sample:
    """Measures one size."""
    sample = Sample()
    shape, given, table = planned_table(servers)
    configuration = given.configuration
    document = encode_configuration(configuration)
    sample.take("configuration_document_bytes_per_server", servers, len(document))
    used, _ = memory_of(lambda: decode_configuration(document))
    sample.take("configuration_memory_bytes_per_server", servers, used)
    shards = len(table.shards)
    encoded = encode_table(table)
    sample.take("table_document_bytes_per_shard", shards, len(encoded))
    used, _ = memory_of(lambda: decode_table(encoded))
    sample.take("table_memory_bytes_per_shard", shards, used)
    used, _ = memory_of(lambda: merge_tables(configuration, [table]))
    sample.take("routes_memory_bytes_per_shard", shards, used)
    sample.take("encode_us_per_shard", shards, time_of(lambda: encode_table(table)))
    sample.take("decode_us_per_shard", shards, time_of(lambda: decode_table(encoded)))
    sample.take("merge_us_per_shard", shards, time_of(lambda: merge_tables(configuration, [table])))
    routes = merge_tables(configuration, [table])
    key, record = next(iter(table.shards.items()))
    changed = table.replace(shards={**table.shards, key: record.replace(epoch=record.epoch + 1)})
    sample.take(
        "merge_one_change_us_per_shard", shards, time_of(lambda: routes.with_table(changed))
    )
    sample.take("plan_us_per_shard", shards, time_of(lambda: BoundedLoadPlanner().plan(given)))
    used, memory = memory_of(lambda: _request_ids(servers * IDS_OF_A_SERVER))
    sample.take("request_id_memory_bytes_per_id", memory.size, used)
    _take_members(sample, shape, given, merge_tables(configuration, [table]))
    return sample


def _request_ids(count: int) -> RequestIdMemory:
    source = random.Random(count)
    memory = RequestIdMemory()
    memory.start_term((0,), NOW_MS)
    for _ in range(count):
        memory.remember(0, parse_request_id(issue_request_id(NOW_MS, source)).unwrap())
    return memory


def _take_members(sample: Sample, shape: SystemShape, given: PlanningInput, routes: Routes) -> None:
    members = shape.members()
    directory = MemberDirectory()
    directory.take_list(members, 0.0)
    used, _ = memory_of(lambda: _view(given, routes, directory))
    sample.take("view_memory_bytes_per_member", len(members), used)
    used, _ = memory_of(shape.members)
    sample.take("member_memory_bytes_per_member", len(members), used)


def _view(given: PlanningInput, routes: Routes, directory: MemberDirectory) -> View:
    by_id = {member.instance_id: member for member in directory.members()}
    book = AuthorityBook().snapshot()
    return View(
        given.configuration, given.tables, routes, book, {TABLE_ID: 1}, by_id, (), "root", False
    )


def main(_arguments: list[str]) -> None:
    """Prints the slope of each figure."""
    samples = [sample_of(int(servers)) for servers in SERVERS.value]
    for name in samples[0].figures:
        points = [sample.figures[name] for sample in samples]
        line = fit_line(points)
        print(
            f"event=slope figure={name} slope={line.slope:.3f} fixed={line.intercept:.0f}"
            f" residual={line.residual:.1f} sizes={','.join(f'{size:.0f}' for size, _ in points)}"
            f" last={points[-1][1]:.0f}",
            flush=True,
        )


if __name__ == "__main__":
    app.run(main)
