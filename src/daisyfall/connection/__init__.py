"""Connections between processes: handshake, heartbeats, send queues and request handling."""
