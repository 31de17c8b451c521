# Functions that start and stop a fleet of local processes: the platform stand-in, target stand-ins and entry
# instances. Sourced by scripts/demo.sh. Needs `base` (first port), `dir` (working folder) and `build` (build folder).
# Processes are tracked and ended by their process ids. All addresses are loopback addresses.
declare -A fleet_pids=()
services=(stockboard bookdesk plandrop quotebook)
declare -A target_count=([stockboard]=6 [bookdesk]=13 [plandrop]=6 [quotebook]=12)
declare -A first_target=([stockboard]=0 [bookdesk]=6 [plandrop]=19 [quotebook]=25)
entry_count=6

target_port() { echo $((base + 100 + first_target[$1] + $2 - 1)); } # service, number from 1
caller_port() { echo $((base + 10 + $1)); }
operators_port() { echo $((base + 30 + $1)); }
inner_port() { echo $((base + 50 + $1)); }
zone_of() { echo "z$((($1 - 1) % 3 + 1))"; }

# Starts a process that logs to $dir/NAME.log: name, command and arguments.
launch() {
    local name=$1
    shift
    "$@" >>"$dir/$name.log" 2>&1 &
    fleet_pids[$name]=$!
}

# Sends a signal to one tracked process: name, signal.
signal() { kill "-$2" "${fleet_pids[$1]}"; }

# Waits for one tracked process, stops tracking it and returns its exit status: name.
reap() {
    local pid=${fleet_pids[$1]}
    unset "fleet_pids[$1]"
    wait "$pid"
}

fleet_stop() {
    local pid
    for pid in "${fleet_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    fleet_pids=()
}

# Sends one HTTP request and prints the response: method, port, path and an optional body. Fails when no connection can
# be established; waits at most 2 seconds for the response.
http_call() {
    local fd body=${4:-}
    { exec {fd}<>"/dev/tcp/127.0.0.1/$2"; } 2>/dev/null || return 1
    printf '%s %s HTTP/1.1\r\nHost: local\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
        "$1" "$3" "${#body}" "$body" >&"$fd"
    timeout 2 cat <&"$fd"
    exec {fd}>&-
}

# Sends a GET request and prints the status of the response: port, path. Sends no length header, because the operators'
# endpoint accepts no bodies.
http_status() {
    local fd line
    { exec {fd}<>"/dev/tcp/127.0.0.1/$1"; } 2>/dev/null || return 1
    printf 'GET %s HTTP/1.1\r\nHost: local\r\nConnection: close\r\n\r\n' "$2" >&"$fd"
    read -r -t 2 line <&"$fd" || line="none none"
    exec {fd}>&-
    line=${line#* }
    echo "${line%% *}"
}

# Prints one counter of a target: service, target number, counter name.
target_value() {
    local value
    value=$(http_call GET "$(target_port "$1" "$2")" /control/counts | sed -n "s/.*\"$3\":\([0-9]*\).*/\1/p") || return 1
    echo "$value"
}

# Prints one counter of each target of a service, one line per target: service, counter name.
service_values() {
    local n
    for ((n = 1; n <= target_count[$1]; n++)); do target_value "$1" "$n" "$2"; done
}

write_route() { # name, path prefix, methods, kind, deadline in ms, maximum body size in bytes, key required
    cat <<TOML

[[service.route]]
name = "$1"
path_prefix = "$2"
methods = [$3]
kind = "$4"
deadline_ms = $5
max_body_bytes = $6
require_idempotency_key = $7
TOML
}

write_service() { # name; reads the routes from standard input
    local n
    cat <<TOML

[[service]]
name = "$1"
version = 1
floor_fraction = 0.7
bias = 0.8
TOML
    cat
    for ((n = 1; n <= target_count[$1]; n++)); do
        cat <<TOML

[[service.target]]
id = "$1-$n"
host = "127.0.0.1"
port = $(target_port "$1" "$n")
zone = "$(zone_of "$n")"
slots = 3
connection_limit = 400
TOML
    done
}

# Writes the configuration of the Sprungfloor fleet.
write_configuration() {
    {
        echo "change = 1"
        write_route availability / '"GET"' idempotent 1500 65536 false | write_service stockboard
        {
            write_route lookup / '"GET"' idempotent 1500 65536 false
            write_route booking /bookings '"POST"' non-idempotent 2000 65536 true
        } | write_service bookdesk
        write_route plan / '"PUT"' upload 5000 1000000000 false | write_service plandrop
        write_route quote / '"GET"' idempotent 1500 65536 false | write_service quotebook
    } >"$dir/configuration.toml"
}

write_settings() { # entry number, platform address or an empty string
    local n peers=""
    for ((n = 1; n <= entry_count; n++)); do
        [ "$n" = "$1" ] || peers+="\"127.0.0.1:$(inner_port "$n")\", "
    done
    cat >"$dir/entry-$1.toml" <<TOML
instance = "entry-$1"
zone = "$(zone_of "$1")"
callers = "127.0.0.1:$(caller_port "$1")"
operators = "127.0.0.1:$(operators_port "$1")"
inner = "127.0.0.1:$(inner_port "$1")"
inner_peers = [${peers%, }]
platform = "$2"
configuration_file = "$dir/configuration.toml"
traffic_threads = 1
balancer_lag_ms = 2000
log_level = "info"

[operators_tls]
plaintext = true

[inner_tls]
plaintext = true
TOML
}

start_entry() { launch "entry-$1" "$build/buckthorncroft" "$dir/entry-$1.toml"; }

start_targets() {
    local service n
    for service in "${services[@]}"; do
        for ((n = 1; n <= target_count[$service]; n++)); do
            launch "$service-$n" "$build/standin-target" --port "$(target_port "$service" "$n")" --id "$service-$n" \
                --zone "$(zone_of "$n")" --service-ms 30 --service-sigma 0.4 --lag-ms 500 --seed "$((seed + n))"
        done
    done
}

# Retries a command until it succeeds, up to 100 times and 0.1 s apart: description, command.
wait_until() {
    local name=$1 it
    shift
    for ((it = 0; it < 100; it++)); do
        "$@" && return 0
        sleep 0.1
    done
    echo "demo: $name does not respond; see the logs in $dir" >&2
    return 1
}

entry_ready() { [ "$(http_status "$(operators_port "$1")" /ready)" = 200 ]; }
target_up() { [ -n "$(target_value "$1" "$2" requests)" ]; }

# Starts all processes and waits until the targets and entry instances respond.
fleet_start() {
    local service n platform=""
    write_configuration
    start_targets
    if [ -x "$build/standin-platform" ]; then
        launch platform "$build/standin-platform" --port "$base"
        platform="127.0.0.1:$base"
        sleep 0.5
    fi
    for ((n = 1; n <= entry_count; n++)); do
        write_settings "$n" "$platform"
        start_entry "$n"
    done
    for service in "${services[@]}"; do
        for ((n = 1; n <= target_count[$service]; n++)); do wait_until "$service-$n" target_up "$service" "$n"; done
    done
    for ((n = 1; n <= entry_count; n++)); do wait_until "entry-$n" entry_ready "$n"; done
}
