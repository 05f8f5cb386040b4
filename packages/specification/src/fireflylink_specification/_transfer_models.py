"""The models of one key: deciders, bounds and faults of each."""

from fireflylink_specification._guards import Guard
from fireflylink_specification._state import RESTORED_FENCE
from fireflylink_specification._transfer import BaseTransferModel


class SteadyDeciderModel(BaseTransferModel):
    """One decider that loses its record and takes over again; servers crash; grants are late."""

    name = "steady-decider"
    bounds = "1 decider, 2 servers, 4 fences, 1 late grant, crashes"
    guards = (Guard.RELEASE_FENCE, Guard.HOLD_WAIT, Guard.COUNT_UNANSWERED)
    decider_count = 1
    max_fence = 4


class TakeoverModel(BaseTransferModel):
    """Two deciders; the former one may continue until it learns of the other."""

    name = "takeover"
    bounds = "2 deciders, 2 servers, 3 fences, 1 late grant, crashes"
    guards = (
        Guard.CONDITIONAL_COMMIT,
        Guard.RELEASE_FENCE,
        Guard.HOLD_WAIT,
        Guard.TAKEOVER_WAIT,
    )
    decider_count = 2


class LongGraceModel(BaseTransferModel):
    """Two deciders; the former decider may continue for longer than a hold lasts.

    The model leaves out ``FORMER_ENDED``, which would cover the lack of ``TAKEOVER_FENCE`` as well.
    """

    name = "long-grace"
    bounds = "2 deciders, 2 servers, 4 fences"
    guards = (Guard.OUTAGE_GRACE, Guard.TAKEOVER_FENCE, Guard.YIELD)
    decider_count = 2
    grace_ticks = 2
    max_fence = 4
    has_crashes = False
    has_late_grants = False
    has_former_ended = False


class LostReplyModel(BaseTransferModel):
    """Two deciders; the store commits a table and the reply to its writer is lost."""

    name = "lost-reply"
    bounds = "2 deciders, 2 servers, 4 fences, lost replies"
    guards = (Guard.ALONE_TABLE, Guard.SUSPEND_MOVED)
    decider_count = 2
    grace_ticks = 2
    max_fence = 4
    has_crashes = False
    has_late_grants = False
    has_lost_replies = True


class RestartModel(BaseTransferModel):
    """Two deciders; servers restart with the same id while the former decider still grants.

    The guard ``FORMER_ENDED`` alone would cover this fault as well, so the model leaves it out: it
    shows that ``LAPSED_GRANT`` suffices for servers that are down for longer than a hold.
    """

    name = "restart"
    bounds = "2 deciders, 2 servers, 3 fences, crashes"
    guards = (Guard.LAPSED_GRANT,)
    decider_count = 2
    grace_ticks = 3
    has_late_grants = False
    has_former_ended = False


class QuickRestartModel(BaseTransferModel):
    """One decider; servers restart with the same id within the time of a hold."""

    name = "quick-restart"
    bounds = "1 decider, 2 servers, 4 fences, quick restarts"
    guards = (Guard.RESTART_HOLD,)
    decider_count = 1
    max_fence = 4
    has_crashes = False
    has_late_grants = False
    has_quick_restarts = True


class QuickRestartTakeoverModel(BaseTransferModel):
    """Two deciders; servers restart with the same id within the time of a hold.

    A former decider that is cut off from the store still grants to a server that has released the
    key, or has confirmed a higher fence, and has restarted since.
    """

    name = "quick-restart-takeover"
    bounds = "2 deciders, 2 servers, 3 fences, quick restarts"
    guards = (Guard.FORMER_ENDED,)
    decider_count = 2
    grace_ticks = 2
    has_crashes = False
    has_late_grants = False
    has_quick_restarts = True


class RestoredStoreModel(BaseTransferModel):
    """Two deciders; the store is restored from a copy that lacks the table of the first one.

    The copy has the initial table. All that the next decider knows of the holders is that no
    earlier decider is confirmed by the store after the restore. Servers restart with the same id
    within the time of a hold, so that they forget the fence of a release.
    """

    name = "restored-store"
    bounds = "2 deciders, 2 servers, 2 fences before and 2 after the restore, quick restarts"
    guards = (Guard.RESTORE_WAIT,)
    decider_count = 2
    max_fence = RESTORED_FENCE + 1
    has_crashes = False
    has_late_grants = False
    has_quick_restarts = True
    has_restores = True


class WaitingGrantModel(BaseTransferModel):
    """One decider whose grants wait before they are sent, while it moves the key."""

    name = "waiting-grant"
    bounds = "1 decider, 2 servers, 4 fences, 1 waiting grant, crashes"
    guards = (Guard.SEND_DEADLINE,)
    decider_count = 1
    max_fence = 4
    has_late_grants = False
    has_waiting_grants = True


class WaitingGrantRestartModel(BaseTransferModel):
    """One decider whose grants wait at its sender, while it moves the key and servers restart.

    A server that is being restarted gets the waiting grant after it has released the key, and has
    forgotten the release.
    """

    name = "waiting-grant-restart"
    bounds = "1 decider, 2 servers, 3 fences, 1 waiting grant, quick restarts"
    guards = (Guard.SETTLED_GRANTS,)
    decider_count = 1
    has_crashes = False
    has_late_grants = False
    has_waiting_grants = True
    has_quick_restarts = True
