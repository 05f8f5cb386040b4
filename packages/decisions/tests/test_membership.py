"""Guards who is the root, whom daemons ask and whom a root counts as lost."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from fireflylink_core import Member, MemberProgress, MemberState
from fireflylink_decisions.membership import (
    FAN_OUT,
    MEMBER_LOSS_TIMEOUT,
    ConfigurationProgress,
    MemberDirectory,
    RootSuccession,
    parent_candidates,
)

NOW = 100.0


def _member(name: str, state: MemberState = MemberState.LIVE) -> Member:
    return Member(name, "kingston", "127.0.0.1", 1, 2, state)


@pytest.fixture
def directory() -> MemberDirectory:
    """A directory that has the platform's list of three daemons."""
    directory = MemberDirectory()
    directory.take_list([_member("a"), _member("b"), _member("c")], NOW)
    return directory


def test_later_voter_becomes_root_when_the_earlier_ones_are_silent() -> None:
    """Nobody would renew authority after the loss of a root (takeover within 2 s)."""
    succession = RootSuccession("b")
    succession.note_answer("a", NOW)
    assert_that(succession.is_root(("a", "b", "c"), NOW + 0.5), Is(False))
    assert_that(succession.is_root(("a", "b", "c"), NOW + MEMBER_LOSS_TIMEOUT), Is(True))
    succession.note_answer("a", NOW + 2)
    assert_that(succession.is_root(("a", "b", "c"), NOW + 2.1), Is(False))


def test_silent_member_is_lost_and_a_heard_one_is_not(directory: MemberDirectory) -> None:
    """Groups of a lost daemon would wait for ever for their gateway."""
    directory.hear_of("a", NOW + 1)
    lost = directory.lost(NOW + 1.5, ["a", "b"])
    assert_that(lost, Equals(frozenset({"b"})))


def test_new_root_gives_each_member_a_full_timeout(directory: MemberDirectory) -> None:
    """A new root that has heard from nobody yet would move every group at once."""
    directory.restart_watch(NOW + 50)
    assert_that(directory.lost(NOW + 50.5, ["a", "b", "c"]), HasLength(0))


def test_announced_leave_outlives_the_lagging_list(directory: MemberDirectory) -> None:
    """A leaving daemon would be given new groups because the list still calls it live (P9)."""
    directory.hear(_member("a", MemberState.LEAVING), NOW)
    directory.take_list([_member("a"), _member("b")], NOW + 0.1)
    assert_that([m.instance_id for m in directory.live("kingston", NOW + 0.2)], Equals(["b"]))


@pytest.mark.parametrize("size", [3, 9, 62, 200])
def test_no_daemon_has_more_children_than_the_fan_out_allows(size: int) -> None:
    """A root that answers every daemon itself exceeds its control budget at the target size."""
    members = tuple(_member(f"entry-{number:03}") for number in range(size))
    voters = tuple(member.instance_id for member in members[: min(5, size)])
    children: dict[str, int] = {}
    for member in members:
        candidates = parent_candidates(member.instance_id, members, voters, voters[0])
        if candidates:
            children[candidates[0]] = children.get(candidates[0], 0) + 1
    # Rendezvous spreads children unevenly; the widest relay stays within a small multiple.
    assert_that(max(children.values()), LessThan(max(FAN_OUT + 1, 2.5 * size / FAN_OUT)))


def test_daemon_without_the_version_is_named_as_lagging() -> None:
    """Operators would be told that a note is in force where it is not (P10)."""
    progress = ConfigurationProgress()
    progress.note(MemberProgress("a", 7), NOW)
    progress.note(MemberProgress("b", 6), NOW)
    found = progress.in_force(7, ("a", "b", "c"))
    assert_that((found.confirmed, found.lagging), Equals((1, ("b", "c"))))
