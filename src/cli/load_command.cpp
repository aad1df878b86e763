/// The command `load`: an open-loop load generator.

#include "cli/flags.hpp"
#include "cli/load_generators.hpp"
#include "cli/load_report.hpp"
#include "cli/operator_client.hpp"
#include "core/error.hpp"

#include <iostream>

namespace bamboohoist {

exit_status run_load(arguments args)
{
    if (args.size() != 1)
    {
        return usage_error("load");
    }
    const auto text = read_file(args.front());
    if (!text)
    {
        return exit_status::bad_usage;
    }
    const auto plan = parse_load_plan(*text);
    if (!plan || plan->callers_.empty())
    {
        std::cerr << args.front() << ": "
                  << (plan ? "/callers: expected at least one address" : last_reason().text_)
                  << '\n';
        return exit_status::bad_usage;
    }
    const load_result result = run_load_plan(*plan, FLAGS_seed);
    if (!FLAGS_report.empty() && !write_file(FLAGS_report, load_report_page(result)))
    {
        return exit_status::bad_usage;
    }
    const auto figures = load_report_json(result);
    std::cout << (FLAGS_json ? figures.dump() : figures.dump(2)) << '\n';
    const bool sound = !result.outcomes_.contains(load_outcome::wrong) &&
                       !result.outcomes_.contains(load_outcome::lost);
    return sound ? exit_status::done : exit_status::refused;
}

} // namespace bamboohoist
