"""Sends load: ``python -m fireflylink_standins.load --url http://127.0.0.1:8000 --service s``.

It prints one line of JSON. With ``--admin_url`` it reads the journals of the backend stand-ins
afterwards and compares them with what callers were told.
"""

import json
import sys
from typing import Any
from urllib.parse import quote, urlsplit

from absl import app, flags
from geventhttpclient import HTTPClient

from fireflylink_standins._journal import JournalEntry, entry_from_document
from fireflylink_standins._load_generator import LoadGenerator
from fireflylink_standins._load_report import verify
from fireflylink_standins._load_settings import LoadSettings

URL = flags.DEFINE_list("url", None, "URLs of entry daemons.", required=True)
ADMIN_URL = flags.DEFINE_list("admin_url", [], "URLs of admin endpoints of backend stand-ins.")
SERVICE = flags.DEFINE_string("service", "service", "Service to call.")
RATE = flags.DEFINE_float("rate", 100.0, "Requests per second.")
DURATION = flags.DEFINE_float("duration", 5.0, "Seconds of load.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of times, methods and keys.")
KEYS = flags.DEFINE_integer("keys", 0, "Number of keys; 0 for a pooled service.")
ZIPF = flags.DEFINE_float("zipf", 1.0, "Zipf exponent of the keys.")
METHODS = flags.DEFINE_list("methods", ["GET=1"], "Shares of methods, as GET=0.5,POST=0.5.")
TIMEOUT_MS = flags.DEFINE_integer("timeout_ms", 2000, "Timeout that callers ask for.")
TENANT = flags.DEFINE_string("tenant", "load", "Tenant of the callers.")
OUTSTANDING = flags.DEFINE_integer("outstanding", 2000, "Requests that are open at once.")


def fetch_journal(admin_url: str) -> tuple[list[JournalEntry], dict[str, int]]:
    """Returns all journal entries, and the counts of violations, of an admin endpoint."""
    parts = urlsplit(admin_url)
    client = HTTPClient(str(parts.hostname), port=parts.port)
    entries: list[JournalEntry] = []
    position: dict[str, int] = {}
    while True:
        target = f"/admin/journal?after={quote(json.dumps(position))}"
        page: dict[str, Any] = json.loads(client.get(target).read())
        entries += [entry_from_document(document) for document in page["entries"]]
        if not page["entries"]:
            client.close()
            return entries, page["violations"]
        position = page["next"]


def settings_from_flags() -> LoadSettings:
    """Returns the settings that the flags give."""
    addresses = [urlsplit(url) for url in URL.value]
    shares = [method.split("=") for method in METHODS.value]
    return LoadSettings(
        addresses=tuple((str(parts.hostname), int(parts.port or 80)) for parts in addresses),
        service=SERVICE.value,
        rate=RATE.value,
        duration=DURATION.value,
        seed=SEED.value,
        keys=KEYS.value,
        zipf=ZIPF.value,
        methods=tuple((method, float(share)) for method, share in shares),
        timeout_ms=TIMEOUT_MS.value,
        tenant=TENANT.value,
        outstanding=OUTSTANDING.value,
    )


def main(_arguments: list[str]) -> None:
    """Runs the load and prints the report; fails when the journals contradict it."""
    report = LoadGenerator(settings_from_flags()).run()
    document = report.as_document()
    faulty = False
    if ADMIN_URL.value:
        entries: list[JournalEntry] = []
        violations: dict[str, int] = {}
        for admin_url in ADMIN_URL.value:
            found, counts = fetch_journal(admin_url)
            entries += found
            for kind, count in counts.items():
                violations[kind] = violations.get(kind, 0) + count
        checked = verify(report.post_outcomes, entries)
        faults = {
            "duplicated": len(checked.duplicated),
            "lost": len(checked.lost),
            "wrong_not_run": len(checked.wrong_not_run),
            "overlaps": checked.overlaps,
        }
        faulty = any(faults.values())
        document.update(executed=len(entries), violations=violations, **faults)
    print(json.dumps(document), flush=True)
    sys.exit(1 if faulty else 0)


if __name__ == "__main__":
    app.run(main)
