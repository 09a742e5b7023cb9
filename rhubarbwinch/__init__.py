"""rhubarbwinch: a serving system for generations of unknown length."""

from rhubarbwinch.version import VERSION

__version__ = VERSION
__all__ = ["VERSION", "__version__"]
