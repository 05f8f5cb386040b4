"""Settings of generated load."""

from fireflylink_core import BaseFireflylinkError, BaseValue

MAX_RATE = 20_000.0
MAX_DURATION = 3600.0


class LoadSettingsError(BaseFireflylinkError):
    """Load was asked for that is not bounded as it has to be."""


class LoadSettings(BaseValue):
    """Load on one service through one or more entry daemons.

    ``rate`` is in requests per second, ``duration`` in seconds. ``keys`` is the number of keys, 0
    for a pooled service, drawn with a Zipf exponent of ``zipf``. ``methods`` maps each method to
    its share. At most ``outstanding`` requests are open at once; further ones are skipped.
    """

    __slots__ = (
        "addresses",
        "body_bytes",
        "duration",
        "keys",
        "methods",
        "outstanding",
        "rate",
        "seed",
        "service",
        "tenant",
        "timeout_ms",
        "zipf",
    )

    def __init__(
        self,
        addresses: tuple[tuple[str, int], ...],
        service: str,
        rate: float,
        duration: float,
        seed: int = 1,
        keys: int = 0,
        zipf: float = 1.0,
        methods: tuple[tuple[str, float], ...] = (("GET", 1.0),),
        timeout_ms: int = 2000,
        tenant: str = "load",
        body_bytes: int = 32,
        outstanding: int = 2000,
    ) -> None:
        if not 0 < rate <= MAX_RATE or not 0 < duration <= MAX_DURATION:
            raise LoadSettingsError(f"rate is at most {MAX_RATE}, duration at most {MAX_DURATION}")
        self.addresses = addresses
        self.service = service
        self.rate = rate
        self.duration = duration
        self.seed = seed
        self.keys = keys
        self.zipf = zipf
        self.methods = methods
        self.timeout_ms = timeout_ms
        self.tenant = tenant
        self.body_bytes = body_bytes
        self.outstanding = outstanding
