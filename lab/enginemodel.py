"""Simulates an engine with continuous batching and a limited KV cache.

A step generates one token of every running sequence. Its duration grows with
the batch size, the resident tokens and the prompt tokens of its prefill. When
the KV cache is full, the latest sequence of the lowest priority is preempted:
it waits again and needs a new prefill of its prompt and generated tokens.
Leading blocks of prompts are cached.

The bookkeeping of sequences is proportional to those that join or leave the
batch, not to the batch size, so that simulations can run many steps.
"""

import heapq
from collections import OrderedDict

import attrs

BLOCK_TOKENS = 64


@attrs.frozen
class EngineParameters:
    """The speed and the limits of an engine.

    Attributes:
        capacity_tokens: The size of the KV cache in tokens.
        max_batch: The maximum number of sequences in the batch.
        base_ms: The duration of an empty step.
        ms_per_sequence: Added to a step for each sequence in the batch.
        ms_per_1000_resident_tokens: Added to a step for each 1,000 tokens in
            the KV cache.
        ms_per_1000_prefill_tokens: Added to a step for each 1,000 tokens of
            prefill.
        cached_blocks: The number of prompt blocks of `BLOCK_TOKENS` tokens
            that the prefix cache holds.
    """

    capacity_tokens: int = 60_000
    max_batch: int = 64
    base_ms: float = 12.0
    ms_per_sequence: float = 0.25
    ms_per_1000_resident_tokens: float = 0.2
    ms_per_1000_prefill_tokens: float = 40.0
    cached_blocks: int = 64


@attrs.define(eq=False)
class Sequence:
    """A generation in an engine.

    Attributes:
        name: The generation id.
        prompt_tokens: The prompt's length.
        output_tokens: The number of tokens to generate.
        priority: A lower number runs first.
        order: The position in the order of arrival.
        prefix: Hashes of the prompt's leading blocks, longest prefix last.
    """

    name: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    order: int = 0
    prefix: list[int] = attrs.field(factory=list)
    _tokens_before_join: int = 0
    _step_at_join: int = 0
    _engine: "EngineModel | None" = None

    @property
    def generated_tokens(self) -> int:
        """The number of tokens generated so far; preemptions keep it."""
        if self._engine is None:
            return self._tokens_before_join
        return (
            self._tokens_before_join + self._engine.steps - self._step_at_join
        )

    @property
    def resident_tokens(self) -> int:
        """The tokens that it occupies in the KV cache while it runs."""
        return self.prompt_tokens + self.generated_tokens

    @property
    def is_running(self) -> bool:
        """Whether it is in the batch."""
        return self._engine is not None

    @property
    def queue_key(self) -> tuple[int, int]:
        """The sort key of the queue; lower runs first."""
        return (self.priority, self.order)

    @property
    def last_step(self) -> int:
        """The engine step of its last token, if it is not preempted."""
        return (
            self._step_at_join + self.output_tokens - self._tokens_before_join
        )

    def join_batch(self, engine: "EngineModel") -> None:
        """Marks the sequence as running from the next step of `engine` on."""
        self._engine, self._step_at_join = engine, engine.steps

    def leave_batch(self) -> None:
        """Marks the sequence as not running."""
        self._tokens_before_join, self._engine = self.generated_tokens, None


@attrs.frozen
class Step:
    """The result of a step.

    Attributes:
        ms: The duration.
        advanced: The sequences that generated a token.
        joined: Those of `advanced` that joined the batch in this step.
        finished: Those of `advanced` that are complete.
        preempted: The sequences that were preempted before the step.
    """

    ms: float
    advanced: list[Sequence]
    joined: list[Sequence]
    finished: list[Sequence]
    preempted: list[Sequence]


@attrs.frozen
class CacheEvent:
    """A change in the prefix cache.

    Attributes:
        number: The sequence number of the event.
        block: The hash of the block.
        is_stored: Whether the block was stored; otherwise it was evicted.
    """

    number: int
    block: int
    is_stored: bool


