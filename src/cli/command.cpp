#include "cli/command.hpp"

#include <array>

namespace bamboohoist {

namespace {

constexpr std::array command_table{
    command{"check", "FILE [--deployment=own|platform]", "check a configuration without sending it",
            &run_check},
    command{"apply", "FILE --base=N --who=NAME --why=TEXT [--until=TEXT] [--without=DOMAIN,...]",
            "put a manifest into force; returns when it is accepted or refused", &run_apply},
    command{"status", "", "show the newest revision, its notes, the nodes and the targets",
            &run_status},
    command{"timeline", "[--since=SECONDS] [--subject=TEXT] [--html=FILE]",
            "show the events of all nodes in order of time", &run_timeline},
    command{"explain", "TARGET|NODE|REQUEST [LOG...]",
            "explain what happened to it, by which rule and why; reads log files when given",
            &run_explain},
    command{"drain", "TARGET --who=NAME --why=TEXT [--resume]",
            "stop sending new requests to a target, or resume", &run_drain},
    command{"release", "FINGERPRINT --who=NAME --why=TEXT",
            "allow a quarantined request to run again; 'timeline' shows its fingerprint",
            &run_release},
    command{"load", "FILE [--report=FILE]",
            "send requests at a fixed rate and report the latencies", &run_load},
};

} // namespace

std::span<const command> commands()
{
    return command_table;
}

} // namespace bamboohoist
