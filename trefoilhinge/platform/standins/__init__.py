"""The other side of the platform's formats, for stand-ins."""
