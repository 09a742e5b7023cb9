"""Decides which requests a gateway that is shutting down serves.

Pure code. It handles a planned stop under load: requests that come late in the
grace period on connections that are kept open, and requests that wait for an
endpoint when it ends.
"""

import attrs

# Callers that have resolved the gateway's address before still connect for this
# time.
ACCEPT_MS = 3_000
# No request is read in the last part of the grace period. A caller whose
# request was not read may send it again.
LAST_REQUEST_MS = 2_500
# Requests that are still open get a failure as their response this long before
# the end.
LAST_ANSWER_MS = 300
# The process ends this long before the end of the grace period, at which it
# would be killed.
MARGIN_MS = 500


@attrs.frozen
class Drain:
    """The times of a shutdown.

    Attributes:
        accept_until_ms: Until when all plain calls are taken.
        last_read_ms: From when no request is read.
        last_answer_ms: When open requests are answered with a failure.
        end_ms: When the process ends at the latest.
    """

    accept_until_ms: int
    last_read_ms: int
    last_answer_ms: int
    end_ms: int

    def takes(self, is_generation: bool, deadline_ms: int, now_ms: int) -> bool:
        """Returns whether a request is sent to an endpoint.

        A generation may take longer than the shutdown. A plain call takes up to
        its deadline.

        Args:
            is_generation: Whether the request is a generation.
            deadline_ms: The deadline of the request.
            now_ms: The current time.
        """
        if is_generation:
            return False
        return (
            now_ms < self.accept_until_ms or deadline_ms <= self.last_answer_ms
        )


def make_drain(started_ms: int, grace_ms: int) -> Drain:
    """Returns the times of a shutdown.

    Args:
        started_ms: When it began.
        grace_ms: When the process would be killed, counted from there.
    """
    end_ms = started_ms + grace_ms - MARGIN_MS
    return Drain(
        started_ms + min(ACCEPT_MS, grace_ms // 2),
        end_ms - LAST_REQUEST_MS,
        end_ms - LAST_ANSWER_MS,
        end_ms,
    )
