/// The commands `check`, `apply`, `drain` and `release`, which check or change the configuration
/// and the state that operators set.

#include "cli/flags.hpp"
#include "cli/operator_client.hpp"
#include "config/manifest_json.hpp"
#include "core/error.hpp"
#include "platform/platform_deployment.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <sstream>

namespace bamboohoist {

namespace {

using json = nlohmann::ordered_json;

std::vector<std::string> split_names(std::string_view text)
{
    std::vector<std::string> names;
    std::istringstream stream{std::string(text)};
    std::string name;
    while (std::getline(stream, name, ','))
    {
        names.push_back(name);
    }
    return names;
}

bool has_note()
{
    if (FLAGS_who.empty() || FLAGS_why.empty())
    {
        std::cerr
            << "bamboohoist: --who (who made the decision) and --why (the reason) are required\n";
        return false;
    }
    return true;
}

/// Posts a request to the node. Prints the refusal, the reply with `--json`, or the reply as
/// `print` formats it.
exit_status post_and_print(std::string_view path, const json& body,
                           const std::function<void(const json&)>& print)
{
    const auto reply = call_node("POST", path, body.dump());
    if (!reply)
    {
        return exit_status::unreachable;
    }
    if (reply->status_ != 200)
    {
        return print_refusal(*reply);
    }
    if (FLAGS_json)
    {
        std::cout << reply->body_.dump() << '\n';
        return exit_status::done;
    }
    print(reply->body_);
    return exit_status::done;
}

/// One value of the flag `deployment`.
struct deployment_row
{
    std::string_view name_;
    const deployment& (*instance_)();
};

constexpr std::array deployments{
    deployment_row{"own", &default_deployment},
    deployment_row{"platform", &platform::platform_deployment},
};

/// Parses a configuration in the format of the chosen deployment.
std::optional<ref_ptr<const manifest>> parse_configuration(std::string_view text)
{
    const auto row = std::ranges::find(deployments, FLAGS_deployment, &deployment_row::name_);
    if (row == deployments.end())
    {
        return fail(error_kind::bad_settings, "unknown deployment \"" + FLAGS_deployment + "\"");
    }
    const auto manifest_text = row->instance_().translate_configuration(text);
    return manifest_text ? parse_manifest(*manifest_text) : std::nullopt;
}

/// Warns of the parts that this build does not understand, and of the requests that it refuses.
void print_warnings(std::string_view file, const manifest& content)
{
    for (const route_spec& route : content.routes_)
    {
        if (!route.unusable_.empty())
        {
            std::cout << file << ": warning: requests for " << route.host_ << route.prefix_
                      << " are refused: " << route.unusable_ << '\n';
        }
    }
    for (const day_note& note : content.notes_)
    {
        std::cout << file << ": note of " << note.who_ << ": " << note.why_ << '\n';
    }
}

} // namespace

exit_status run_check(arguments args)
{
    if (args.size() != 1)
    {
        return usage_error("check");
    }
    const auto text = read_file(args.front());
    if (!text)
    {
        return exit_status::bad_usage;
    }
    const auto parsed = parse_configuration(*text);
    if (!parsed)
    {
        std::cerr << args.front() << ": " << last_reason().text_ << '\n';
        return exit_status::bad_usage;
    }
    const manifest& content = **parsed;
    const auto unusable_routes = std::ranges::count_if(
        content.routes_, [](const route_spec& route) { return !route.unusable_.empty(); });
    const json summary{{"services", content.services_.size()},
                       {"routes", content.routes_.size()},
                       {"unusable_routes", unusable_routes},
                       {"organisations", content.organisations_.size()},
                       {"stop_plans", content.stop_plans_.size()},
                       {"notes", content.notes_.size()}};
    if (FLAGS_json)
    {
        std::cout << summary.dump() << '\n';
        return exit_status::done;
    }
    std::cout << args.front() << ": valid";
    for (const auto& [name, count] : summary.items())
    {
        std::cout << ", " << count << ' ' << name;
    }
    std::cout << '\n';
    print_warnings(args.front(), content);
    return exit_status::done;
}

exit_status run_apply(arguments args)
{
    if (args.size() != 1 || !has_note())
    {
        return usage_error("apply");
    }
    const auto text = read_file(args.front());
    if (!text)
    {
        return exit_status::bad_usage;
    }
    if (!parse_manifest(*text))
    {
        std::cerr << args.front() << ": " << last_reason().text_ << '\n';
        return exit_status::bad_usage;
    }
    const json body{{"manifest", *text},    {"base", FLAGS_base},
                    {"who", FLAGS_who},     {"why", FLAGS_why},
                    {"until", FLAGS_until}, {"without_domains", split_names(FLAGS_without)}};
    const auto reply = call_node("POST", "/v1/apply", body.dump());
    if (!reply)
    {
        return exit_status::unreachable;
    }
    if (!reply->body_.value("accepted", false))
    {
        return print_refusal(*reply);
    }
    if (FLAGS_json)
    {
        std::cout << reply->body_.dump() << '\n';
        return exit_status::done;
    }
    std::cout << "accepted: revision " << reply->body_.value("revision", 0)
              << " is in force in every failure domain\n";
    return exit_status::done;
}

exit_status run_drain(arguments args)
{
    if (args.size() != 1 || !has_note())
    {
        return usage_error("drain");
    }
    const json body{
        {"target", args.front()}, {"resume", FLAGS_resume}, {"who", FLAGS_who}, {"why", FLAGS_why}};
    return post_and_print("/v1/drain", body, [&](const json&) {
        std::cout << args.front()
                  << (FLAGS_resume ? ": receives new requests again\n"
                                   : ": will receive no new requests as soon as the floor allows "
                                     "it; see 'explain'\n");
    });
}

exit_status run_release(arguments args)
{
    if (args.size() != 1 || !has_note())
    {
        return usage_error("release");
    }
    const json body{{"request_like", args.front()}, {"who", FLAGS_who}, {"why", FLAGS_why}};
    return post_and_print("/v1/release", body, [](const json& reply) {
        std::cout << "released at " << reply.value("nodes", 0) << " nodes\n";
        for (const json& node : reply["unreachable"])
        {
            std::cout << "still quarantined at " << node.get<std::string>()
                      << ", which did not respond: release it again later\n";
        }
    });
}

} // namespace bamboohoist
