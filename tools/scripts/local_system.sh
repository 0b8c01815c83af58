# Starts and stops a system of processes on loopback for measurements. Sourced by the scripts in tools.
# Requires $build and $work, reads $slots (slots per engine, 8 by default), and uses ports from 20000 upwards.
declare -A pids=()
domains=(apapa tincan onne)

stop_system() {
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
        wait "${pids[$name]}" 2>/dev/null || true
    done
    pids=()
}

write_settings() { # number keepers partitions [extra-settings]
    {
        printf '[vm]\nname = vm-%s\nfailure_domain = %s\nhttp = 127.0.0.1:%s\npeer = 127.0.0.1:%s\n' "$1" "${domains[$((($1 - 1) % 3))]}" $((20000 + $1)) $((21000 + $1))
        printf 'log_file = %s/vm-%s.log\nlog_level = warning\ndirectory_ttl_ms = 1000\nworkers = 2\n' "$work" "$1"
        [ "$1" -le "$2" ] && printf 'keeper = true\ndata_folder = %s/data-%s\n' "$work" "$1"
        printf '%s\n' "${4:-}"
        printf '[system]\npartitions = %s\nbootstrap_key_sha256 = %s\n' "$3" "$(printf first-key | sha256sum | cut -d' ' -f1)"
        for ((k = 1; k <= $2; ++k)); do
            printf '[keeper vm-%s]\npeer = 127.0.0.1:%s\nfailure_domain = %s\n' $k $((21000 + k)) "${domains[$(((k - 1) % 3))]}"
        done
    } >"$work/vm-$1.ini"
}

start_vm() { # number
    $build/cardamompostd --settings "$work/vm-$1.ini" >>"$work/vm-$1.out" 2>&1 &
    pids[vm-$1]=$!
}

write_document() { # replicas
    sed '/^\[replica/,/^$/d; s/127.0.0.1:18621/127.0.0.1:22900/; s/deadline_ms = 120000/deadline_ms = 300000/' examples/01-okpara/okpara.ini
    for ((n = 0; n < $1; ++n)); do
        printf '\n[replica stow-agents/%s]\ndeployment = stow-agents\naddress = 127.0.0.1:%s\nfailure_domain = %s\nslots = %s\n' $n $((22000 + n)) "${domains[$((n % 3))]}" "${slots:-8}"
    done
}

start_system() { # nodes keepers partitions replicas [extra-settings] [standin-options]
    rm -rf "$work"/data-* "$work"/vm-*
    local ports=""
    for ((n = 0; n < $4; ++n)); do ports="$ports $((22000 + n))"; done
    $build/cardamompost-standin --engine-ports $ports --service-ports 22900 --slots "${slots:-8}" ${6:-} &
    pids[standin]=$!
    for ((i = 1; i <= $1; ++i)); do
        write_settings $i "$2" "$3" "${5:-}"
        start_vm $i
    done
    CARDAMOMPOST_ENTRIES=""
    for ((i = 1; i <= $1; ++i)); do CARDAMOMPOST_ENTRIES="$CARDAMOMPOST_ENTRIES,127.0.0.1:$((20000 + i))"; done
    export CARDAMOMPOST_ENTRIES=${CARDAMOMPOST_ENTRIES#,}
    wait_until_ready "$1"
    write_document "$4" >"$work/document.ini"
    $build/cardamompost config submit "$work/document.ini" --key first-key --wait 20000 >/dev/null
}

# Waits until all VMs are live and every partition has an owner.
wait_until_ready() { # nodes
    for _ in $(seq 300); do
        local status
        status=$($build/cardamompost status --key first-key --output json 2>/dev/null || $build/cardamompost status --key duty-key --output json 2>/dev/null || true)
        if echo "$status" | grep -q '"partitions_without_owner":0' && [ "$(echo "$status" | grep -o '"state":"live"' | wc -l)" -ge "$1" ]; then
            return 0
        fi
        sleep 0.1
    done
    echo "the system did not come up" >&2
    return 1
}

metric() { # number name
    curl -s "http://127.0.0.1:$((20000 + $1))/metrics" | awk -v name="$2" '$1 == name {print $2; exit}'
}

leader_number() {
    $build/cardamompost status --key duty-key --output json | sed 's/.*"leader":"vm-\([0-9]*\)".*/\1/'
}
