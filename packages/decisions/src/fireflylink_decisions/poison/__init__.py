"""Detection of requests that crash every server that runs them."""

from fireflylink_decisions.poison._poison_registry import PoisonRegistry, fingerprint_of

__all__ = ["PoisonRegistry", "fingerprint_of"]
