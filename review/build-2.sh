#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the build of the deploy file: nothing has to be compiled. Their
# stand-ins (stand_ins_2.py, grpc_2.py) need Python 3.8 or later with its standard library, which is checked here.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
python3 -B -c 'import sys; sys.path.insert(0, "."); import stand_ins_2, grpc_2; assert sys.version_info >= (3, 8)'
