"""Measuring tool."""
