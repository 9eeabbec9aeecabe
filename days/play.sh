#!/usr/bin/env bash
# Plays every kind of trouble on a site, each twice in a day, and prints a table.
#   days/play.sh SITE.toml [NAME-PATTERN]
# FLEETBENCH names the bench; JOBS (4) how many days are played at once.
set -euo pipefail
site=$1
pattern=${2:-.}
bench=${FLEETBENCH:-../given/kit/more/system/more/bench-cc6490/bin/fleetbench}
here=$(dirname "$0")
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# A quiet day of the site lends its traffic; only the troubles are ours.
write_day() {
  local name=$1 where=$2 entry=$3 other=plan
  [ "$where" = plan ] && other=faults
  printf 'name = "%s"\nslot = "trouble"\nseed = 4711\none = 1.0\nzero = 0.0\ngoal = { floor = 0.0 }\n' "$name"
  printf '%s = [\n  { at = 6.0, %s },\n  { at = 20.0, %s },\n]\n%s = []\n' "$where" "$entry" "$entry" "$other"
}

names=()
while read -r name where entry; do
  case $name in '#'* | '') continue ;; esac
  if grep -qE "$pattern" <<<"$name"; then
    write_day "$name" "$where" "$entry" >"$out/$name.toml"
    names+=("$name")
  fi
done <"$here/kinds.list"

printf '%s\n' "${names[@]}" | xargs -P "${JOBS:-4}" -I{} sh -c \
  "'$bench' run '$site' '$out/{}.toml' --why 'kind {}' >'$out/{}.txt' 2>&1 || true"

printf '%-26s %7s %7s  %s\n' day worth served 'broken rules, or the dearest price'
for name in "${names[@]}"; do
  row=$(grep -E "^$name " "$out/$name.txt" | head -1 || true)
  if [ -z "$row" ]; then
    printf '%-26s not played: %s\n' "$name" "$(grep -vE '^(note|built)' "$out/$name.txt" | head -1)"
  else
    printf '%s\n' "$row" | awk -v name="$name" '{
      why = $0; if (sub(/.*BROKEN: /, "BROKEN: ", why) == 0) sub(/.*prices/, "prices", why)
      printf "%-26s %7s %7s  %s\n", name, $4, $5, why }'
  fi
done
