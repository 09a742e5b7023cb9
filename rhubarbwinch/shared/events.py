"""Defines the numbered log events, from which docs/events.md is generated."""

import datetime
import enum
import logging as stdlib_logging
import sys
from typing import Any

import orjson
from absl import flags, logging

from rhubarbwinch.shared.logoutput import LineOutput


class LogFormat(enum.StrEnum):
    """The formats of log lines."""

    TEXT = "text"
    JSON = "json"


_LEVELS = {
    logging.DEBUG: "debug",
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
}


class _LogConfig:
    """The logging configuration that all events share."""

    def __init__(self) -> None:
        self.format = LogFormat.TEXT
        self.process = "-"
        self.lines: LineOutput | None = None


_log_config = _LogConfig()
_all: dict[int, "Event"] = {}


def configure(
    log_format: LogFormat,
    level: str,
    process: str,
    lines: LineOutput | None = None,
) -> None:
    """Configures the logging of events.

    Args:
        log_format: The format of the lines.
        level: The lowest level that is written.
        process: The process's name, for JSON lines.
        lines: The output for JSON lines; None for standard error.
    """
    _log_config.format = log_format
    _log_config.process = process
    _log_config.lines = lines
    # The package's settings replace absl's flags, which are never parsed.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    logging.set_stderrthreshold(level)
    logging.use_absl_handler()
    # httpx logs each request; the package's events cover the relevant ones.
    stdlib_logging.getLogger("httpx").setLevel(stdlib_logging.WARNING)


def _to_one_line(value: Any) -> str:
    """Returns a value on one line; a caller may control its text."""
    text = str(value)
    return text if text.isprintable() else repr(text)


