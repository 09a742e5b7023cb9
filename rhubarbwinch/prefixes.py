"""Hashes of a request's leading blocks, to find engines that cached them."""

import xxhash

# About 64 tokens; engines cache whole blocks of tokens.
BLOCK_BYTES = 256
MAX_BLOCKS = 32


def block_hashes(body: bytes) -> list[int]:
    """Returns a hash for each leading whole block and all before it.

    The body stands for its prompt: callers of one application write the same
    fields in the same order. A wrong guess costs a prompt that is read again.
    """
    digest = xxhash.xxh3_64()
    hashes = []
    end = min(len(body) // BLOCK_BYTES, MAX_BLOCKS) * BLOCK_BYTES
    for start in range(0, end, BLOCK_BYTES):
        digest.update(body[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return hashes
