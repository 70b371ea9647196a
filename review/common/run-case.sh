# Runs the test of the case in the folder `folder`. A case's run.sh sets it and reads this file.
# Ends all processes that the test started, and removes its temporary folder.
root=$(cd "$folder/../.." && pwd)
program="$root/target/review/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/wrenhatch" ]; then
    echo "build first: the command of the deploy file, then review/build.sh" >&2
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR RECORD="$folder/record.txt"
cd "$root" || exit 2
timeout 110 "$program"
code=$?
# The test ends its gateways itself, unless it could not run or was ended by the limit.
for file in "$TMPDIR"/*.pid; do
    pid=$(cat "$file" 2>/dev/null) || continue
    if grep -aq wrenhatch "/proc/$pid/cmdline" 2>/dev/null; then kill -9 "$pid"; fi
done
if [ -n "${KEEP:-}" ]; then echo "logs: $TMPDIR"; else rm -rf "$TMPDIR"; fi
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
