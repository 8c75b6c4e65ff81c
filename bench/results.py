"""Machine-readable results of bench sections."""

import json
import platform
import subprocess
import time
from pathlib import Path
from typing import Any

RESULTS = Path("results")


def save(section: str, document: dict[str, Any]) -> Path:
    """Write a section's results as JSON and return the file."""
    RESULTS.mkdir(exist_ok=True)
    stamped = {
        "section": section,
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "revision": _revision(),
        "python": platform.python_version(),
        **document,
    }
    path = RESULTS / f"{section}.json"
    path.write_text(json.dumps(stamped, indent=2) + "\n")
    return path


def _revision() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip()
