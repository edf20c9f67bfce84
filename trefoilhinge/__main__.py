"""Entry point of ``python -m trefoilhinge``."""

from trefoilhinge.client.commands import main

if __name__ == '__main__':
    main()
