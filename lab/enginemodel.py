"""A model of an engine that batches continuously in limited memory.

One step generates one token of every running sequence. Its time grows with
the batch, the resident tokens and the prompts that are read in it. When
memory is full, the sequence of the lowest priority that came last is thrown
out and starts over from its prompt.
"""

import attrs


@attrs.frozen
class EngineParameters:
    """The speed and size of an engine.

    Attributes:
        capacity_tokens: Tokens that fit in memory.
        max_batch: Sequences that run at once.
        base_ms: The time of a step with nothing to do.
        sequence_ms: What each sequence in the batch adds to a step.
        resident_ms: What each 1,000 resident tokens add to a step.
        prefill_ms: What each 1,000 prompt tokens add to a step.
    """

    capacity_tokens: int = 60_000
    max_batch: int = 64
    base_ms: float = 12.0
    sequence_ms: float = 0.25
    resident_ms: float = 0.2
    prefill_ms: float = 40.0


@attrs.define
class Sequence:
    """A generation at an engine.

    Attributes:
        name: The generation id.
        prompt_tokens: The prompt's length.
        output_tokens: How many tokens it will generate.
        priority: A lower number goes first.
        order: Rises with each arrival.
        done_tokens: The tokens generated; kept over a preemption.
    """

    name: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    order: int = 0
    done_tokens: int = 0

    @property
    def resident_tokens(self) -> int:
        """The memory that it takes while it runs."""
        return self.prompt_tokens + self.done_tokens

    @property
    def rank(self) -> tuple[int, int]:
        """The place in line; lower runs first."""
        return (self.priority, self.order)


@attrs.frozen
class Step:
    """What one step did.

    Attributes:
        ms: How long it took.
        advanced: Sequences that generated a token.
        finished: Those of them that are complete.
        preempted: Sequences that lost their memory before the step.
    """

    ms: float
    advanced: list[Sequence]
    finished: list[Sequence]
    preempted: list[Sequence]


class EngineModel:
    """An engine without a network or a clock of its own.

    Args:
        parameters: Its speed and size.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.preemptions = 0
        self.last_step_ms = parameters.base_ms
        self._running: list[Sequence] = []
        self._waiting: list[Sequence] = []
        self._arrivals = 0

    @property
    def running(self) -> int:
        """Sequences in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Sequences before the batch."""
        return len(self._waiting)

    @property
    def used_tokens(self) -> int:
        """Tokens resident in memory."""
        return sum(s.resident_tokens for s in self._running)

    def add(self, sequence: Sequence) -> None:
        """Takes a sequence in."""
        self._arrivals += 1
        sequence.order = self._arrivals
        self._waiting.append(sequence)

    def cancel(self, name: str) -> None:
        """Drops a sequence."""
        self._running = [s for s in self._running if s.name != name]
        self._waiting = [s for s in self._waiting if s.name != name]

    def set_priority(self, name: str, priority: int) -> None:
        """Changes a sequence's priority."""
        for sequence in self._running + self._waiting:
            if sequence.name == name:
                sequence.priority = priority

    def step(self) -> Step:
        """Runs one step; without sequences it takes the base time."""
        preempted = self._make_room()
        prefill = self._admit()
        parameters = self.parameters
        self.last_step_ms = (
            parameters.base_ms
            + parameters.sequence_ms * len(self._running)
            + parameters.resident_ms * self.used_tokens / 1000
            + parameters.prefill_ms * prefill / 1000
        )
        advanced = list(self._running)
        for sequence in advanced:
            sequence.done_tokens += 1
        finished = [s for s in advanced if s.done_tokens >= s.output_tokens]
        self._running = [s for s in advanced if s not in finished]
        return Step(self.last_step_ms, advanced, finished, preempted)

    def _make_room(self) -> list[Sequence]:
        """Throws sequences out until one more token of each fits."""
        preempted = []
        self._running.sort(key=lambda s: s.rank)
        while len(self._running) > 1 and not self._fits(0):
            sequence = self._running.pop()
            preempted.append(sequence)
            self._waiting.append(sequence)
        self.preemptions += len(preempted)
        return preempted

    def _admit(self) -> int:
        """Starts waiting sequences that fit; returns prompt tokens read."""
        prefill = 0
        self._waiting.sort(key=lambda s: s.rank)
        while self._waiting and len(self._running) < self.parameters.max_batch:
            head = self._waiting[0]
            if self._running and not self._fits(head.resident_tokens + 1):
                break
            self._running.append(self._waiting.pop(0))
            prefill += head.resident_tokens
        return prefill

    def _fits(self, more_tokens: int) -> bool:
        needed = self.used_tokens + len(self._running) + more_tokens
        return needed <= self.parameters.capacity_tokens
