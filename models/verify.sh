# Functions for the check scripts: build a Spin model, search it, print what was searched, and fail
# unless the outcome is the expected one. Source this file; do not run it. Searches run in parallel.
# Settings: MODEL_MEMORY (MiB for each search), MODEL_DEPTH (maximum depth of a search),
# MODEL_SECONDS (time limit of each search), MODEL_JOBS (number of parallel searches).

MODEL_MEMORY=${MODEL_MEMORY:-2500}
MODEL_DEPTH=${MODEL_DEPTH:-1000000}
MODEL_SECONDS=${MODEL_SECONDS:-240}
MODEL_JOBS=${MODEL_JOBS:-4}

jobs_started=()
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search MODEL DIRECTORY COMPILER_FLAGS PAN_FLAGS SPIN_FLAGS: writes DIRECTORY/output.
# Each set of flags consists of several words and is therefore unquoted.
search() {
  # shellcheck disable=SC2086
  {
    cd "$2" &&
      spin $5 -a "$1" >generate.log 2>&1 &&
      gcc -O3 -w -DNOBOUNDCHECK -DMEMLIM="$MODEL_MEMORY" $3 -o pan pan.c >>generate.log 2>&1 &&
      timeout "$MODEL_SECONDS" ./pan -m"$MODEL_DEPTH" -w22 $4 >output 2>&1
  }
}

# outcome FILE: holds, caught, truncated (a bound of the search was reached) or failed.
outcome() {
  if grep -Eq 'assertion violated|acceptance cycle' "$1"; then
    echo caught
  elif grep -Eq 'max search depth too small|Search not completed|out of memory|memory limit' "$1"; then
    echo truncated
  elif grep -q 'errors: 0$' "$1"; then
    echo holds
  else
    echo failed
  fi
}

# report NAME OUTCOME FILE: prints one line about the search.
report() {
  local states depth memory seconds
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$3")
  depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$3")
  memory=$(sed -n 's/^ *\([0-9.e+]*\).total actual memory usage.*/\1/p' "$3")
  seconds=$(sed -n 's/.*elapsed time \([0-9.e+]*\) .*/\1/p' "$3")
  printf '%-44s %-9s %9s states  depth %-4s %8s MiB %6s s\n' \
    "$1" "$2" "$states" "$depth" "$memory" "$seconds"
}

# run_one NAME EXPECTED KIND MODEL SPIN_FLAGS
run_one() {
  local name=$1 expected=$2 kind=$3 model=$4 flags=$5
  local directory found
  directory=$(mktemp -d -p "$work")
  : >"$directory/output"
  case $kind in
    safety) search "$model" "$directory" -DSAFETY "" "$flags" || true ;;
    progress) search "$model" "$directory" -DNFAIR=3 "-a -f" "-DPROGRESS $flags" || true ;;
    inevitable) search "$model" "$directory" "" -a "-DPROGRESS $flags" || true ;;
  esac
  found=$(outcome "$directory/output")
  report "$name" "$found" "$directory/output"
  if [ "$found" != "$expected" ]; then
    { echo "$name: expected $expected"; cat "$directory/generate.log"; tail -n 30 "$directory/output"; } >&2
    return 1
  fi
}

# verify NAME EXPECTED KIND MODEL SPIN_FLAGS: starts a search. EXPECTED is holds or caught; KIND is
# safety (assertions), progress (the claim under weak fairness) or inevitable (the claim without).
verify() {
  while [ "$(jobs -rp | wc -l)" -ge "$MODEL_JOBS" ]; do
    wait -n || true
  done
  run_one "$@" &
  jobs_started+=($!)
}

# verify_end: waits for all searches; fails if any did not end as expected.
verify_end() {
  local status=0 job
  for job in "${jobs_started[@]}"; do
    wait "$job" || status=1
  done
  return "$status"
}
