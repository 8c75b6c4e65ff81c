"""Tests of the metrics, state dump, log writer and settings reload of a node."""

import json
import os
from dataclasses import replace

import pytest

from dogwooddock.errors import InvalidSettings
from dogwooddock.logs import RateLimitedWriter
from dogwooddock.mesh.environment import Bounds
from dogwooddock.mesh.latencyhistogram import LatencyHistogram
from dogwooddock.mesh.metrics import dump_state, render_metrics
from dogwooddock.platform.settings import SettingsFile

from .mesh_helpers import running_fleet
from .test_platform import SETTINGS
from .virtual_time import run


def test_metrics_and_state_dump_reflect_a_request():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            await fleet.vms[1].send_request("/read/1")
            text = render_metrics(fleet.vms[1].node).decode()
            assert 'outcome="answered"' in text
            assert 'dogwooddock_request_seconds_count{route="read"} 1' in text
            state = json.loads(json.dumps(dump_state(fleet.vms[0].node)))
            assert (state["target"], state["config_version"]) == ("t-0", 1)
            assert len(state["members"]) == 2

    run(scenario())


def test_histogram_counts_each_duration_once():
    histogram = LatencyHistogram()
    for seconds in (0.001, 0.03, 0.03, 9.0):
        histogram.observe("r", seconds)
    lines = histogram.render("x").splitlines()
    assert 'x_bucket{route="r",le="0.002"} 1' in lines
    assert 'x_bucket{route="r",le="0.05"} 3' in lines
    assert 'x_bucket{route="r",le="+Inf"} 4' in lines


@pytest.mark.parametrize("invalid", [False, True])
def test_reload_applies_valid_settings_and_ignores_invalid_ones(invalid):
    async def scenario():
        async with running_fleet("shop") as fleet:
            node = fleet.vms[0].node
            before = node.env
            settings = node._platform.read_environment.__self__
            settings.env = replace(before, bounds=Bounds(grace_s=9.0), zone="moved")
            if invalid:
                settings.error = InvalidSettings("field zone is wrong; correct it")
            node.reload()
            assert node.env.zone == before.zone
            assert node.env.bounds.grace_s == (
                before.bounds.grace_s if invalid else 9.0
            )
            answer = await fleet.vms[0].send_request("/read/1")
            assert answer.status == 200

    run(scenario())


def test_changed_settings_file_is_detected(tmp_path):
    path = tmp_path / "local.json"
    path.write_text(json.dumps(SETTINGS))
    file = SettingsFile(str(path), 9464)
    assert file.read().operator_listen == ("10.1.0.8", 9464)
    assert not file.changed()
    path.write_text(json.dumps({**SETTINGS, "seeds": []}))
    assert file.changed()
    assert file.read().contacts == ()
    assert not file.changed()


def test_log_writer_limits_its_rate_and_never_blocks():
    reader, writer = os.pipe()
    try:
        bounded = RateLimitedWriter(writer, lines_per_s=0.0, burst=3)
        written = sum(bounded.admit() for _ in range(10))
        assert written == 3
        assert bounded.dropped_lines == 7
        bounded.write("event=next\n")
        assert os.read(reader, 1000) == b"event=lines_left_out count=7\nevent=next\n"
        # With a full pipe, lines are dropped instead of blocking the writer.
        for _ in range(3):
            bounded.write("x" * 60_000 + "\n")
        assert bounded.dropped_lines > 0
    finally:
        os.close(reader)
        os.close(writer)
