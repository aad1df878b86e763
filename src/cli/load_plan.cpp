#include "cli/load_plan.hpp"

#include "config/object_reader.hpp"

namespace bamboohoist {

namespace {

constexpr double max_rate = 1e6;
constexpr double max_seconds = 86400.0;
constexpr std::uint32_t max_generators = 64;

void read_kind(object_reader& reader, load_kind& kind)
{
    reader.read_required("name", kind.name_);
    reader.read("share", kind.share_, 0.0, 1e6);
    reader.read("method", kind.method_);
    reader.read("host", kind.host_);
    reader.read("path", kind.path_);
    reader.read("organisation_header", kind.organisation_header_);
    reader.read("organisations", kind.organisations_);
    reader.read("body", kind.body_);
    reader.read("keyed", kind.keyed_);
    reader.read("timeout_ms", kind.timeout_ms_);
}

} // namespace

std::optional<load_plan> parse_load_plan(std::string_view text)
{
    return parse_object<load_plan>(
        text, error_kind::bad_request, [](object_reader& reader, load_plan& plan) {
            reader.read("callers", plan.callers_);
            reader.read("rate", plan.rate_, 0.001, max_rate);
            reader.read("seconds", plan.seconds_, 0.001, max_seconds);
            reader.read("warm_up_s", plan.warm_up_s_, 0.0, max_seconds);
            reader.read("resends", plan.resends_);
            reader.read("connections", plan.connections_, 1);
            reader.read("generators", plan.generators_, 1);
            if (plan.generators_ > max_generators)
            {
                reader.report_error("generators", "expected at most 64 threads");
            }
            reader.read_objects(
                "kinds", [&](object_reader& item) { read_kind(item, plan.kinds_.emplace_back()); });
            if (plan.kinds_.empty())
            {
                reader.report_error("kinds", "is missing; expected at least one kind of request");
            }
        });
}

} // namespace bamboohoist
