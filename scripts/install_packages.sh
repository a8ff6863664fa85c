#!/usr/bin/env bash
# Installs the Debian packages that building and testing need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy python3
  libace-dev libwebsocketpp-dev libboost-dev nlohmann-json3-dev
  librapidcheck-dev libgflags-dev libgoogle-glog-dev libcurl4-openssl-dev
  libmicrohttpd-dev libxxhash-dev libgtest-dev libgmock-dev curl)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  echo "packages: present"
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${packages[@]}" >/dev/null
echo "packages: installed"
