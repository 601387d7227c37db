"""Start a node on the users' platform: `python3 trefoilhitch_node.py edge`."""

from trefoilhitch.platform.program import main

if __name__ == '__main__':
    main()
