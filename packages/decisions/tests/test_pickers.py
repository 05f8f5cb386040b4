"""Guards the choice of a server: slow ones are avoided, none is overloaded or forgotten."""

from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from fireflylink_decisions.limits import ReportedState, ServerLimiter
from fireflylink_decisions.routing import (
    BasePicker,
    LatencyAwarePicker,
    LeastInFlightPicker,
    RoundRobinPicker,
)

MakeServers = Callable[..., tuple[ServerLimiter, ...]]


@pytest.fixture
def make_servers() -> MakeServers:
    def make(count: int, slots: int = 4) -> tuple[ServerLimiter, ...]:
        servers = tuple(ServerLimiter(f"s{i}", slots, 1, 110) for i in range(count))
        for server in servers:
            server.reported("g", ReportedState.WARM, 0.0)
            server.adopt("g", slots, 0.0)
        return servers

    return make


class Driver:
    """Runs rounds of requests that start together through a picker, each with a latency."""

    def __init__(self, picker: BasePicker, servers: tuple[ServerLimiter, ...]) -> None:
        self.picker = picker
        self.servers = servers
        self.now = 0.0
        self.chosen: Counter[str] = Counter()

    def run(self, rounds: int, latencies: dict[str, float], together: int = 1) -> None:
        for _ in range(rounds):
            self.run_round(latencies, together)

    def run_round(self, latencies: dict[str, float], together: int) -> None:
        started = []
        for index in range(together):
            server = self.picker.pick(self.servers, self.now)
            if server is None:
                break
            self.chosen[server.server_id] += 1
            server.start()
            self.picker.started(server.server_id, f"c{index}", self.now)
            started.append((f"c{index}", server))
        self.now += 0.01
        for call_id, server in started:
            server.end()
            latency = latencies.get(server.server_id, 0.01)
            self.picker.ended(server.server_id, call_id, latency, True, self.now)


def test_slow_server_is_ejected_after_a_few_slow_answers(make_servers: MakeServers) -> None:
    """A straggler would hold its share of the requests and set the tail latency."""
    picker = LatencyAwarePicker()
    driver = Driver(picker, make_servers(4))
    driver.run(40, {}, together=12)
    driver.chosen.clear()
    driver.run(20, {"s0": 0.1}, together=10)
    assert_that(picker.ejected, Equals({"s0"}))
    assert_that(driver.chosen["s0"], LessThan(8))


def test_at_most_a_third_of_the_group_is_ejected(make_servers: MakeServers) -> None:
    """Ejecting most of a group would overload the rest of it."""
    picker = LatencyAwarePicker()
    driver = Driver(picker, make_servers(6))
    driver.run(40, {}, together=20)
    driver.run(20, {"s0": 0.2, "s1": 0.2, "s2": 0.15}, together=15)
    assert_that(len(picker.ejected), Equals(2))


def test_one_request_that_hangs_does_not_eject_its_server(make_servers: MakeServers) -> None:
    """A caller's slow request would cost the group a healthy server."""
    picker = LatencyAwarePicker()
    driver = Driver(picker, make_servers(2))
    driver.run(200, {})
    picker.started("s0", "hanging", driver.now)
    picker.ended("s0", "hanging", 5.0, False, driver.now)
    assert_that(picker.ejected, Equals(set()))


def test_recovered_server_gets_its_share_again_step_by_step(make_servers: MakeServers) -> None:
    """A server that was slow once would stay unused, or be flooded on its return."""
    picker = LatencyAwarePicker()
    servers = make_servers(3)
    driver = Driver(picker, servers)
    driver.run(40, {}, together=10)
    driver.run(5, {"s0": 0.2}, together=10)
    assert_that(picker.ejected, Equals({"s0"}))
    driver.now += 30.0
    assert_that(picker.usable(servers[0], driver.now), Equals(1))
    driver.run(100, {}, together=8)
    assert_that(picker.ejected, Equals(set()))
    assert_that(picker.usable(servers[0], driver.now), Equals(4))


