"""Names, data formats and calls of the platform, converted to the types of the other packages.

This package makes no decisions about traffic. No other package contains a header name, path, key or
field name of the platform.
"""
