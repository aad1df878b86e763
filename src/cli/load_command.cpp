/// The command `load`: an open-loop load generator.

#include "cli/flags.hpp"
#include "cli/load_report.hpp"
#include "cli/load_team.hpp"
#include "cli/operator_client.hpp"
#include "core/error.hpp"

#include <iostream>

namespace bamboohoist {

exit_status run_load(arguments words)
{
    if (words.size() != 1)
    {
        return usage_error("load");
    }
    const auto text = read_file(words.front());
    if (!text)
    {
        return exit_status::bad_usage;
    }
    const auto plan = parse_load_plan(*text);
    if (!plan || plan->callers_.empty())
    {
        std::cerr << words.front() << ": "
                  << (plan ? "/callers: expected at least one address" : last_reason().text_)
                  << '\n';
        return exit_status::bad_usage;
    }
    const load_result result = run_load_plan(*plan, FLAGS_seed);
    if (!FLAGS_report.empty() && !write_file(FLAGS_report, load_page(result)))
    {
        return exit_status::bad_usage;
    }
    const auto figures = load_figures(result);
    std::cout << (FLAGS_json ? figures.dump() : figures.dump(2)) << '\n';
    const bool sound =
        !result.ends_.contains(load_end::wrong) && !result.ends_.contains(load_end::lost);
    return sound ? exit_status::done : exit_status::refused;
}

} // namespace bamboohoist
