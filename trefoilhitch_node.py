"""Start a node on the users' platform: `trefoilhitch_node.py ROLE [OPTIONS]`.

OPTIONS is an INI file, see `deploy/node.ini`.
"""

from trefoilhitch.platform.program import main

if __name__ == '__main__':
    main()
