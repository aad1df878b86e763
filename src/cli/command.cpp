#include "cli/command.hpp"

#include <array>

namespace bamboohoist {

namespace {

constexpr std::array table{
    command{"check", "FILE", "check a manifest without sending it", &run_check},
    command{"apply", "FILE --base=N --who=NAME --why=TEXT [--until=TEXT] [--without=DOMAIN,...]",
            "put a manifest into force; returns when it is accepted or refused", &run_apply},
    command{"status", "", "show the newest revision, its notes, the nodes and the targets",
            &run_status},
    command{"timeline", "[--since=SECONDS] [--subject=TEXT] [--html=FILE]",
            "show the events of all nodes in one order", &run_timeline},
    command{"explain", "TARGET|NODE|REQUEST [LOG...]",
            "say what happened to it, by which rule and why; from logs of processes where given",
            &run_explain},
    command{"drain", "TARGET --who=NAME --why=TEXT [--resume]",
            "send a target no new work, or send it work again", &run_drain},
    command{"release", "FINGERPRINT --who=NAME --why=TEXT",
            "let a quarantined request run again; 'timeline' shows its fingerprint", &run_release},
    command{"load", "FILE [--report=FILE]", "send requests at a fixed rate and report latencies",
            &run_load},
};

} // namespace

std::span<const command> commands()
{
    return table;
}

} // namespace bamboohoist
