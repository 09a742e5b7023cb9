"""Generates the reference pages under docs/ from definitions in the code.

`make docs` runs it; a test checks that the pages are up to date.
"""

import inspect
import re
from typing import Any

import attrs
from absl import logging

from lab.processes import ROOT
from rhubarbwinch.callers import apicatalogue
from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.http import problems
from rhubarbwinch.programs import gatewaymain
from rhubarbwinch.programs.config import (
    BrokerSettings,
    ControlSettings,
    EntrySettings,
    Settings,
)
from rhubarbwinch.records import specs
from rhubarbwinch.shared import events, metrics, settingtypes

_NOTE = "This page is generated from the code by `make docs`.\n"
_ATTRIBUTE = re.compile(r"^    (\w+): (.*)$")
_LEVELS = {
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
    logging.DEBUG: "debug",
}

_SETTINGS_TEXT = """\
Every setting can be given as a flag or as an environment variable; the flag
takes precedence. All settings are checked at start. An invalid or missing
setting, or an unknown variable, ends the program with exit status 2 and one
line on stderr that names the setting, the value and what is allowed. Pass
secrets in environment variables, because every user of the VM can see flags.
Secrets never appear in help, errors or logs. `rhubarbwinchctl` has `--store`
and `--output`; see [ctl.md](ctl.md).

Exit statuses of the daemons: 0 after a requested stop, 1 after a failure (the
last log event gives the reason), 2 for an invalid setting.
"""

_GATEWAY_SETTINGS_TEXT = """\
All other settings are in the platform's settings file, which is reloaded on
SIGHUP and every five seconds. If the file can't be read at the start, the
program ends with exit status 2. If it can't be read later, the previous
settings stay active and an event is logged.
"""

_HTTP_TEXT = """\
An entry serves HTTP/1.1 and HTTP/2, with TLS if `--certfile` and `--keyfile`
are set. Brokers and controls serve only `/healthz` and `/readyz`.

The events of a stream have `id: <generation>:<index>`; the last event is
`data: [DONE]`. A caller that lost its connection repeats the request at any
entry with `Last-Event-ID` and receives the remaining events of the same
generation. A stream that can't continue ends with `event: error` and a problem.
A stream that is still open when its entry has to exit receives `event: resume`,
whose data names other entries; resume at one of them with `Last-Event-ID`.

Cache the list of `GET /v1/entries` for its time to live and use the first
entry. After a refused connection, or after status 503 with the verdict
`not-run`, try the next entry. After one round over all entries, wait for the
time in `Retry-After`. If a response was cut off without a verdict, the request
may have run.
"""

_PROBLEM_TEXT = """\
A failure is a problem object (RFC 9457). Its type is
`urn:rhubarbwinch:problem:` followed by a name from the table. It has `title`,
`status`, `detail`, `verdict`, and `error` in the format of OpenAI's clients.
With the verdict `not-run` the request certainly did not run. The HTTP library
refuses request heads over 32 KiB and requests that are not HTTP with a bare
status 400 or 431; these requests did not run.
"""

_EVENT_TEXT = """\
With `--log-format text` a line consists of `RW` and the number, the name and
the fields. With `json` a line is an object with `time`, `level`, `event` (the
number), `name`, `process` and `fields`. A number is never reused for another
event.
"""

_OPERATORS_TEXT = """\
Start with [settings](settings.md), [records](records.md) and
[rhubarbwinchctl](ctl.md). To investigate a problem, look up the number of the
log event in [events](events.md) and the metric in [metrics](metrics.md).

## Probes

Every program serves `GET /healthz` and `GET /readyz` at its `--http` address.
`/healthz` succeeds while the program runs; `/readyz` succeeds while it has a
configuration and is not draining. Restart a program whose `/healthz` fails.
Direct no callers to an entry whose `/readyz` returns 503.

## Stopping

SIGTERM starts a drain: the program is no longer listed, refuses new requests
with the verdict `not-run`, completes open requests for at most `--drain-ms`,
and exits with status 0.
"""

