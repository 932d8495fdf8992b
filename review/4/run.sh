#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
[ -x target/sequoiapier ] && [ -x "review/build/case-$(basename "$case_folder")" ] || exit 2
directory=$(mktemp -d) || exit 2
"review/build/case-$(basename "$case_folder")" "$case_folder/record.txt" "$directory"
code=$?
[ -n "$KEEP" ] && echo "kept $directory" || rm -rf "$directory"
[ $code -le 2 ] || code=2
exit $code
