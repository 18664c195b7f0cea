#!/usr/bin/env bash
# Measures which faults the soak finds. For each line of mutants.txt it puts the fault into a
# scratch copy of HEAD, builds it and plays seeds until one of them finds a violation.
# usage: soak/mutants.sh [SEEDS [DURATION [NAME]]]   (NAME: only lines that contain it)
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-10} duration=${2:-20s} only=${3:-}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
go build -o "$scratch/soak" .
git clone -q . "$scratch/copy"

# play prints whether a seed found a violation, and the first one.
play() {
  local began=$SECONDS seed code
  for seed in $(seq 1 "$seeds"); do
    code=0
    "$scratch/soak" soak --program "$scratch/mutant" --seed "$seed" --duration "$duration" --hosts 3 \
      > "$scratch/report" 2> "$scratch/errors" || code=$?
    if [ "$code" -ne 0 ]; then
      printf '| %s | seed %s | %s s | %s |\n' "$1" "$seed" $((SECONDS - began)) \
        "$(cat "$scratch/report" "$scratch/errors" | sed -n '/"broken"/{n;p;q;};/^error/{p;q;}' | cut -c1-150)"
      return
    fi
  done
  printf '| %s | not found in %s seeds | %s s | |\n' "$1" "$seeds" $((SECONDS - began))
}

while IFS=$'\t' read -r name file script; do
  case $name in '#'* | '') continue ;; esac
  case $name in *"$only"*) ;; *) continue ;; esac
  git -C "$scratch/copy" checkout -q -- .
  sed -i "$script" "$scratch/copy/$file"
  if git -C "$scratch/copy" diff --quiet; then
    printf '| %s | the fault cannot be put into %s | | |\n' "$name" "$file"
    continue
  fi
  if ! (cd "$scratch/copy" && go build -o "$scratch/mutant" .) 2> "$scratch/errors"; then
    printf '| %s | does not build: %s | | |\n' "$name" "$(tail -1 "$scratch/errors")"
    continue
  fi
  play "$name"
done < soak/mutants.txt
