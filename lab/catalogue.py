"""Writes the pages that are made from the code's own catalogues.

Run it as `make docs`; a test compares the pages with the code.
"""

import inspect
import re
from typing import Any

import attrs
from absl import logging

from lab.processes import ROOT
from rhubarbwinch.callers import apicatalogue
from rhubarbwinch.gateway import statistics
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

_NOTE = "This page is made from the code by `make docs`.\n"
_ATTRIBUTE = re.compile(r"^    (\w+): (.*)$")
_LEVELS = {
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
    logging.DEBUG: "debug",
}

_SETTINGS_TEXT = """\
Every setting is a flag and an environment variable; the flag wins. All are
checked at start: a bad or missing one, and a variable that no program knows,
ends the program with one line on stderr that names the setting, the value and
what is allowed, and with exit status 2. Give secrets by the environment: a
flag is seen by every user of the VM. Secrets are never shown in help, errors
or logs. `rhubarbwinchctl` has `--store` and `--output`; see [ctl.md](ctl.md).

Exit statuses of the daemons: 0 ended as asked, 1 failed (the last event says
why), 2 a bad setting.
"""

_GATEWAY_SETTINGS_TEXT = """\
The rest is in the platform's settings file, which is read again on SIGHUP and
every five seconds. A file that can't be read at the start ends the program
with status 2; later the settings before stay, with an event.
"""

_HTTP_TEXT = """\
An entry speaks HTTP/1.1 and HTTP/2, with TLS if `--certfile` and `--keyfile`
are set. Brokers and controls answer `/healthz` and `/readyz` only.

Events of a stream have `id: <generation>:<index>`; the last is
`data: [DONE]`. A caller that lost its connection sends its request to any
entry with `Last-Event-ID`: it gets what it has not seen, from the same
generation. A stream that can't go on ends with `event: error` and a problem.
A stream that is open when its entry must end gets `event: resume`, whose data
names other entries: go on at one of them with `Last-Event-ID`.

Keep the list of `GET /v1/entries` for its time to live and use the first. After
a refused connection or the verdict `not-run` with status 503 go on with the
next; after a whole round wait as `Retry-After` says. An answer that was cut
off without a verdict is neither: the request may have run.
"""

_PROBLEM_TEXT = """\
A failure is a problem object (RFC 9457) of type `urn:rhubarbwinch:problem:`
and the name below, with `title`, `status`, `detail`, `verdict`, and `error`
as OpenAI's clients read it. With the verdict `not-run` the request certainly
did not run. A head of a request over 32 KiB, or one that is not HTTP, is
refused by the HTTP library with a bare 400 or 431; nothing has run.
"""

_EVENT_TEXT = """\
With `--log-format text` a line holds `RW` and the number, the name and the
fields. With `json` it is an object: `time`, `level`, `event` (the number),
`name`, `process` and `fields`. A number is never given to another event.
"""

_OPERATORS_TEXT = """\
Start with [settings](settings.md), [records](records.md) and
[rhubarbwinchctl](ctl.md). When something is wrong, look the number of the log
event up in [events](events.md) and the metric in [metrics](metrics.md).

## Probes

Every program answers `GET /healthz` (it runs) and `GET /readyz` (it has a
configuration and is not draining) at its `--http` address. Restart a program
whose `/healthz` fails; send no callers to an entry whose `/readyz` is 503.

## Stopping

SIGTERM drains: the program is no longer listed, refuses new requests with the
verdict `not-run`, finishes what is open up to `--drain-ms`, and exits with 0.
"""

_METRIC_TEXT = """\
Sent to `--statsd` as `rhubarbwinch.<role>.<name>`.
"""

_GATEWAY_METRIC_TEXT = """\
## rhubarbwinch-gateway

Served as text (Prometheus) at `/metrics` of the metrics port. Counters end in
`_total` there; histograms count seconds.
"""

_RECORD_TEXT = """\
A record is an object with `schema` (1 or 2), `kind`, `name` and `spec`. Names
have 1 to 63 of a-z, 0-9, dot and dash, and are unique within a kind. A TOML
file holds `[[record]]` tables, a JSON file a list; see `examples/`. A record
has at most 256 KiB. `rhubarbwinchctl validate` checks files, `apply` writes
them; an error names record, field, value and what is allowed. A record that
fails its checks in the store gets a status beside it, and the last good one
stays in force. A schema newer than 2 is kept as it is and not used.
"""

_SCHEMA_1_TEXT = """\
## Schema 1

Both schemas are in use side by side; schema 1 is converted when it is read.
It has the fields of schema 2 but for these:

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
    """Returns the text of each page by its name under docs/."""
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


def _meanings(kind: type) -> dict[str, str]:
    """Returns the attributes in a class's doc comment."""
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
        shared = set() if kind is Settings else set(_names(Settings))
        meanings = _meanings(kind)
        rows = []
        for name in _names(kind):
            known = settingtypes.info(name.replace("_", "-"))
            if name in shared or known is None:
                continue
            default = "required" if known.is_required else f"`{known.default}`"
            if known.default == "":
                default = "empty"
            if known.secret:
                default += " (secret)"
            rows.append(
                [
                    f"`--{known.name}`",
                    f"`{known.variable}`",
                    default,
                    known.allowed,
                    meanings.get(name, known.help),
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


def _names(kind: type[Settings]) -> list[str]:
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
        for family in statistics.REGISTRY.collect()
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
        parts += [f"### {kind}\n", f"{_summary(spec)}\n", _fields(spec)]
    for spec in (specs.EndpointSpec, specs.KeyHash, specs.Room):
        parts += [f"### {spec.__name__}\n", f"{_summary(spec)}\n"]
        parts.append(_fields(spec))
    return "\n".join(parts)


def _summary(kind: type) -> str:
    return (inspect.getdoc(kind) or "").splitlines()[0]


def _fields(kind: Any) -> str:
    meanings = _meanings(kind)
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
        made = value.factory()
        return f"`{made}`" if isinstance(made, list) else "its own defaults"
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
