"""A model of an engine that batches continuously in limited memory.

One step generates one token of every running sequence. Its time grows with
the batch, the resident tokens and the prompts that are read in it. When
memory is full, the sequence of the lowest priority that came last is thrown
out and starts over from its prompt. Leading blocks of prompts are cached.

A step costs time in proportion to the sequences that join or leave, not to
the batch, so that the experiments can run many of them.
"""

import heapq
from collections import OrderedDict

import attrs

BLOCK_TOKENS = 64


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
        cached_blocks: Prompt blocks of `BLOCK_TOKENS` that stay cached.
    """

    capacity_tokens: int = 60_000
    max_batch: int = 64
    base_ms: float = 12.0
    sequence_ms: float = 0.25
    resident_ms: float = 0.2
    prefill_ms: float = 40.0
    cached_blocks: int = 64


@attrs.define(eq=False)
class Sequence:
    """A generation at an engine.

    Attributes:
        name: The generation id.
        prompt_tokens: The prompt's length.
        output_tokens: How many tokens it will generate.
        priority: A lower number goes first.
        order: Rises with each arrival.
        prefix: Hashes of the prompt's leading blocks, longest last.
    """

    name: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    order: int = 0
    prefix: list[int] = attrs.field(factory=list)
    _kept_tokens: int = 0
    _joined_step: int = 0
    _engine: "EngineModel | None" = None

    @property
    def done_tokens(self) -> int:
        """The tokens generated; kept over a preemption."""
        if self._engine is None:
            return self._kept_tokens
        return self._kept_tokens + self._engine.steps - self._joined_step

    @property
    def resident_tokens(self) -> int:
        """The memory that it takes while it runs."""
        return self.prompt_tokens + self.done_tokens

    @property
    def is_running(self) -> bool:
        """Whether it is in the batch."""
        return self._engine is not None

    @property
    def rank(self) -> tuple[int, int]:
        """The place in line; lower runs first."""
        return (self.priority, self.order)

    @property
    def last_step(self) -> int:
        """The engine's step that generates its last token, if it runs on."""
        return self._joined_step + self.output_tokens - self._kept_tokens

    def join(self, engine: "EngineModel") -> None:
        """Notes that it runs from the engine's next step on."""
        self._engine, self._joined_step = engine, engine.steps

    def leave(self) -> None:
        """Notes that it no longer runs."""
        self._kept_tokens, self._engine = self.done_tokens, None


@attrs.frozen
class Step:
    """What one step did.

    Attributes:
        ms: How long it took.
        advanced: Sequences that generated a token.
        joined: Those of them that were not in the step before.
        finished: Those of them that are complete.
        preempted: Sequences that lost their memory before the step.
    """

    ms: float
    advanced: list[Sequence]
    joined: list[Sequence]
    finished: list[Sequence]
    preempted: list[Sequence]


@attrs.frozen
class CacheEvent:
    """A change of the cached prompt blocks.

    Attributes:
        number: Rises by one with each event of the engine.
        block: The block's hash.
        is_stored: Whether it came in; otherwise it was dropped.
    """

    number: int
    block: int
    is_stored: bool


