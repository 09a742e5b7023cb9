"""HTTP servers, responses, event streams and client connections."""