_METRIC_TEXT = """\
Sent to `--statsd` as `rhubarbwinch.<role>.<name>`.
"""

_GATEWAY_METRIC_TEXT = """\
## rhubarbwinch-gateway

Served in the Prometheus text format at `/metrics` of the metrics port. There
the names of counters end in `_total`. Histograms are in seconds.
"""

_RECORD_TEXT = """\
A record is an object with `schema` (1 or 2), `kind`, `name` and `spec`. A name
has 1 to 63 characters of a-z, 0-9, dot and dash, and is unique within its kind.
A TOML file has `[[record]]` tables, a JSON file has a list; see `examples/`.
The size limit of a record is 256 KiB. `rhubarbwinchctl validate` checks files,
`apply` writes them to the store; an error names the record, the field, the
value and what is allowed. If a record in the store is invalid, a status is
written beside it and its last valid version stays active. A record with a
schema newer than 2 is kept unchanged and not used.
"""

_SCHEMA_1_TEXT = """\
## Schema 1

Records of both schemas may be used together; schema 1 is converted when it is
read. It has the same fields as schema 2, except for these:

| kind | field of schema 1 | in schema 2 |
|---|---|---|
| account | `key_salt`, `key_hash` | one item of `keys` |
| account | `max_requests`, `max_tokens` | `room.requests`, `room.tokens` |
| service | `idempotent = false` | `not_repeatable = ["POST /*"]` |
| model | `version` | one item of `versions` |
"""

_PROGRAMS: dict[str, type[Settings]] = {
    "All daemons": Settings,
    "rhubarbwinch-entry": EntrySettings,
    "rhubarbwinch-broker": BrokerSettings,
    "rhubarbwinch-control": ControlSettings,
}


def pages() -> dict[str, str]:
    """Returns the text of each page, keyed by file name under docs/."""
    return {
        "settings.md": _settings_page(),
        "http.md": _http_page(),
        "events.md": _events_page(),
        "metrics.md": _metrics_page(),
        "records.md": _records_page(),
        "operators.md": _operators_page(),
    }


