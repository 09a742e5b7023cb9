"""HTTP on both sides: servers, answers, event streams, connections."""
