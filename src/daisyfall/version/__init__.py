"""Versioned configuration: lists of buyers and plans, routes."""
