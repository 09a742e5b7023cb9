"""Tests of `rhubarbwinch.admission.admission`."""
