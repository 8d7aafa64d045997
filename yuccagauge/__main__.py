"""Run the command line by ``python -m yuccagauge``."""

from yuccagauge.cmdline import main

if __name__ == '__main__':
    main()
