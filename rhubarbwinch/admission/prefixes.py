"""Hashes the leading blocks of prompts to find cached prefixes."""

from typing import Any

import orjson
import xxhash

from rhubarbwinch.admission.enginestate import BLOCK_TOKENS

BYTES_PER_TOKEN = 4
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
# At most this many leading blocks of a prompt are hashed.
MAX_BLOCKS = 32


def encode_prompt(data: dict[str, Any]) -> bytes:
    """Returns the prompt or the messages of a request as bytes."""
    return orjson.dumps(data.get("prompt", data.get("messages")))


def prefix_hashes(prompt: bytes) -> list[int]:
    """Returns a hash for each full leading block, longest prefix last.

    Each hash covers all blocks before it, so two prompts share as many
    hashes as they share blocks.
    """
    hashes: list[int] = []
    running = xxhash.xxh3_64()
    end = min(len(prompt), MAX_BLOCKS * BLOCK_BYTES)
    for start in range(0, end - BLOCK_BYTES + 1, BLOCK_BYTES):
        running.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(running.intdigest())
    return hashes