def _table(names: list[str], rows: list[list[str]]) -> str:
    lines = ["| " + " | ".join(names) + " |", "|---" * len(names) + "|"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def _attribute_docs(kind: type) -> dict[str, str]:
    """Parses the `Attributes:` section of a class doc comment."""
    found: dict[str, str] = {}
    name = ""
    for line in (inspect.getdoc(kind) or "").splitlines():
        match = _ATTRIBUTE.match(line)
        if match:
            name = match[1]
            found[name] = match[2]
        elif name and line.startswith("        "):
            found[name] += " " + line.strip()
    return found


def _settings_page() -> str:
    parts = ["# Settings\n", _NOTE, _SETTINGS_TEXT]
    for title, kind in _PROGRAMS.items():
        common_names = (
            set() if kind is Settings else set(_field_names(Settings))
        )
        meanings = _attribute_docs(kind)
        rows = []
        for name in _field_names(kind):
            setting = settingtypes.find_setting(name.replace("_", "-"))
            if name in common_names or setting is None:
                continue
            default = (
                "required" if setting.is_required else f"`{setting.default}`"
            )
            if setting.default == "":
                default = "empty"
            if setting.secret:
                default += " (secret)"
            rows.append(
                [
                    f"`--{setting.name}`",
                    f"`{setting.variable}`",
                    default,
                    setting.allowed,
                    meanings.get(name, setting.help),
                ]
            )
        names = ["flag", "variable", "default", "allowed", "meaning"]
        parts += [f"## {title}\n", _table(names, rows)]
    parts += ["## rhubarbwinch-gateway\n", _GATEWAY_SETTINGS_TEXT]
    rows = [
        [f"`{action.option_strings[0]}`", action.help or ""]
        for action in gatewaymain.make_parser()._actions
        if action.dest not in ("help", "version")
    ]
    parts.append(_table(["flag", "meaning, variable and default"], rows))
    return "\n".join(parts)


def _field_names(kind: type[Settings]) -> list[str]:
    return [field.name for field in attrs.fields(kind)]


def _http_page() -> str:
    operations = [
        [f"`{o.method} {o.path}`", o.meaning] for o in apicatalogue.OPERATIONS
    ]
    headers = [
        [f"`{h.name}`", h.sender, h.meaning] for h in apicatalogue.HEADERS
    ]
    failures = [
        [f"`{reason}`", str(problems.STATUS[reason]), meaning]
        for reason, meaning in apicatalogue.PROBLEMS.items()
    ]
    return "\n".join(
        [
            "# HTTP interface\n",
            _NOTE,
            _HTTP_TEXT,
            "## Requests\n",
            _table(["request", "meaning"], operations),
            "## Headers\n",
            _table(["header", "sent by", "meaning"], headers),
            "## Failures\n",
            _PROBLEM_TEXT,
            _table(["problem", "status", "meaning"], failures),
        ]
    )


def _events_page() -> str:
    rows = [
        [str(e.number), f"`{e.name}`", _LEVELS[e.level], e.meaning]
        for e in events.catalogue()
    ]
    names = ["number", "name", "level", "meaning"]
    return "\n".join(
        ["# Log events\n", _NOTE, _EVENT_TEXT, _table(names, rows)]
    )


def _metrics_page() -> str:
    rows = [[f"`{m.name}`", m.kind, m.meaning] for m in metrics.catalogue()]
    names = ["name", "type", "meaning"]
    gateway = [
        [f"`{family.name}`", family.type, family.documentation]
        for family in gatewaymetrics.REGISTRY.collect()
    ]
    return "\n".join(
        [
            "# Metrics\n",
            _NOTE,
            _METRIC_TEXT,
            _table(names, rows),
            _GATEWAY_METRIC_TEXT,
            _table(names, gateway),
        ]
    )


def _records_page() -> str:
    parts = ["# Records\n", _NOTE, _RECORD_TEXT, _SCHEMA_1_TEXT]
    parts.append("## Schema 2\n")
    for kind, spec in specs.KINDS.items():
        parts += [f"### {kind}\n", f"{_summary(spec)}\n", _field_table(spec)]
    for spec in (specs.EndpointSpec, specs.KeyHash, specs.Room):
        parts += [f"### {spec.__name__}\n", f"{_summary(spec)}\n"]
        parts.append(_field_table(spec))
    return "\n".join(parts)


def _summary(kind: type) -> str:
    return (inspect.getdoc(kind) or "").splitlines()[0]


def _field_table(kind: Any) -> str:
    meanings = _attribute_docs(kind)
    rows = [
        [
            f"`{field.name}`",
            f"`{getattr(field.type, '__name__', field.type)}`",
            _default(field.default),
            specs.allowed(field) or "any",
            meanings.get(field.name, "In hexadecimal."),
        ]
        for field in attrs.fields(kind)
    ]
    return _table(["field", "type", "default", "allowed", "meaning"], rows)


def _default(value: Any) -> str:
    if value is attrs.NOTHING:
        return "required"
    if isinstance(value, attrs.Factory):  # type: ignore[arg-type]
        default_value = value.factory()
        return (
            f"`{default_value}`"
            if isinstance(default_value, list)
            else "its own defaults"
        )
    return "empty" if value == "" else f"`{str(value).lower()}`"


def _operators_page() -> str:
    rows = []
    for path in sorted((ROOT / "docs" / "operators").glob("*.md")):
        title = path.read_text().splitlines()[0].removeprefix("# ")
        name = f"operators/{path.name}"
        rows.append([f"[{name}]({name})", title])
    return "\n".join(
        [
            "# For operators\n",
            _NOTE,
            _OPERATORS_TEXT,
            "## Pages by matter\n",
            _table(["page", "matter"], rows),
        ]
    )


def main() -> None:
    """Writes the pages."""
    for name, text in pages().items():
        (ROOT / "docs" / name).write_text(text)


if __name__ == "__main__":
    main()
