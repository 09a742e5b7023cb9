"""Chooses the stream to lower in priority when KV cache is running out."""

from rhubarbwinch.admission.enginestate import EngineState, Stream

YIELDING_PRIORITY = 2


def choose_yielding(engine: EngineState) -> Stream | None:
    """Returns the stream whose priority is to be lowered, or None.

    Only one stream per engine has a lowered priority, and only a background
    stream: the one with the most predicted output left, since it would use
    the most further KV cache.
    """
    capacity = engine.capacity_tokens
    if not capacity or engine.soon_tokens() <= capacity:
        return None
    streams = engine.streams.values()
    if any(s.priority == YIELDING_PRIORITY for s in streams):
        return None
    patient = [s for s in streams if not s.request.interactive]
    return max(patient, key=lambda s: s.left_tokens, default=None)
