"""Guards the operators' page of log events against the sources."""

import ast
import pathlib
import re

from testtools.assertions import assert_that
from testtools.matchers import Equals

ROOT = pathlib.Path(__file__).parents[3]
PAGE = ROOT / "docs" / "operators" / "log-events.md"
LEVELS = {"log_event": "INFO", "log_problem": "WARNING"}

Event = tuple[str, str, tuple[str, ...]]


def _logged_events() -> set[Event]:
    events = set()
    for path in ROOT.glob("packages/*/src/**/*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
                level = LEVELS.get(node.func.id)
                if level is not None:
                    events.add(_event(level, node))
    return events


def _event(level: str, call: ast.Call) -> Event:
    name = ast.literal_eval(call.args[0])
    return name, level, tuple(str(keyword.arg) for keyword in call.keywords)


def _listed_events() -> list[Event]:
    rows = re.findall(r"^\| `([a-z-]+)` \| (\w+) \| ([^|]*)\|", PAGE.read_text(), re.MULTILINE)
    return [(name, level, tuple(re.findall(r"`(\w+)`", fields))) for name, level, fields in rows]


def test_page_lists_every_event_with_its_fields() -> None:
    """An operator who searches the page for a logged name must find it."""
    listed = _listed_events()
    assert_that(sorted(listed), Equals(sorted(_logged_events())))
    assert_that(len(set(listed)), Equals(len(listed)))
