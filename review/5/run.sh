#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs without the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE=${TROUBLE:-1}
command -v python3 >/dev/null || exit 2
[ -x ../../target/bin/endiveshored ] || exit 2
timeout -s INT -k 5 100 python3 case.py
code=$?
[ $code -le 1 ] || code=2
exit $code
