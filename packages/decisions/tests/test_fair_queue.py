"""Guards the queue in front of a group: bounded, fair across tenants, aware of deadlines."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from fireflylink_core import CallerRequest
from fireflylink_decisions.limits import FairQueue, QueueEntry


def entry(call_id: str, tenant: str = "a", latest_start: float = 100.0) -> QueueEntry:
    request = CallerRequest("bookings", "", "GET", b"", 100.0, tenant)
    return QueueEntry(call_id, request, latest_start)


def test_tenant_with_many_requests_does_not_delay_another() -> None:
    """One tenant's burst would otherwise keep the requests of all others waiting."""
    queue: FairQueue[QueueEntry] = FairQueue(100)
    for index in range(50):
        queue.push(entry(f"a{index}", "a"))
    for index in range(5):
        queue.push(entry(f"b{index}", "b"))
    first = [taken.call_id for taken in (queue.pop() for _ in range(12)) if taken]
    assert_that(Counter(call_id[0] for call_id in first)["b"], Equals(5))


def test_full_queue_refuses_the_tenant_that_fills_it() -> None:
    """A tenant below its share must find room in a queue that another tenant has filled."""
    queue: FairQueue[QueueEntry] = FairQueue(4)
    for index in range(4):
        assert_that(queue.push(entry(f"a{index}", "a")), Is(None))
    own = entry("a4", "a")
    assert_that(queue.push(own), Is(own))
    displaced = queue.push(entry("b0", "b"))
    assert_that(displaced.call_id if displaced else "", Equals("a3"))
    assert_that(queue, HasLength(4))


def test_request_that_cannot_finish_in_time_leaves_the_queue() -> None:
    """A server would otherwise work on requests whose callers have gone."""
    queue: FairQueue[QueueEntry] = FairQueue(4)
    queue.push(entry("late", latest_start=10.0))
    queue.push(entry("later", latest_start=20.0))
    assert_that([e.call_id for e in queue.expire(10.1)], Equals(["late"]))
    assert_that(queue.expire(10.2), Equals(()))
    assert_that([e.call_id for e in queue.expire(20.1)], Equals(["later"]))


def test_cancelled_requests_leave_nothing_behind() -> None:
    """Callers that come and go would otherwise fill the memory while no server is free."""
    queue: FairQueue[QueueEntry] = FairQueue(4)
    for index in range(1000):
        queue.push(entry(f"c{index}", f"t{index}", latest_start=100.0 + index))
        queue.remove(f"c{index}")
    sizes = (len(queue.entries), len(queue.ring), len(queue.wheel), len(queue.by_length))
    assert_that(sizes, Equals((0, 0, 0, 0)))


class NaiveQueue:
    """Deficit round robin with a plain list per tenant."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.lists: dict[str, list[QueueEntry]] = {}
        self.deficits: dict[str, float] = {}

    def push(self, new: QueueEntry) -> None:
        tenant = new.request.tenant
        if sum(map(len, self.lists.values())) >= self.limit:
            longest = max(map(len, self.lists.values()))
            if len(self.lists.get(tenant, [])) + 1 >= longest:
                return
            candidates = [name for name, held in self.lists.items() if len(held) == longest]
            self.drop(self.lists[candidates[0]][-1].call_id)
        self.lists.setdefault(tenant, []).append(new)
        self.deficits.setdefault(tenant, 0.0)

    def drop(self, call_id: str) -> None:
        for tenant, held in list(self.lists.items()):
            self.lists[tenant] = [e for e in held if e.call_id != call_id]
            if not self.lists[tenant]:
                del self.lists[tenant], self.deficits[tenant]

    def pop(self) -> str:
        while self.lists:
            tenant = next(iter(self.lists))
            head = self.lists[tenant][0]
            if self.deficits[tenant] >= head.cost:
                self.deficits[tenant] -= head.cost
                self.drop(head.call_id)
                return head.call_id
            self.deficits[tenant] += 2.0
            self.lists[tenant] = self.lists.pop(tenant)
        return ""


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "push", "pop", "remove"]),
        st.sampled_from("abc"),
        st.floats(1.0, 2.0),
    ),
    max_size=80,
)


@given(OPERATIONS)
def test_queue_agrees_with_a_naive_one_over_any_history(
    operations: list[tuple[str, str, float]],
) -> None:
    """The constant-time bookkeeping could lose, repeat or reorder a request."""
    queue: FairQueue[QueueEntry] = FairQueue(5)
    naive = NaiveQueue(5)
    for index, (name, tenant, cost) in enumerate(operations):
        if name == "push":
            new = entry(f"{index}", tenant)
            new.cost = cost
            lengths = [len(held) for held in naive.lists.values()]
            if len(queue) < 5 or lengths.count(max(lengths)) == 1:
                queue.push(new)
                naive.push(new)
        elif name == "pop":
            taken = queue.pop()
            assert_that(taken.call_id if taken else "", Equals(naive.pop()))
        else:
            call_id = str(int(cost * 10))
            queue.remove(call_id)
            naive.drop(call_id)
        ids = {e.call_id for held in naive.lists.values() for e in held}
        assert_that(set(queue.entries), Equals(ids))
        assert_that(len(queue), LessThan(6))
