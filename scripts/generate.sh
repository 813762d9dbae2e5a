#!/usr/bin/env bash
# Regenerates the committed Thrift code from idl/peer.thrift.
set -euo pipefail
cd "$(dirname "$0")/.."
thrift --gen cpp:no_skeleton -out packages/fleet/generated idl/peer.thrift
