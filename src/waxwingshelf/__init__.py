"""Distributed traffic steering: proxy HTTP requests to healthy targets across regions."""

__all__ = ["__version__"]

__version__ = "0.1.0"