def test_frozen_server_is_avoided_before_its_first_deadline(make_servers: MakeServers) -> None:
    """A frozen server answers nothing, so its mean latency says that it is fast."""
    picker = LatencyAwarePicker()
    servers = make_servers(2)
    driver = Driver(picker, servers)
    driver.run(100, {})
    servers[0].start()
    picker.started("s0", "frozen", driver.now)
    for _ in range(3):
        servers[1].start()
    chosen = picker.pick(servers, driver.now + 1.0)
    assert_that(chosen, Is(servers[1]))


def test_cold_server_comes_last_but_is_warmed_up(make_servers: MakeServers) -> None:
    """Without requests it would stay cold, and be missing when the load rises."""
    servers = make_servers(3)
    servers[0].saw_generation("new", 1.0)
    driver = Driver(LatencyAwarePicker(), servers)
    driver.run(160, {})
    assert_that(driver.chosen["s0"], GreaterThan(10))
    assert_that(driver.chosen["s0"], LessThan(30))


def test_ejected_server_is_used_when_every_other_is_cold(make_servers: MakeServers) -> None:
    """The group would refuse requests although a slow server could run them."""
    picker = LatencyAwarePicker()
    servers = make_servers(2)
    driver = Driver(picker, servers)
    driver.run(40, {}, together=6)
    driver.run(5, {"s0": 0.2}, together=6)
    assert_that(picker.ejected, Equals({"s0"}))
    servers[1].saw_generation("new", 1.0)
    servers[1].start()
    assert_that(picker.pick(servers, driver.now), Is(servers[0]))


def naive_round_robin(state: dict[str, int], servers: tuple[ServerLimiter, ...]) -> str:
    order = [(state["next"] + offset) % len(servers) for offset in range(len(servers))]
    for index in order:
        if servers[index].free > 0:
            state["next"] = index + 1
            return servers[index].server_id
    return ""


def naive_least_in_flight(state: dict[str, int], servers: tuple[ServerLimiter, ...]) -> str:
    count = len(servers)
    order = [servers[(state["next"] + offset) % count] for offset in range(count)]
    state["next"] += 1
    free = [server for server in order if server.free > 0]
    return min(free, key=lambda server: server.in_flight).server_id if free else ""


def naive_latency_aware(state: dict[str, int], servers: tuple[ServerLimiter, ...]) -> str:
    state["next"] += 1
    order = [servers[(state["next"] + offset) % len(servers)] for offset in range(len(servers))]
    free = [server for server in order if server.free > 0]
    return min(free, key=lambda server: server.in_flight).server_id if free else ""


@pytest.mark.parametrize(
    ("picker_type", "naive"),
    [
        (RoundRobinPicker, naive_round_robin),
        (LeastInFlightPicker, naive_least_in_flight),
        (LatencyAwarePicker, naive_latency_aware),
    ],
)
@given(steps=st.lists(st.integers(-4, 3), max_size=60))
def test_picker_agrees_with_a_naive_one_over_any_history(
    picker_type: type[BasePicker],
    naive: Callable[[dict[str, int], tuple[ServerLimiter, ...]], str],
    steps: list[int],
) -> None:
    """A picker could choose a full server, or none while one is free. Latencies are equal here."""
    picker = picker_type()
    servers = tuple(ServerLimiter(f"s{i}", 2, 2, 110) for i in range(4))
    state = {"next": 0}
    for index, step in enumerate(steps):
        if step >= 0 and servers[step].in_flight:
            servers[step].end()
            continue
        expected = naive(state, servers)
        chosen = picker.pick(servers, 0.0)
        assert_that(chosen.server_id if chosen else "", Equals(expected))
        if chosen:
            chosen.start()
            picker.started(chosen.server_id, f"c{index}", 0.0)
