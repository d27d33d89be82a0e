#!/usr/bin/env bash
# Applies each named change of tests/mutations to a scratch worktree and runs the test that must
# fail under it. Not part of CI, as each mutation compiles the workspace's crates again.
#
#     tests/prove.sh [-t TARGET] [-l LOGS] [MUTATION...]
#
#   -t TARGET   folder for compiled code (default: a folder of its own, removed at the end)
#   -l LOGS     folder for the output of each test (default: removed at the end)
#   MUTATION    names from tests/mutations/list.txt (default: all)
#
# A line of list.txt names the mutation, its package, its test target and its test. Before the
# mutations, each named test must pass on the unchanged tree. For each mutation `caught` and the
# first line of the failure are printed, or `SURVIVED`. Exit status 1: one survived; 2: a patch
# does not apply, the code does not compile, or a test fails without the change or does not exist.
set -uo pipefail

repository=$(cd "$(dirname "$0")/.." && pwd)
list=$repository/tests/mutations/list.txt
test_seconds=90
scratch=$(mktemp -d)
target=$scratch/target
logs=$scratch/logs
trap 'git -C "$repository" worktree remove --force "$scratch/tree" 2>/dev/null; rm -rf "$scratch"' EXIT

while getopts t:l: option; do
    case $option in
        t) target=$(mkdir -p "$OPTARG" && cd "$OPTARG" && pwd) ;;
        l) logs=$(mkdir -p "$OPTARG" && cd "$OPTARG" && pwd) ;;
        *) exit 2 ;;
    esac
done
shift $((OPTIND - 1))
mkdir -p "$logs"
git -C "$repository" worktree add --quiet --detach "$scratch/tree" HEAD || exit 2
cd "$scratch/tree" || exit 2
export CARGO_TARGET_DIR=$target

status=0
fail() { # STATUS MUTATION MESSAGE
    echo "$2: $3"
    [ "$status" -eq 2 ] || status=$1
}

build() { # PACKAGE TARGET
    cargo test --locked --quiet -p "$1" --test "$2" --no-run
}

run() { # PACKAGE TARGET TEST
    timeout "$test_seconds" cargo test --locked --quiet -p "$1" --test "$2" -- "$3"
}

# The first panic: file and line, first line of the message, and both sides of a comparison; the
# printout of a golden scenario from its "actual" on.
first_failure() { # LOG
    grep -A12 -m1 'panicked at' "$1" |
        sed -nE '1s/^.*panicked at ([^ ]*\/)?([^ \/]+:[0-9]+):[0-9]+:$/\2:/p;2p;/^ +(left|right): /p;/^actual/,/^$/p' |
        tr -s ' \n' ' ' | cut -c1-200
}

# Every test passes on the unchanged tree.
check_unchanged() { # MUTATION PACKAGE TARGET TEST
    local log=$logs/$1.unchanged.log
    run "$2" "$3" "$4" >"$log" 2>&1 || fail 2 "$1" "error: $4 fails without the change"
    grep -Eq '^test result: ok\. [1-9]' "$log" || fail 2 "$1" "error: no test $4 passed in $3"
}

prove() { # MUTATION PACKAGE TARGET TEST
    local log=$logs/$1.log patch=$repository/tests/mutations/$1.patch code
    if ! git apply "$patch" 2>"$log"; then
        fail 2 "$1" "error: the patch does not apply"
        return
    fi
    if build "$2" "$3" >"$log" 2>&1; then
        run "$2" "$3" "$4" >"$log" 2>&1
        code=$?
    else
        code=build
    fi
    git apply --reverse "$patch"
    case $code in
        build) fail 2 "$1" "error: the code does not compile" ;;
        0) fail 1 "$1" "SURVIVED ($4 passes)" ;;
        124) echo "$1: caught: no end within $test_seconds s" ;;
        101) echo "$1: caught: $(first_failure "$log")" ;;
        *) fail 2 "$1" "error: exit status $code" ;;
    esac
}

for_each() { # FUNCTION MUTATION...
    local call=$1 mutation package suite name
    shift
    while read -r mutation package suite name; do
        case $mutation in '' | '#'*) continue ;; esac
        [ $# -eq 0 ] || [[ " $* " == *" $mutation "* ]] || continue
        "$call" "$mutation" "$package" "$suite" "$name" </dev/null
    done <"$list"
}

build_all() { # MUTATION PACKAGE TARGET
    build "$2" "$3" >"$logs/$1.unchanged.log" 2>&1 || exit 2
}

for_each build_all "$@"
for_each check_unchanged "$@"
for_each prove "$@"
exit "$status"
