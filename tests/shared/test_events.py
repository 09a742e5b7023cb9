"""Tests of log events as text and as JSON lines."""

import contextlib
import datetime
import io
import json
import unittest

from absl import logging

from rhubarbwinch.shared import events
from rhubarbwinch.shared.events import LogFormat


def _written(log_format, level, log):
    """Returns what `log` writes to stderr."""
    stderr = io.StringIO()
    handler = logging.get_absl_handler()
    stream = handler.python_handler.stream
    events.configure(log_format, level, "entry-1")
    handler.python_handler.stream = stderr
    try:
        with contextlib.redirect_stderr(stderr):
            log()
    finally:
        handler.python_handler.stream = stream
        events.configure(LogFormat.TEXT, "fatal", "-")
    return stderr.getvalue()


def _log():
    events.REQUEST_FAILED.log(name="a\nb", verdict="not-run")


class EventsTest(unittest.TestCase):
    """The text and JSON formats of a log line."""

    def test_a_json_line_nests_the_fields_of_the_event(self):
        line = json.loads(_written(LogFormat.JSON, "info", _log))
        time = datetime.datetime.fromisoformat(line.pop("time"))
        self.assertEqual(time.utcoffset(), datetime.timedelta(0))
        wanted = {
            "level": "info",
            "event": 50,
            "name": "request-failed",
            "process": "entry-1",
            "fields": {"name": "a\nb", "verdict": "not-run"},
        }
        self.assertEqual(line, wanted)

    def test_a_text_line_stays_one_line(self):
        text = _written(LogFormat.TEXT, "info", _log)
        self.assertEqual(text.count("\n"), 1)
        wanted = r"RW0050 request-failed name='a\nb' verdict=not-run"
        self.assertIn(wanted, text)

    def test_lines_below_the_level_are_not_written(self):
        for log_format in LogFormat:
            self.assertEqual(_written(log_format, "warning", _log), "")

    def test_an_event_number_can_not_be_reused(self):
        with self.assertRaises(ValueError):
            events.Event(50, "again", logging.INFO, "A number that is taken.")
