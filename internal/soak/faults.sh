#!/usr/bin/env bash
# Puts faults back, one at a time, and counts the seeds of the soak that find each.
#
#   internal/soak/faults.sh [-n SEEDS] [-s SECONDS] [-r ROUTERS] [-j RUNS] [-t FOUND] [-k DIR] [NAME...]
#
# Each patch of testdata/faults, or each named one, is applied to a copy of the last commit.
# The soak test is built once, without the patches, and runs with the seeds 1 to SEEDS, or
# until FOUND of them have found the fault. -k keeps the output of the runs, their logs and
# records in DIR. The name none runs without a
# patch; a seed that fails then is a fault of the present code. The exit status is 1 if a
# patch no longer applies or builds.
set -euo pipefail

seeds=10 seconds=15 routers=3 runs=3 target=0 keep=
while getopts n:s:r:j:t:k: option; do
    case $option in
    n) seeds=$OPTARG ;;
    s) seconds=$OPTARG ;;
    r) routers=$OPTARG ;;
    j) runs=$OPTARG ;;
    t) target=$OPTARG ;;
    k) keep=$OPTARG ;;
    *) exit 2 ;;
    esac
done
shift $((OPTIND - 1))

root=$(git -C "$(dirname "$0")" rev-parse --show-toplevel)
patches=$root/internal/soak/testdata/faults
if [ $# -eq 0 ]; then
    for file in "$patches"/*.patch; do set -- "$@" "$(basename "$file" .patch)"; done
fi
if [ -n "$keep" ]; then
    mkdir -p "$keep"
    keep=$(cd "$keep" && pwd)
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git clone -q --shared "$root" "$work/tree"
cd "$work/tree"
go test -c -o "$work/soak.test" ./internal/soak
echo "commit $(git rev-parse --short HEAD), $seeds seeds of $seconds s, $routers routers, $runs runs at a time"

# rules prints the rules that a run broke, each once. What the routers' views lack at the
# end has no rule of the judge and is named as in docs/soak.md.
rules() {
    sed -n 's/^ *[a-z]*_test\.go:[0-9]*: //p' "$1" | sed -nE '
        s/^front-[0-9]+ in era .*/changes arrive at the end/p;t
        s/^front-[0-9]+ (has configuration|has no status).*/one view at the end/p;t
        s/^front-[0-9]+ (went back to|uses|has not heard of) .*/views after a return/p;t
        s/^front-[0-9]+ is not ready$/not ready/p;t
        /^(logs of the routers|seed) /d
        s/^([a-z][a-z ]*): .*/\1/p' | sort -u
}

failed=0
for name; do
    git checkout -q .
    if [ "$name" != none ] && ! git apply "$patches/$name.patch" 2>"$work/error"; then
        echo "$name: no longer applies: $(head -n 1 "$work/error")"
        failed=1
        continue
    fi
    if ! go build -o "$work/bluebellwell" ./cmd/bluebellwell 2>"$work/error"; then
        echo "$name: no longer builds: $(tail -n 1 "$work/error")"
        failed=1
        continue
    fi
    out=${keep:-$work}/$name
    mkdir -p "$out/logs"
    rm -f "$out"/*.txt
    found=0 other=0 done=0
    : >"$work/rules"
    while [ "$done" -lt "$seeds" ] && { [ "$target" -eq 0 ] || [ "$found" -lt "$target" ]; }; do
        first=$((done + 1)) done=$((done + runs < seeds ? done + runs : seeds))
        # A run that fails is what is looked for; its output tells why.
        (cd internal/soak && seq "$first" "$done" | xargs -P "$runs" -I{} env TMPDIR="$out/logs" sh -c '"$1" -test.run "TestSoak$" -soak.seed "$2" -soak.seconds "$3" -soak.routers "$4" -soak.binary "$5" >"$6/$2.txt" 2>&1 || true' \
            sh "$work/soak.test" {} "$seconds" "$routers" "$work/bluebellwell" "$out")
        for seed in $(seq "$first" "$done"); do
            if [ "$(tail -n 1 "$out/$seed.txt")" = PASS ]; then continue; fi
            rules "$out/$seed.txt" >"$work/run"
            if [ -s "$work/run" ]; then found=$((found + 1)); else other=$((other + 1)); fi
            cat "$work/run" >>"$work/rules"
        done
    done
    by=$(sort "$work/rules" | uniq -c | sort -rn | awk '{n = $1; $1 = ""; printf "%s%s %d", sep, substr($0, 2), n; sep = ", "}')
    echo "$name: found in $found of $done${by:+ ($by)}$([ "$other" -eq 0 ] || echo "; $other failed for no rule")"
done
exit $failed
