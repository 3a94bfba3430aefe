"""The users' platform: its names, formats and calls, decoded once into the project's types.

Nothing here decides anything. No other package knows a header, path, key or field of the platform.
"""
