# Functions shared by the scripts in utils/. Sourced, not executed.

# Debian packages required by the build and the tests.
packages=(cmake ninja-build ccache g++ clang-format clang-tidy curl
  libboost1.81-dev libboost-fiber1.81-dev libboost-program-options1.81-dev libboost-json1.81-dev
  liblog4cplus-dev libflatbuffers-dev libgtest-dev libbenchmark-dev libyaml-cpp-dev libssl-dev)

# Installs the missing packages, if any.
install_packages() {
  local missing=()
  for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
  done
  [ ${#missing[@]} -eq 0 ] && return
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
}

# build DIR [CMAKE ARGUMENT...]: configures and builds the tree in DIR, with $JOBS parallel jobs if it is set.
build() {
  local dir=$1
  shift
  cmake -S . -B "$dir" -G Ninja "$@" >/dev/null
  ninja -C "$dir" ${JOBS:+-j "$JOBS"}
}

# Process ids of the processes started by start().
started=()

# Terminates the started processes and waits for them to exit.
stop_started() {
  for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
}

# start LOG COMMAND...: runs a process in the background with its output redirected to LOG.
start() {
  local log=$1
  shift
  "$@" >"$log" 2>&1 &
  started+=($!)
}

# wait_for_field LOG FIELD: waits for about 10 s until LOG contains FIELD=<number> and prints the first such number.
wait_for_field() {
  local value
  for _ in $(seq 200); do
    value=$(grep -o "\b$2=[0-9]*" "$1" 2>/dev/null | head -1 | cut -d= -f2 || true)
    if [ -n "$value" ]; then
      echo "$value"
      return
    fi
    sleep 0.05
  done
  echo "$2=<number> not found in $1 within 10 s" >&2
  return 1
}
