"""Adapter to the users' platform: its protocols and formats, without any policy."""
