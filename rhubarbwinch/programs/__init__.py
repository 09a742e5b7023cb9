"""The programs: their settings, command lines and how they are built."""
