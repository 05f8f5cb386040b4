"""The lines that the programs of a run have logged about some ids."""

import pathlib
import re

MAX_LINES = 40


def log_lines_of(folder: pathlib.Path, text: str) -> list[str]:
    """Returns the logged lines that contain any id named in ``text``, by program.

    An id is a request id of 16 hexadecimal digits or the id of a server.
    """
    ids = set(re.findall(r"\b[0-9a-f]{16}\b|\b[kp]\d+-\d+\b", text))
    if not ids:
        return []
    return [
        f"{path.stem}: {line}"
        for path in sorted((*folder.glob("*.log"), *folder.glob("*.events")))
        for line in path.read_text(errors="replace").splitlines()
        if any(name in line for name in ids)
    ][-MAX_LINES:]
