"""The programs, with their settings and command lines."""
