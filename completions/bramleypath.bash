# Completion of bramleypath for bash, as printed by
# `bramleypath completion`.
_bramleypath() {
  local current=${COMP_WORDS[COMP_CWORD]} options=""
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "bootstrap class completion config explain host job member owners preset service status target" -- "$current"))
    return
  fi
  local command=${COMP_WORDS[1]}
  if [ "$COMP_CWORD" -eq 2 ]; then
    case $command in
      bootstrap) COMPREPLY=($(compgen -W "check" -- "$current")); return ;;
      class) COMPREPLY=($(compgen -W "set remove" -- "$current")); return ;;
      config) COMPREPLY=($(compgen -W "get apply change" -- "$current")); return ;;
      explain) COMPREPLY=($(compgen -W "pairs request" -- "$current")); return ;;
      host) COMPREPLY=($(compgen -W "list add remove drain stop" -- "$current")); return ;;
      job) COMPREPLY=($(compgen -W "submit cancel list explain" -- "$current")); return ;;
      member) COMPREPLY=($(compgen -W "set remove" -- "$current")); return ;;
      owners) COMPREPLY=($(compgen -W "set" -- "$current")); return ;;
      preset) COMPREPLY=($(compgen -W "list use set remove" -- "$current")); return ;;
      service) COMPREPLY=($(compgen -W "set remove" -- "$current")); return ;;
      target) COMPREPLY=($(compgen -W "list drain" -- "$current")); return ;;
    esac
  fi
  case $command in status|completion) ;; *) command+=" ${COMP_WORDS[2]}" ;; esac
  case $command in
    "config get") options="--host --output --timeout-ms --help" ;;
    "config apply") options="--request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "config change") options="--request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "preset list") options="--host --output --timeout-ms --help" ;;
    "preset use") options="--wait --wait-ms --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "preset set") options="--tail-latency --evictions --throughput --queued-calls --target-utilisation --worker-utilisation --running-tasks --starts-per-second --evictions-per-job --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "preset remove") options="--request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "service set") options="--member --slots --connections --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "service remove") options="--request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "class set") options="--service --reserved-slots --expected-service-ms --idempotent --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "class remove") options="--request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "member set") options="--weight --processors-milli --memory-mb --accelerators --queued-jobs --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "member remove") options="--request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "owners set") options="--lost --move-wait-ms --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "job submit") options="--data-centre --member --class --kind --tasks --processors-milli --memory-mb --accelerators --declared-run-ms --eviction-budget --urgent --checkpointable --rack-spread --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "job cancel") options="--data-centre --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "job list") options="--member --data-centre --state --host --output --timeout-ms --help" ;;
    "job explain") options="--data-centre --host --output --timeout-ms --help" ;;
    "target list") options="--host --output --timeout-ms --help" ;;
    "target drain") options="--off --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "host list") options="--host --output --timeout-ms --help" ;;
    "host add") options="--data-centre --callers --targets --peers --operators --disk --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "host remove") options="--request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "host drain") options="--off --request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "host stop") options="--request-id --expected-version --dry-run --host --output --timeout-ms --help" ;;
    "status") options="--host --output --timeout-ms --help" ;;
    "explain pairs") options="--member --data-centre --class --host --output --timeout-ms --help" ;;
    "explain request") options="--host --output --timeout-ms --help" ;;
    "bootstrap check") options="--config --host --output --timeout-ms --help" ;;
    "completion") options="--host --output --timeout-ms --help" ;;
  esac
  if [[ $current == -* ]]; then
    COMPREPLY=($(compgen -W "$options" -- "$current"))
  else
    COMPREPLY=($(compgen -f -- "$current"))
  fi
}
complete -F _bramleypath bramleypath
