"""Numbered log events; docs/events.md is their catalogue."""

import datetime
import enum
import logging as stdlib_logging
import sys
from typing import Any

import orjson
from absl import flags, logging

from rhubarbwinch.shared.logoutput import LineOutput


class LogFormat(enum.StrEnum):
    """How log lines are written."""

    TEXT = "text"
    JSON = "json"


_LEVELS = {
    logging.DEBUG: "debug",
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
}


class _Output:
    """What all events share: the format and the process's name."""

    def __init__(self) -> None:
        self.format = LogFormat.TEXT
        self.process = "-"
        self.lines: LineOutput | None = None


_output = _Output()
_all: dict[int, "Event"] = {}


def configure(
    log_format: LogFormat,
    level: str,
    process: str,
    lines: LineOutput | None = None,
) -> None:
    """Sets the format, the lowest level written and the process's name.

    Args:
        log_format: How lines are written.
        level: The lowest level that is written.
        process: The process's name.
        lines: Where JSON lines go; standard error without it.
    """
    _output.format = log_format
    _output.process = process
    _output.lines = lines
    # Our settings take the place of absl's own flags.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    logging.set_stderrthreshold(level)
    logging.use_absl_handler()
    # Our own events tell of each call that matters.
    stdlib_logging.getLogger("httpx").setLevel(stdlib_logging.WARNING)


def _plain(value: Any) -> str:
    """Returns a value on one line, whatever a caller has put into it."""
    text = str(value)
    return text if text.isprintable() else repr(text)


class Event:
    """A kind of log line.

    Args:
        number: The number; never given to another event.
        name: The name in logs, in lower case with dashes.
        level: An absl level: `logging.INFO`, `WARNING` or `ERROR`.
        meaning: One sentence for operators.
    """

    def __init__(
        self, number: int, name: str, level: int, meaning: str
    ) -> None:
        if number in _all:
            raise ValueError(f"event {number} is defined twice")
        self.number = number
        self.name = name
        self.level = level
        self.meaning = meaning
        _all[number] = self

    def log(self, **fields: Any) -> None:
        """Writes the event with its fields."""
        if not logging.vlog_is_on(self.level):
            return
        if _output.format is LogFormat.JSON:
            now = datetime.datetime.now(datetime.UTC)
            line = {
                "time": now.isoformat(timespec="milliseconds"),
                "level": _LEVELS[self.level],
                "event": self.number,
                "name": self.name,
                "process": _output.process,
                "fields": fields,
            }
            data = orjson.dumps(line, default=str)
            if _output.lines is not None:
                _output.lines.write(self.number, data + b"\n")
                return
            sys.stderr.write(data.decode() + "\n")
            return
        text = " ".join(f"{key}={_plain(v)}" for key, v in fields.items())
        logging.log(self.level, "RW%04d %s %s", self.number, self.name, text)


def catalogue() -> list[Event]:
    """Returns every event, in the order of the numbers."""
    return [_all[number] for number in sorted(_all)]


