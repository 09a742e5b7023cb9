"""Chooses the stream to lower in priority when KV cache is running out."""

from rhubarbwinch.admission.enginestate import EngineState, Stream

LOWERED_PRIORITY = 2


def choose_stream_to_lower(engine: EngineState) -> Stream | None:
    """Returns the stream whose priority is to be lowered, or None.

    Only one stream per engine has a lowered priority, and only a background
    stream: the one with the most predicted output left, since it would use
    the most further KV cache.
    """
    capacity = engine.capacity_tokens
    if not capacity or engine.next_horizon_tokens() <= capacity:
        return None
    streams = engine.streams.values()
    if any(s.priority == LOWERED_PRIORITY for s in streams):
        return None
    background = [s for s in streams if not s.request.interactive]
    return max(background, key=lambda s: s.remaining_tokens, default=None)