class Event:
    """A type of log event.

    Args:
        number: The event's number; a number is never reused.
        name: The name in logs, in lower case with dashes.
        level: An absl level, such as `logging.INFO`.
        meaning: What happened, in one sentence for operators.
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
        """Logs the event with the given fields."""
        if not logging.vlog_is_on(self.level):
            return
        if _log_config.format is LogFormat.JSON:
            now = datetime.datetime.now(datetime.UTC)
            line = {
                "time": now.isoformat(timespec="milliseconds"),
                "level": _LEVELS[self.level],
                "event": self.number,
                "name": self.name,
                "process": _log_config.process,
                "fields": fields,
            }
            data = orjson.dumps(line, default=str)
            if _log_config.lines is not None:
                _log_config.lines.write(self.number, data + b"\n")
                return
            sys.stderr.write(data.decode() + "\n")
            return
        text = " ".join(f"{key}={_to_one_line(v)}" for key, v in fields.items())
        logging.log(self.level, "RW%04d %s %s", self.number, self.name, text)


def catalogue() -> list[Event]:
    """Returns every event, ordered by number."""
    return [_all[number] for number in sorted(_all)]


STARTED = Event(1, "started", logging.INFO, "The program started.")
STOPPED = Event(2, "stopped", logging.INFO, "The program shut down on request.")
DRAINING = Event(
    3, "draining", logging.INFO, "The program drains and accepts no new work."
)
DRAIN_LIMIT = Event(
    4,
    "drain-limit",
    logging.WARNING,
    (
        "Requests were still open, or responses were not sent to their ends, "
        "at the drain limit."
    ),
)
CHILD_FAILED = Event(
    10,
    "child-failed",
    logging.WARNING,
    "A supervised task failed and is restarted.",
)
RESTART_LIMIT = Event(
    11,
    "restart-limit",
    logging.ERROR,
    "A supervised task failed more often than its limit allows.",
)
STORE_DOWN = Event(
    20, "store-down", logging.WARNING, "Calls to the store fail."
)
STORE_UP = Event(
    21, "store-up", logging.INFO, "Calls to the store succeed again."
)
CONFIG_IN_FORCE = Event(
    30,
    "config-in-force",
    logging.INFO,
    "A new configuration generation is active.",
)
CONFIG_OLDER = Event(
    31,
    "config-older",
    logging.WARNING,
    "An older configuration generation was ignored.",
)
RECORD_REJECTED = Event(
    32, "record-rejected", logging.WARNING, "A record failed validation."
)
PEER_REFUSED = Event(
    40, "peer-refused", logging.WARNING, "A message from a peer was refused."
)
MEMBER_CHANGED = Event(
    41,
    "member-changed",
    logging.INFO,
    "A member was discovered, or its health changed.",
)
REQUEST_FAILED = Event(
    50,
    "request-failed",
    logging.INFO,
    "A request failed; the verdict says whether it may have run.",
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
    (
        "An endpoint could not be reached to cancel a generation or to change "
        "its priority."
    ),
)
MEMBER_SUSPECTED = Event(
    200,
    "member-suspected",
    logging.INFO,
    "A member does not reply to its peers and is suspected to have failed.",
)
PUBLISHED = Event(
    201,
    "published",
    logging.INFO,
    "A new configuration generation was published.",
)
STORE_BEHIND = Event(
    202,
    "store-behind",
    logging.ERROR,
    (
        "The configuration in the store is older than the active one; nothing "
        "is published."
    ),
)
CHUNKS_COLLECTED = Event(
    203,
    "chunks-collected",
    logging.INFO,
    "Unused configuration chunks were deleted from the store.",
)
VM_LEAVING = Event(
    204, "vm-leaving", logging.INFO, "A VM is leaving, or is no longer leaving."
)
VM_LIST_SILENT = Event(
    205,
    "vm-list-silent",
    logging.WARNING,
    "The platform's list of VMs can't be read.",
)
PEER_SILENT = Event(
    206,
    "peer-silent",
    logging.INFO,
    "A peer sent no reply, or a reply that can't be read.",
)
CLAIM_PAGE_BAD = Event(
    100, "claim-page-bad", logging.ERROR, "A page of claims can't be decoded."
)
CLAIM_TAKEN_OVER = Event(
    101,
    "claim-taken-over",
    logging.INFO,
    "An unsent claim was taken over by another owner.",
)
CLAIM_UNRECORDED = Event(
    102,
    "claim-unrecorded",
    logging.WARNING,
    "The outcome of a claim is not in the store yet; the write is retried.",
)
CLAIM_HELD_TOO_LONG = Event(
    103,
    "claim-held-too-long",
    logging.WARNING,
    (
        "A claim was held too long before its request was sent; the request was"
        " not sent."
    ),
)
CLAIMS_CLEANED = Event(
    104,
    "claims-cleaned",
    logging.INFO,
    "Claim pages past their retention were deleted.",
)
METER_UNRECORDED = Event(
    110,
    "meter-unrecorded",
    logging.WARNING,
    "Token counters could not be written to the store.",
)
ENDPOINT_STRIKE = Event(
    120,
    "endpoint-strike",
    logging.WARNING,
    "An endpoint died while it ran a request.",
)
QUARANTINED = Event(
    121,
    "quarantined",
    logging.ERROR,
    "A request was quarantined; all members refuse it.",
)
SUSPECT_CLEARED = Event(
    122,
    "suspect-cleared",
    logging.INFO,
    "A suspected request finished and is no longer suspected.",
)
SPAN = Event(
    500,
    "span",
    logging.INFO,
    "A span of a trace ended; written with --traces log.",
)
NO_STREAM_SECRET = Event(
    501,
    "no-stream-secret",
    logging.WARNING,
    "Generation ids can be forged: --stream-secret is empty.",
)
FATAL = Event(
    502,
    "fatal",
    logging.ERROR,
    "The program ended because of an internal error.",
)
ORDERS_TAKEN = Event(
    600,
    "orders-taken",
    logging.INFO,
    "This control acquired the lease for a pool's orders.",
)
ORDERS_LOST = Event(
    601,
    "orders-lost",
    logging.WARNING,
    "This control lost the lease for a pool's orders.",
)
ORDER_SENT = Event(
    602, "order-sent", logging.INFO, "An endpoint accepted an order."
)
ORDER_FAILED = Event(
    603, "order-failed", logging.WARNING, "An order to an endpoint failed."
)
STREAM_ABANDONED = Event(
    400,
    "stream-abandoned",
    logging.INFO,
    "A generation was ended because its caller did not reconnect.",
)
STREAM_TAKEN = Event(
    401,
    "stream-taken",
    logging.INFO,
    "A caller resumed a stream at this entry.",
)
REQUEST_RETRIED = Event(
    402,
    "request-retried",
    logging.INFO,
    (
        "A request is retried at another engine; no token had been sent to the "
        "caller."
    ),
)
RETRY_BUDGET_SPENT = Event(
    403,
    "retry-budget-spent",
    logging.WARNING,
    "A request was not retried: its account's retry budget is exhausted.",
)
ANSWER_DROPPED = Event(
    410,
    "answer-dropped",
    logging.INFO,
    "A reply to an unknown or abandoned call was dropped.",
)
HANDLER_FAILED = Event(
    411,
    "handler-failed",
    logging.ERROR,
    "The handler of a peer's message failed.",
)
LINK_OVERLOADED = Event(
    412,
    "link-overloaded",
    logging.WARNING,
    "A peer's message was dropped: too many messages are being handled.",
)
STORE_READ = Event(
    700, "store-read", logging.INFO, "A full snapshot was read from the store."
)
WATCH_COMPACTED = Event(
    701,
    "watch-compacted",
    logging.INFO,
    (
        "The store has discarded changes that the watch needs; a full snapshot "
        "is read."
    ),
)
FEED_GAP = Event(
    702,
    "feed-gap",
    logging.WARNING,
    "A peer sent store changes, but earlier changes are missing.",
)
SNAPSHOT_MISSED = Event(
    703,
    "snapshot-missed",
    logging.INFO,
    "A peer sent no snapshot of the store.",
)
REGISTRATION_FAILED = Event(
    704,
    "registration-failed",
    logging.WARNING,
    "The registration in the store could not be renewed or removed.",
)
GATEWAY_CHANGED = Event(
    705,
    "gateway-changed",
    logging.INFO,
    "A peer gateway was discovered, or began or stopped serving.",
)
GATEWAY_LOST = Event(
    706, "gateway-lost", logging.WARNING, "A peer gateway can't be reached."
)
DATAGRAM_FAILED = Event(
    707,
    "datagram-failed",
    logging.DEBUG,
    (
        "A datagram to a peer was refused; its content is sent again with the "
        "next datagram."
    ),
)
VALUE_MISSED = Event(
    708,
    "value-missed",
    logging.INFO,
    "A peer did not send a value; the value is read from the store.",
)
TABLE_IN_FORCE = Event(
    710, "table-in-force", logging.INFO, "A version of the routes is active."
)
TABLE_UNREADABLE = Event(
    711,
    "table-unreadable",
    logging.ERROR,
    (
        "A version of the routes can't be decoded; the previous version stays "
        "active."
    ),
)
TABLE_OLDER = Event(
    712,
    "table-older",
    logging.WARNING,
    "An older version of the routes was ignored.",
)
ENDPOINT_CHANGED = Event(
    713,
    "endpoint-changed",
    logging.INFO,
    "An endpoint was registered, began to drain or was removed.",
)
ENDPOINT_UNREADABLE = Event(
    714,
    "endpoint-unreadable",
    logging.WARNING,
    "An endpoint's registration can't be decoded and is ignored.",
)
ENDPOINT_AVOIDED = Event(
    715,
    "endpoint-avoided",
    logging.WARNING,
    "An endpoint fails too many calls and is temporarily avoided.",
)
CAUGHT_UP = Event(
    709,
    "caught-up",
    logging.INFO,
    "The store's changes were read from a peer, as the store rejects calls.",
)
RELOADED = Event(716, "reloaded", logging.INFO, "The settings were reloaded.")
SETTINGS_UNREADABLE = Event(
    717,
    "settings-unreadable",
    logging.ERROR,
    "The settings can't be read; the previous settings stay active.",
)
READY_CHANGED = Event(
    718,
    "ready-changed",
    logging.INFO,
    "The gateway became ready, or is no longer ready.",
)
OUTAGE_CHANGED = Event(
    719,
    "outage-changed",
    logging.WARNING,
    (
        "A store outage began or ended: no gateway has a fresh reply of the "
        "store, or one has again."
    ),
)
REPORT_MISSED = Event(
    720,
    "report-missed",
    logging.INFO,
    "An engine did not reply to a request for its status report.",
)
REQUEST_UNREADABLE = Event(
    730,
    "request-unreadable",
    logging.WARNING,
    "Bytes from a caller are not a valid HTTP request.",
)
CONNECTION_FAILED = Event(
    731,
    "connection-failed",
    logging.ERROR,
    "A caller's connection ended because of an internal error.",
)
NOT_ALLOWED = Event(
    732,
    "not-allowed",
    logging.INFO,
    (
        "A request matches no route, or its API key is unknown; without "
        "`final` there may be a newer configuration, and its caller may come "
        "back."
    ),
)
PLACED = Event(
    733,
    "placed",
    logging.INFO,
    (
        "An engine was selected for a generation; the fields show the load that"
        " decided."
    ),
)
NO_ROOM = Event(
    734,
    "no-room",
    logging.INFO,
    "A generation was refused for lack of capacity.",
)
SENT = Event(
    735, "sent", logging.INFO, "An attempt of a request at an endpoint ended."
)
RETRY_REFUSED = Event(
    736,
    "retry-refused",
    logging.INFO,
    "A request was not retried: the retry budget of its service is exhausted.",
)
ANSWERED = Event(737, "answered", logging.INFO, "A request was answered.")
NOT_SERVED = Event(
    738,
    "not-served",
    logging.INFO,
    "A request failed, and the gateway itself sent the failure.",
)
CALLER_LEFT = Event(
    739,
    "caller-left",
    logging.INFO,
    "A caller disconnected before its response was complete.",
)
STREAM_CUT = Event(
    740, "stream-cut", logging.INFO, "An engine's stream ended early."
)
STREAM_BROKEN = Event(
    741,
    "stream-broken",
    logging.WARNING,
    "A caller's stream was aborted and is incomplete.",
)
LATE_GAP = Event(
    742,
    "late-gap",
    logging.INFO,
    "The pause between two events of a stream was too long.",
)
MOVED = Event(
    743,
    "moved",
    logging.INFO,
    "The KV cache of a run was migrated, or the migration failed.",
)
CARRIED_ON = Event(
    744,
    "carried-on",
    logging.INFO,
    "A run was resumed at another engine, or the resume failed.",
)
MOVE_CALL_FAILED = Event(
    745,
    "move-call-failed",
    logging.WARNING,
    "An engine did not reply to a call about a migrated copy.",
)
COPY_DROPPED = Event(
    747,
    "copy-dropped",
    logging.INFO,
    "An unused migrated copy was freed, or could not be freed.",
)
FREE_CALL_FAILED = Event(
    748,
    "free-call-failed",
    logging.WARNING,
    "An engine did not free a migrated copy.",
)
ENDPOINT_REPORTED = Event(
    749,
    "endpoint-reported",
    logging.WARNING,
    "An endpoint is avoided because several gateways report it as failing.",
)
CRASHED_UNDER = Event(
    746,
    "crashed-under",
    logging.WARNING,
    (
        "An endpoint is gone after it aborted the response to a request; the "
        "fields have the number of events received before and the parts of the "
        "prompt."
    ),
)
LOG_LINES_LEFT_OUT = Event(
    750,
    "log-lines-left-out",
    logging.WARNING,
    (
        "Log lines over the rate limit, or that could not be written, were "
        "dropped."
    ),
)
DECLARATION_UNREADABLE = Event(
    751,
    "declaration-unreadable",
    logging.WARNING,
    "A header in which an endpoint declares its state is malformed.",
)
RATE_LIMIT_CHANGED = Event(
    752,
    "rate-limit-changed",
    logging.WARNING,
    (
        "An endpoint declared a limit of the requests a second that it accepts,"
        " another limit, or none any more."
    ),
)
PERMIT_WAIT = Event(
    753,
    "permit-wait",
    logging.INFO,
    "A request waits for the rate limit of an endpoint, or is refused for it.",
)
STREAM_TAKEN_UP = Event(
    754,
    "stream-taken-up",
    logging.INFO,
    "A caller takes up a stream again after its connection broke.",
)
STREAM_ORIGIN = Event(
    755,
    "stream-origin",
    logging.INFO,
    (
        "Where a stream began that a caller takes up again, and who knew it: "
        "this gateway, a peer, or the only version that serves."
    ),
)
PEER_CALL_FAILED = Event(
    756,
    "peer-call-failed",
    logging.INFO,
    "Another gateway did not reply to a call.",
)
LEAVING_DECLARED = Event(
    757,
    "leaving-declared",
    logging.INFO,
    "An endpoint has said in a response that it leaves, before the store did.",
)
PAUSE_DECLARED = Event(
    758,
    "pause-declared",
    logging.INFO,
    "An endpoint has turned a request away and wants no other one for a time.",
)
STORE_RESTORED = Event(
    759,
    "store-restored",
    logging.WARNING,
    (
        "The store was restored from a copy; the fields have the positions, "
        "with their eras, before and after."
    ),
)
SUSPECT_REFUSED = Event(
    760,
    "suspect-refused",
    logging.ERROR,
    (
        "A request, or each request with a part of a prompt, is refused from "
        "now on, because endpoints crash under it."
    ),
)
SUSPECT_TRIED = Event(
    761,
    "suspect-tried",
    logging.WARNING,
    "A refusal has ended, and one request with the suspect is sent.",
)
SUSPECTS_CLEARED = Event(
    762,
    "suspects-cleared",
    logging.INFO,
    "Endpoints that answered a request with these suspects are alive.",
)
ISOLATION_CHANGED = Event(
    763,
    "isolation-changed",
    logging.WARNING,
    (
        "No endpoint of a service accepts connections of this gateway, or one "
        "does again; whether other gateways reach them."
    ),
)
FORWARDED = Event(
    764,
    "forwarded",
    logging.INFO,
    "A request was passed on to another gateway, and how that ended.",
)
ENDPOINT_ALIVE = Event(
    765,
    "endpoint-alive",
    logging.INFO,
    (
        "Responses of an endpoint broke off that only this gateway does not "
        "reach; its requests are not suspected."
    ),
)
BRITTLENESS_CHANGED = Event(
    766,
    "brittleness-changed",
    logging.WARNING,
    (
        "The endpoints of a service say that they fall over when they refuse "
        "many requests, or no longer; `share` is the number of calls of this "
        "gateway that may be open at the endpoint."
    ),
)
BRITTLE_ENDPOINT_FULL = Event(
    767,
    "brittle-endpoint-full",
    logging.WARNING,
    (
        "A brittle endpoint has refused a request for want of room; no gateway "
        "sends it any for a time."
    ),
)
CONFIG_OUTDATED_CHANGED = Event(
    768,
    "config-outdated-changed",
    logging.WARNING,
    (
        "Other gateways have had a newer configuration for some time, so "
        "requests are passed on to them; or this one has it now."
    ),
)
EVACUATION_CHANGED = Event(
    769,
    "evacuation-changed",
    logging.WARNING,
    (
        "The set of evacuated data centres has changed; endpoints in those "
        "that are listed get no requests."
    ),
)
ENDPOINT_GONE = Event(
    770,
    "endpoint-gone",
    logging.WARNING,
    (
        "A response with status 421, here or at another gateway, shows that "
        "the registered start of an endpoint is no longer at its address; it "
        "gets no requests until it is registered anew."
    ),
)
ENDPOINT_SUPERSEDED = Event(
    771,
    "endpoint-superseded",
    logging.INFO,
    (
        "Another registration has the address of this one and a later start, "
        "so this one gets no requests."
    ),
)
SLOW_CALLER_CUT = Event(
    772,
    "slow-caller-cut",
    logging.WARNING,
    (
        "A caller was disconnected that had not read its response: the memory "
        "for all callers was used up, or the deadline of its request was over."
    ),
)
BODY_REFUSED = Event(
    773,
    "body-refused",
    logging.WARNING,
    "A request was refused as not run, as there is no memory for its body.",
)
SEND_QUEUE_UNREADABLE = Event(
    774,
    "send-queue-unreadable",
    logging.DEBUG,
    "The system did not tell how much of a response a caller has not taken.",
)
RUN_NOT_STOPPED = Event(
    775,
    "run-not-stopped",
    logging.WARNING,
    (
        "An engine whose stream of a run broke has not stopped the run; "
        "whether the run has resumed at another one."
    ),
)
CALLER_SILENT = Event(
    776,
    "caller-silent",
    logging.WARNING,
    (
        "A caller was disconnected whose VM acknowledged neither data nor "
        "probes of its closed window for some seconds."
    ),
)
VERSION_RECORDED = Event(
    777,
    "version-recorded",
    logging.INFO,
    "A software version of a service was recorded in the store.",
)
VERSION_RECORD_FAILED = Event(
    778,
    "version-record-failed",
    logging.WARNING,
    (
        "A record of a software version could not be written or deleted; it is "
        "tried again."
    ),
)
RESPONSE_ENDED = Event(
    779,
    "response-ended",
    logging.WARNING,
    (
        "The memory for all callers was used up by responses that were kept "
        "until they were complete, and the largest one was ended."
    ),
)