class PrefixCache:
    """The prompt blocks that an engine keeps, least recently used out first.

    Args:
        capacity: How many blocks fit.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._number = 0

    def read(self, prefix: list[int]) -> int:
        """Reads a prompt's blocks; returns the tokens that were cached."""
        hits = 0
        for block in prefix:
            if block not in self._blocks:
                break
            hits += 1
        for block in prefix:
            if block not in self._blocks:
                self._note(block, True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            dropped, _ = self._blocks.popitem(last=False)
            self._note(dropped, False)
        return hits * BLOCK_TOKENS

    def take_events(self) -> list[CacheEvent]:
        """Returns the events since the last call."""
        events, self._events = self._events, []
        return events

    def _note(self, block: int, is_stored: bool) -> None:
        self._number += 1
        self._events.append(CacheEvent(self._number, block, is_stored))


class EngineModel:
    """An engine without a network or a clock of its own.

    Args:
        parameters: Its speed and size.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.preemptions = 0
        self.steps = 0
        self.used_tokens = 0
        self.last_step_ms = parameters.base_ms
        self.cache = PrefixCache(parameters.cached_blocks)
        self._running: dict[str, Sequence] = {}
        self._ends: list[tuple[int, int, Sequence]] = []
        self._waiting: list[tuple[tuple[int, int], Sequence]] = []
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
    def sequences(self) -> list[Sequence]:
        """The sequences in the batch and before it."""
        waiting = [sequence for _, sequence in self._waiting]
        return [*self._running.values(), *waiting]

    def add(self, sequence: Sequence) -> None:
        """Takes a sequence in."""
        self._arrivals += 1
        sequence.order = self._arrivals
        heapq.heappush(self._waiting, (sequence.rank, sequence))

    def cancel(self, name: str) -> None:
        """Drops a sequence."""
        sequence = self._running.get(name)
        if sequence is not None:
            self._remove(sequence)
        self._waiting = [w for w in self._waiting if w[1].name != name]
        heapq.heapify(self._waiting)

    def set_priority(self, name: str, priority: int) -> None:
        """Changes a sequence's priority."""
        for sequence in self.sequences:
            if sequence.name == name:
                sequence.priority = priority
        self._waiting = [(s.rank, s) for _, s in self._waiting]
        heapq.heapify(self._waiting)

    def step(self) -> Step:
        """Runs one step; without sequences it takes the base time."""
        preempted = self._make_room()
        joined: list[Sequence] = []
        prefill = self._admit(joined)
        parameters = self.parameters
        self.last_step_ms = (
            parameters.base_ms
            + parameters.sequence_ms * len(self._running)
            + parameters.resident_ms * self.used_tokens / 1000
            + parameters.prefill_ms * prefill / 1000
        )
        advanced = list(self._running.values())
        self.steps += 1
        self.used_tokens += len(advanced)
        finished = self._finish()
        return Step(self.last_step_ms, advanced, joined, finished, preempted)

    def _finish(self) -> list[Sequence]:
        finished = []
        while self._ends and self._ends[0][0] <= self.steps:
            end, _, sequence = heapq.heappop(self._ends)
            is_running = self._running.get(sequence.name) is sequence
            # An entry made before a preemption names a step that is past.
            if is_running and sequence.last_step == end:
                self._remove(sequence)
                finished.append(sequence)
        return finished

    def _remove(self, sequence: Sequence) -> None:
        self.used_tokens -= sequence.resident_tokens
        sequence.leave()
        del self._running[sequence.name]

    def _make_room(self) -> list[Sequence]:
        """Throws sequences out until one more token of each fits."""
        preempted = []
        while len(self._running) > 1 and not self._fits(0):
            sequence = max(self._running.values(), key=lambda s: s.rank)
            self._remove(sequence)
            preempted.append(sequence)
            heapq.heappush(self._waiting, (sequence.rank, sequence))
        self.preemptions += len(preempted)
        return preempted

    def _admit(self, joined: list[Sequence]) -> int:
        """Starts waiting sequences that fit; returns prompt tokens read."""
        prefill = 0
        while self._waiting and len(self._running) < self.parameters.max_batch:
            head = self._waiting[0][1]
            if self._running and not self._fits(head.resident_tokens + 1):
                break
            heapq.heappop(self._waiting)
            prefill += head.resident_tokens - self.cache.read(head.prefix)
            self.used_tokens += head.resident_tokens
            head.join(self)
            self._running[head.name] = head
            joined.append(head)
            heapq.heappush(self._ends, (head.last_step, head.order, head))
        return prefill

    def _fits(self, more_tokens: int) -> bool:
        needed = self.used_tokens + len(self._running) + more_tokens
        return needed <= self.parameters.capacity_tokens
