"""Measurements of every part, with bounds from the stated target."""
