"""When a daemon that shuts down accepts, passes on and answers requests."""

from fireflylink_decisions.shutdown._shutdown_plan import ShutdownPlan

__all__ = ["ShutdownPlan"]
