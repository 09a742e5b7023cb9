"""Code that all programs share: time, errors, events, supervision, types."""