STARTED = Event(1, "started", logging.INFO, "The program is ready.")
STOPPED = Event(2, "stopped", logging.INFO, "The program ended as asked.")
DRAINING = Event(3, "draining", logging.INFO, "The program takes no new work.")
DRAIN_LIMIT = Event(
    4, "drain-limit", logging.WARNING, "Streams were open at the drain limit."
)
CHILD_FAILED = Event(
    10, "child-failed", logging.WARNING, "A task failed and is restarted."
)
RESTART_LIMIT = Event(
    11, "restart-limit", logging.ERROR, "A task failed too often."
)
STORE_DOWN = Event(20, "store-down", logging.WARNING, "The store fails calls.")
STORE_UP = Event(21, "store-up", logging.INFO, "The store answers again.")
CONFIG_IN_FORCE = Event(
    30, "config-in-force", logging.INFO, "A new generation is in force."
)
CONFIG_OLDER = Event(
    31, "config-older", logging.WARNING, "An older generation was ignored."
)
RECORD_REJECTED = Event(
    32, "record-rejected", logging.WARNING, "A record failed its checks."
)
PEER_REFUSED = Event(
    40, "peer-refused", logging.WARNING, "A peer's message was refused."
)
MEMBER_CHANGED = Event(
    41, "member-changed", logging.INFO, "A member appeared, left or was lost."
)
REQUEST_FAILED = Event(
    50, "request-failed", logging.INFO, "A request ended with a verdict."
)
STREAM_RESUMED = Event(
    51, "stream-resumed", logging.INFO, "A stream was resumed at its engine."
)
ENDPOINT_LOST = Event(
    52, "endpoint-lost", logging.WARNING, "An endpoint failed a call."
)
ENDPOINT_UNREACHED = Event(
    53,
    "endpoint-unreached",
    logging.INFO,
    "An endpoint was not told that a generation ended or changed its priority.",
)
MEMBER_SUSPECTED = Event(
    200, "member-suspected", logging.INFO, "A member does not answer its peers."
)
PUBLISHED = Event(
    201, "published", logging.INFO, "A new generation was accepted."
)
STORE_BEHIND = Event(
    202,
    "store-behind",
    logging.ERROR,
    "The store's head is older than the one in force; nothing is published.",
)
CHUNKS_COLLECTED = Event(
    203, "chunks-collected", logging.INFO, "Unused chunks were deleted."
)
VM_LEAVING = Event(
    204, "vm-leaving", logging.INFO, "A VM leaves or no longer leaves."
)
VM_LIST_SILENT = Event(
    205, "vm-list-silent", logging.WARNING, "The list of VMs can't be read."
)
PEER_SILENT = Event(
    206, "peer-silent", logging.INFO, "A peer gave no answer that can be read."
)
CLAIM_PAGE_BAD = Event(
    100, "claim-page-bad", logging.ERROR, "A page of claims can't be read."
)
CLAIM_TAKEN_OVER = Event(
    101, "claim-taken-over", logging.INFO, "An unsent claim changed owners."
)
CLAIM_UNRECORDED = Event(
    102,
    "claim-unrecorded",
    logging.WARNING,
    "An outcome is not in the store yet; the write is retried.",
)
CLAIM_HELD_TOO_LONG = Event(
    103, "claim-held-too-long", logging.WARNING, "A late send was given up."
)
CLAIMS_CLEANED = Event(
    104, "claims-cleaned", logging.INFO, "Pages past their keeping are gone."
)
METER_UNRECORDED = Event(
    110, "meter-unrecorded", logging.WARNING, "Counters are not in the store."
)
ENDPOINT_STRIKE = Event(
    120, "endpoint-strike", logging.WARNING, "An endpoint died under a request."
)
QUARANTINED = Event(
    121, "quarantined", logging.ERROR, "A request is refused at all members."
)
SUSPECT_CLEARED = Event(
    122, "suspect-cleared", logging.INFO, "A suspected request has finished."
)
SPAN = Event(
    500, "span", logging.INFO, "A span of a trace ended; see --traces log."
)
NO_STREAM_SECRET = Event(
    501,
    "no-stream-secret",
    logging.WARNING,
    "Generation ids can be forged: --stream-secret is empty.",
)
FATAL = Event(
    502, "fatal", logging.ERROR, "The program ended by a fault of its own."
)
ORDERS_TAKEN = Event(
    600, "orders-taken", logging.INFO, "This control sends a pool's orders."
)
ORDERS_LOST = Event(
    601, "orders-lost", logging.WARNING, "The lease for orders lapsed."
)
ORDER_SENT = Event(
    602, "order-sent", logging.INFO, "An endpoint took an order."
)
ORDER_FAILED = Event(
    603, "order-failed", logging.WARNING, "An endpoint failed an order."
)
STREAM_ABANDONED = Event(
    400,
    "stream-abandoned",
    logging.INFO,
    "A generation was ended because its caller did not come back.",
)
STREAM_TAKEN = Event(
    401, "stream-taken", logging.INFO, "A caller resumed a stream here."
)
REQUEST_RETRIED = Event(
    402,
    "request-retried",
    logging.INFO,
    "A request of which no token went out is tried at another engine.",
)
RETRY_BUDGET_SPENT = Event(
    403,
    "retry-budget-spent",
    logging.WARNING,
    "A request was not tried again: its account's budget is spent.",
)
ANSWER_DROPPED = Event(
    410,
    "answer-dropped",
    logging.INFO,
    "An answer to an unknown or given-up call was dropped.",
)
HANDLER_FAILED = Event(
    411, "handler-failed", logging.ERROR, "Handling a peer's message failed."
)
LINK_OVERLOADED = Event(
    412,
    "link-overloaded",
    logging.WARNING,
    "A peer's message was dropped: too many are being handled.",
)
STORE_READ = Event(700, "store-read", logging.INFO, "The whole store was read.")
WATCH_COMPACTED = Event(
    701,
    "watch-compacted",
    logging.INFO,
    "The store has dropped changes; it is read as a whole.",
)
FEED_GAP = Event(
    702,
    "feed-gap",
    logging.WARNING,
    "A peer told of changes, but some before them are missing.",
)
SNAPSHOT_MISSED = Event(
    703, "snapshot-missed", logging.INFO, "A peer gave no snapshot."
)
REGISTRATION_FAILED = Event(
    704,
    "registration-failed",
    logging.WARNING,
    "The registration in the store was not renewed or ended.",
)
GATEWAY_CHANGED = Event(
    705, "gateway-changed", logging.INFO, "A peer serves, or no longer does."
)
GATEWAY_LOST = Event(
    706, "gateway-lost", logging.WARNING, "A peer can't be reached."
)
DATAGRAM_FAILED = Event(
    707,
    "datagram-failed",
    logging.DEBUG,
    "A datagram to a peer was refused; it is sent again with the next one.",
)
VALUE_MISSED = Event(
    708,
    "value-missed",
    logging.INFO,
    "A peer did not hand over a value; the store is asked.",
)
TABLE_IN_FORCE = Event(
    710, "table-in-force", logging.INFO, "A version of routes is in force."
)
TABLE_UNREADABLE = Event(
    711,
    "table-unreadable",
    logging.ERROR,
    "A version of routes can't be read; the one before stays.",
)
TABLE_OLDER = Event(
    712, "table-older", logging.WARNING, "An older version was ignored."
)
ENDPOINT_CHANGED = Event(
    713,
    "endpoint-changed",
    logging.INFO,
    "An endpoint appeared, began to leave or is gone.",
)
ENDPOINT_UNREADABLE = Event(
    714,
    "endpoint-unreadable",
    logging.WARNING,
    "An endpoint's registration can't be read and names none.",
)
ENDPOINT_AVOIDED = Event(
    715,
    "endpoint-avoided",
    logging.WARNING,
    "An endpoint fails too many calls and is avoided for a while.",
)
RELOADED = Event(716, "reloaded", logging.INFO, "The settings were read anew.")
SETTINGS_UNREADABLE = Event(
    717,
    "settings-unreadable",
    logging.ERROR,
    "The settings can't be read; those before stay.",
)
READY_CHANGED = Event(
    718, "ready-changed", logging.INFO, "The gateway is ready, or no longer."
)
OUTAGE_CHANGED = Event(
    719,
    "outage-changed",
    logging.WARNING,
    "No gateway has a fresh answer of the store, or one has again.",
)
REPORT_MISSED = Event(
    720, "report-missed", logging.INFO, "An engine gave no report of itself."
)
REQUEST_UNREADABLE = Event(
    730, "request-unreadable", logging.WARNING, "Bytes are not a request."
)
CONNECTION_FAILED = Event(
    731,
    "connection-failed",
    logging.ERROR,
    "A caller's connection ended by a fault of our own.",
)
NOT_ALLOWED = Event(
    732,
    "not-allowed",
    logging.INFO,
    "No route or no key of a request is known.",
)
PLACED = Event(
    733, "placed", logging.INFO, "A generation was placed, by what runs where."
)
NO_ROOM = Event(
    734, "no-room", logging.INFO, "A generation was refused for lack of room."
)
SENT = Event(735, "sent", logging.INFO, "A send to an endpoint has an outcome.")
RETRY_REFUSED = Event(
    736,
    "retry-refused",
    logging.INFO,
    "A request was not sent again: the budget of the service is spent.",
)
ANSWERED = Event(737, "answered", logging.INFO, "A request has its answer.")
NOT_SERVED = Event(
    738, "not-served", logging.INFO, "A request ends by a failure of our own."
)
CALLER_LEFT = Event(
    739, "caller-left", logging.INFO, "A caller left before its answer."
)
STREAM_CUT = Event(
    740, "stream-cut", logging.INFO, "An engine's stream ended too early."
)
STREAM_BROKEN = Event(
    741,
    "stream-broken",
    logging.WARNING,
    "A caller's stream was broken off and is not complete.",
)
LATE_GAP = Event(
    742, "late-gap", logging.INFO, "A pause between events was too long."
)
MOVED = Event(
    743, "moved", logging.INFO, "A run's memory was copied, or could not be."
)
CARRIED_ON = Event(
    744, "carried-on", logging.INFO, "A run goes on at another engine, or not."
)
MOVE_CALL_FAILED = Event(
    745,
    "move-call-failed",
    logging.WARNING,
    "An engine did not answer a call about a copy.",
)
COPY_DROPPED = Event(
    747,
    "copy-dropped",
    logging.INFO,
    "A copy of a run that nobody needs was freed, or could not be.",
)
FREE_CALL_FAILED = Event(
    748,
    "free-call-failed",
    logging.WARNING,
    "An engine did not free a copy.",
)
ENDPOINT_REPORTED = Event(
    749,
    "endpoint-reported",
    logging.WARNING,
    "An endpoint is avoided: several gateways have found it failing.",
)
CRASHED_UNDER = Event(
    746,
    "crashed-under",
    logging.WARNING,
    "An endpoint is gone after it broke off the answer to a request.",
)
LOG_LINES_LEFT_OUT = Event(
    750,
    "log-lines-left-out",
    logging.WARNING,
    "Lines over the budget, or that could not be written, were left out.",
)
