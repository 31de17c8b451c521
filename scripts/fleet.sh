# Functions that start and stop a fleet of local processes: the platform stand-in, target stand-ins and entry
# instances. Sourced by scripts/demo.sh. Needs `base` (first port), `dir` (working folder) and `build` (build folder).
# Every process is recorded by its id and ended by its id. All addresses are loopback addresses.
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

# Starts a process with its output in a log file: name, command and arguments.
launch() {
    local name=$1
    shift
    "$@" >>"$dir/$name.log" 2>&1 &
    fleet_pids[$name]=$!
}

# Sends a signal to one recorded process.
signal() { kill "-$2" "${fleet_pids[$1]}"; }

# Waits for one recorded process and returns its exit status.
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

# Sends one HTTP request and prints the answer: method, port, path and an optional body. Fails without an answer.
http_call() {
    local fd body=${4:-}
    { exec {fd}<>"/dev/tcp/127.0.0.1/$2"; } 2>/dev/null || return 1
    printf '%s %s HTTP/1.1\r\nHost: local\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
        "$1" "$3" "${#body}" "$body" >&"$fd"
    timeout 2 cat <&"$fd"
    exec {fd}>&-
}

# Like http_call, for GET without a length header, because the operators' endpoint accepts no bodies.
http_status() {
    local fd line
    { exec {fd}<>"/dev/tcp/127.0.0.1/$1"; } 2>/dev/null || return 1
    printf 'GET %s HTTP/1.1\r\nHost: local\r\nConnection: close\r\n\r\n' "$2" >&"$fd"
    read -r -t 2 line <&"$fd" || line="none none"
    exec {fd}>&-
    line=${line#* }
    echo "${line%% *}"
}

# Prints a number from the counts of one target: service, number, name.
target_value() {
    local value
    value=$(http_call GET "$(target_port "$1" "$2")" /control/counts | sed -n "s/.*\"$3\":\([0-9]*\).*/\1/p") || return 1
    echo "$value"
}

# Prints a number from the counts of all targets of a service, one line each.
service_values() {
    local n
    for ((n = 1; n <= target_count[$1]; n++)); do target_value "$1" "$n" "$2"; done
}

write_route() { # name, path prefix, methods, kind, deadline in ms, greatest body, key required
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

write_service() { # name, then the routes on standard input
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

# Writes the configuration of Sprungfloor.
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

write_settings() { # entry number, platform address or nothing
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

# Waits until an address answers: description, command.
wait_until() {
    local name=$1 it
    shift
    for ((it = 0; it < 100; it++)); do
        "$@" && return 0
        sleep 0.1
    done
    echo "demo: $name does not answer; see $dir" >&2
    return 1
}

entry_ready() { [ "$(http_status "$(operators_port "$1")" /ready)" = 200 ]; }
target_up() { [ -n "$(target_value "$1" "$2" requests)" ]; }

# Starts everything and waits until it answers.
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
