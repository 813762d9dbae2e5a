#!/usr/bin/env bash
# Regenerates the committed Thrift code from idl/.
set -euo pipefail
cd "$(dirname "$0")/.."
thrift --gen cpp:no_skeleton -out packages/fleet/generated idl/peer.thrift
thrift --gen cpp:no_skeleton -out packages/gateway/generated idl/gossip.thrift
thrift --gen cpp:no_skeleton -out packages/gateway/generated idl/forward.thrift
