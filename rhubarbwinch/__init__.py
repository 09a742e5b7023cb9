"""A serving system for LLM generations, whose length is not known ahead."""

from rhubarbwinch.version import VERSION

__version__ = VERSION
__all__ = ["VERSION", "__version__"]
