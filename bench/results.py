"""Results of benchmarks as JSON files."""

import json
import platform
import subprocess
import time
from pathlib import Path
from typing import Any

RESULTS = Path("results")


def save_results(section: str, document: dict[str, Any]) -> Path:
    """Write the results of a benchmark with time and revision; return the file."""
    RESULTS.mkdir(exist_ok=True)
    record = {
        "section": section,
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "revision": _revision(),
        "python": platform.python_version(),
        **document,
    }
    path = RESULTS / f"{section}.json"
    path.write_text(json.dumps(record, indent=2) + "\n")
    return path


def _revision() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return completed.stdout.strip()
