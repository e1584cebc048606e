#!/usr/bin/env bash
# The check of documents passes what exists and names each path, function and log event that does not.
set -u
check_docs=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir -p "$dir/src" "$dir/docs"
cat > "$dir/src/lease.hpp" << 'CODE'
class Lease {
 public:
  struct Holder {
    int id;
  };
  // A comment about expire is no function.
  bool renew() { return log("lease renewed id={} why=\"{}\"", "asked"); }
};
enum class Phase { held, gone };
CODE
echo 'void Lease::revoke() { log("lease " "revoked id={}"); }' > "$dir/src/lease.cpp"
bad=0
expect() { # wanted status, document, its text, what must be printed
  rm -f "$dir"/docs/* "$dir"/*.md
  printf '%s\n' "$3" > "$dir/$2"
  local out got
  out=$("$check_docs" "$dir")
  got=$?
  if [ "$got" -ne "$1" ] || [ "$out" != "$4" ]; then
    echo "$2 with '$3': got $got and '$out', wanted $1 and '$4'"
    bad=1
  fi
}
expect 0 README.md 'See `src/lease.hpp`, `Lease::renew`, `Lease::revoke()` and `Phase::gone`.' ''
expect 0 README.md 'No quotes: src/none.hpp, None::renew.' ''
expect 1 README.md 'See `src/none.hpp`.' 'README.md:1: no path src/none.hpp'
expect 1 CONTRIBUTING.md 'Run `.ci/none` first.' 'CONTRIBUTING.md:1: no path .ci/none'
expect 1 docs/design.md 'See `None::renew`.' 'docs/design.md:1: no class None'
expect 1 docs/architecture.md 'See `Lease::expire`.' 'docs/architecture.md:1: no Lease::expire'
expect 1 docs/combined-faults.md 'See `Phase::lost`.' 'docs/combined-faults.md:1: no Phase::lost'
expect 0 docs/operations.md '| a | `lease renewed id=… why="asked"` | c |' ''
expect 1 docs/operations.md '| a | `lease granted id=…` | c |' 'docs/operations.md:1: no log event "lease granted"'
expect 1 docs/operations.md '| a | `lease renewed name=…` | c |' 'docs/operations.md:1: "lease renewed" has no key name'
expect 1 docs/operations.md '| a | `lease renewed why="lost"` | c |' 'docs/operations.md:1: no text "lost"'
exit $bad
