#include "policy/route_table.hpp"

#include <algorithm>
#include <span>

namespace bamboohoist {

namespace {

constexpr std::string_view any_host = "*";

std::string_view without_trailing_slash(std::string_view prefix)
{
    while (prefix.size() > 1 && prefix.back() == '/')
    {
        prefix.remove_suffix(1);
    }
    return prefix;
}

} // namespace

route_table::route_table(const manifest& source) : source_(source)
{
    for (const service_spec& service : source.services_)
    {
        services_.emplace(service.name_, static_cast<std::uint32_t>(services_.size()));
    }
    for (const organisation_spec& organisation : source.organisations_)
    {
        organisations_.emplace(organisation.name_,
                               static_cast<std::uint32_t>(organisations_.size()));
    }
    entries_.reserve(source.routes_.size());
    // Entries are inserted at the front of their chain, so the first route of the manifest is
    // inserted last.
    for (auto index = static_cast<std::uint32_t>(source.routes_.size()); index > 0; --index)
    {
        insert(index - 1);
    }
}

std::optional<route_match> route_table::match(std::string_view host, std::string_view path,
                                              std::string_view organisation) const
{
    std::optional<std::uint32_t> organisation_index = this->find_organisation(organisation);
    bool organisation_refused = false;
    auto found = match_host(host, path, organisation_index, organisation_refused);
    if (!found)
    {
        found = match_host(any_host, path, organisation_index, organisation_refused);
    }
    if (!found && organisation_refused)
    {
        return fail(error_kind::unknown_organisation,
                    "no route for this path admits the organisation \"" +
                        std::string(organisation) + "\"");
    }
    if (!found)
    {
        return fail(error_kind::no_route, "no route for host \"" + std::string(host) +
                                              "\" and path \"" + std::string(path) + "\"");
    }
    return found;
}

std::optional<std::uint32_t> route_table::find_organisation(std::string_view name) const
{
    const auto found = organisations_.find(name);
    if (found == organisations_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::optional<std::uint32_t> route_table::find_service(std::string_view name) const
{
    const auto found = services_.find(name);
    if (found == services_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::uint32_t route_table::choose_service(const route_match& matched, double draw) const
{
    const std::vector<route_part>& parts = source_.routes_[matched.route_].parts_;
    double total = 0.0;
    for (const route_part& part : parts)
    {
        total += part.weight_;
    }
    double remaining = draw * total;
    for (const route_part& part : parts)
    {
        remaining -= part.weight_;
        if (remaining < 0.0)
        {
            return services_.at(part.service_);
        }
    }
    return matched.service_;
}

std::optional<route_match> route_table::match_host(std::string_view host, std::string_view path,
                                                   std::optional<std::uint32_t> organisation,
                                                   bool& organisation_refused) const
{
    std::string_view prefix = path;
    for (;;)
    {
        if (const auto found = match_prefix(host, prefix, organisation, organisation_refused))
        {
            return found;
        }
        if (prefix.size() <= 1)
        {
            return std::nullopt;
        }
        // Only literal prefixes end with a slash, so each prefix is looked up with and without it.
        const auto slash = prefix.rfind('/');
        if (slash == std::string_view::npos)
        {
            return std::nullopt;
        }
        const bool at_slash = slash + 1 == prefix.size();
        prefix = prefix.substr(0, at_slash ? slash : slash + 1);
    }
}

std::optional<route_match> route_table::match_prefix(std::string_view host, std::string_view prefix,
                                                     std::optional<std::uint32_t> organisation,
                                                     bool& organisation_refused) const
{
    const auto chain = chains_.find(hash_parts({host, prefix}));
    return chain == chains_.end() ? std::nullopt
                                  : match_chain(chain->second, organisation, organisation_refused);
}

std::optional<route_match> route_table::match_chain(std::int32_t position,
                                                    std::optional<std::uint32_t> organisation,
                                                    bool& organisation_refused) const
{
    for (; position >= 0; position = entries_[static_cast<std::size_t>(position)].next_)
    {
        const entry& candidate = entries_[static_cast<std::size_t>(position)];
        if (candidate.organisation_count_ == 0)
        {
            return candidate.target_;
        }
        const std::span<const std::uint32_t> allowed(allowed_organisations_.data() +
                                                         candidate.first_organisation_,
                                                     candidate.organisation_count_);
        if (organisation && std::ranges::binary_search(allowed, *organisation))
        {
            return candidate.target_;
        }
        organisation_refused = true;
    }
    return std::nullopt;
}

std::uint32_t route_table::first_service(const route_spec& route) const
{
    if (!route.unusable_.empty())
    {
        return 0;
    }
    return services_.at(route.parts_.empty() ? route.service_ : route.parts_[0].service_);
}

void route_table::insert(std::uint32_t index)
{
    const route_spec& route = source_.routes_[index];
    entry added{};
    added.target_ = {index, first_service(route)};
    added.first_organisation_ = static_cast<std::uint32_t>(allowed_organisations_.size());
    for (const std::string& name : route.organisations_)
    {
        if (const auto known = find_organisation(name))
        {
            allowed_organisations_.push_back(*known);
        }
    }
    std::sort(allowed_organisations_.begin() + added.first_organisation_,
              allowed_organisations_.end());
    added.organisation_count_ =
        static_cast<std::uint32_t>(allowed_organisations_.size()) - added.first_organisation_;
    if (added.organisation_count_ == 0 && !route.organisations_.empty())
    {
        // The route names undeclared organisations only and therefore admits no request.
        return;
    }
    const bool literal = route.match_ == prefix_match::literal;
    const std::uint64_t key =
        hash_parts({route.host_, literal ? route.prefix_ : without_trailing_slash(route.prefix_)});
    const auto chain = chains_.try_emplace(key, -1).first;
    added.next_ = chain->second;
    chain->second = static_cast<std::int32_t>(entries_.size());
    entries_.push_back(added);
}

} // namespace bamboohoist
