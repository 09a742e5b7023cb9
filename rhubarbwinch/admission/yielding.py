"""Which stream yields when an engine's memory is about to run out."""

from rhubarbwinch.admission.enginestate import EngineState, Stream

YIELDING_PRIORITY = 2


def choose_yielding(engine: EngineState) -> Stream | None:
    """Returns the stream whose priority is lowered, or None.

    One at a time yields, and only work that can wait: the stream that is
    expected to go on for longest, since it would take most memory yet.
    """
    capacity = engine.capacity_tokens
    if not capacity or engine.soon_tokens() <= capacity:
        return None
    streams = engine.streams.values()
    if any(s.priority == YIELDING_PRIORITY for s in streams):
        return None
    patient = [s for s in streams if not s.request.interactive]
    return max(patient, key=lambda s: s.left_tokens, default=None)