class PrefixCache:
    """An LRU cache of prompt blocks.

    Args:
        capacity: The maximum number of blocks.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._number = 0

    def lookup(self, prefix: list[int]) -> int:
        """Looks up and stores a prompt's blocks; returns the cached tokens."""
        cached_blocks_found = 0
        for block in prefix:
            if block not in self._blocks:
                break
            cached_blocks_found += 1
        for block in prefix:
            if block not in self._blocks:
                self._record_event(block, True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            dropped, _ = self._blocks.popitem(last=False)
            self._record_event(dropped, False)
        return cached_blocks_found * BLOCK_TOKENS

    def pop_events(self) -> list[CacheEvent]:
        """Returns the events since the last call and clears them."""
        events, self._events = self._events, []
        return events

    def _record_event(self, block: int, is_stored: bool) -> None:
        self._number += 1
        self._events.append(CacheEvent(self._number, block, is_stored))


class EngineModel:
    """An engine without a network or clock; `step` returns the duration.

    Args:
        parameters: The speed and the limits.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.preemptions = 0
        self.steps = 0
        self.used_tokens = 0
        self.last_step_ms = parameters.base_ms
        self.cache = PrefixCache(parameters.cached_blocks)
        self._running: dict[str, Sequence] = {}
        self._planned_ends: list[tuple[int, int, Sequence]] = []
        self._waiting: list[tuple[tuple[int, int], Sequence]] = []
        self._arrivals = 0

    @property
    def running(self) -> int:
        """The number of sequences in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of sequences that wait to join the batch."""
        return len(self._waiting)

    @property
    def sequences(self) -> list[Sequence]:
        """All sequences, running and waiting."""
        waiting = [sequence for _, sequence in self._waiting]
        return [*self._running.values(), *waiting]

    def add(self, sequence: Sequence) -> None:
        """Adds a sequence to the queue."""
        self._arrivals += 1
        sequence.order = self._arrivals
        heapq.heappush(self._waiting, (sequence.queue_key, sequence))

    def cancel(self, name: str) -> None:
        """Removes a sequence from the batch or the queue."""
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
        self._waiting = [(s.queue_key, s) for _, s in self._waiting]
        heapq.heapify(self._waiting)

    def step(self) -> Step:
        """Runs one step; an empty step takes `base_ms`."""
        preempted = self._preempt_until_fits()
        joined: list[Sequence] = []
        prefill_tokens = self._fill_batch(joined)
        parameters = self.parameters
        self.last_step_ms = (
            parameters.base_ms
            + parameters.ms_per_sequence * len(self._running)
            + parameters.ms_per_1000_resident_tokens * self.used_tokens / 1000
            + parameters.ms_per_1000_prefill_tokens * prefill_tokens / 1000
        )
        advanced = list(self._running.values())
        self.steps += 1
        self.used_tokens += len(advanced)
        finished = self._finish()
        return Step(self.last_step_ms, advanced, joined, finished, preempted)

    def _finish(self) -> list[Sequence]:
        finished = []
        while self._planned_ends and self._planned_ends[0][0] <= self.steps:
            end, _, sequence = heapq.heappop(self._planned_ends)
            is_running = self._running.get(sequence.name) is sequence
            # Skips an outdated item: after a preemption the sequence ends at a
            # later step.
            if is_running and sequence.last_step == end:
                self._remove(sequence)
                finished.append(sequence)
        return finished

    def _remove(self, sequence: Sequence) -> None:
        self.used_tokens -= sequence.resident_tokens
        sequence.leave_batch()
        del self._running[sequence.name]

    def _preempt_until_fits(self) -> list[Sequence]:
        """Preempts sequences until the batch can grow by one token each."""
        preempted = []
        while len(self._running) > 1 and not self._fits(0):
            sequence = max(self._running.values(), key=lambda s: s.queue_key)
            self._remove(sequence)
            preempted.append(sequence)
            heapq.heappush(self._waiting, (sequence.queue_key, sequence))
        self.preemptions += len(preempted)
        return preempted

    def _fill_batch(self, joined: list[Sequence]) -> int:
        """Moves waiting sequences that fit to the batch.

        Returns the number of prefill tokens that were not cached.
        """
        prefill_tokens = 0
        while self._waiting and len(self._running) < self.parameters.max_batch:
            head = self._waiting[0][1]
            if self._running and not self._fits(head.resident_tokens + 1):
                break
            heapq.heappop(self._waiting)
            prefill_tokens += head.resident_tokens - self.cache.lookup(
                head.prefix
            )
            self.used_tokens += head.resident_tokens
            head.join_batch(self)
            self._running[head.name] = head
            joined.append(head)
            heapq.heappush(
                self._planned_ends, (head.last_step, head.order, head)
            )
        return prefill_tokens

    def _fits(self, more_tokens: int) -> bool:
        needed = self.used_tokens + len(self._running) + more_tokens
        return needed <= self.parameters.capacity_tokens
