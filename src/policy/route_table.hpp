#ifndef BAMBOOHOIST_POLICY_ROUTE_TABLE_HPP
#define BAMBOOHOIST_POLICY_ROUTE_TABLE_HPP

#include "core/error.hpp"
#include "core/hash.hpp"
#include "policy/manifest.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboohoist {

/// The route of a request and, unless the route is divided, its service.
struct route_match
{
    std::uint32_t route_ = 0; ///< Index in the manifest.
    /// Index in the manifest; the first part of a divided route, and without meaning for an
    /// unusable one.
    std::uint32_t service_ = 0;
};

/// Finds the service of a request by host, longest path prefix and organisation. Built once per
/// revision. The number of look-ups of a search is proportional to the number of path segments.
class route_table
{
public:
    /// Keeps a reference to the manifest, which must outlive the table.
    explicit route_table(const manifest& source);

    /// The route with the longest prefix that admits the organisation. Routes of the exact host are
    /// preferred to those of any host. Empty, with the reason `no_route` or `unknown_organisation`,
    /// when there is none.
    std::optional<route_match> match(std::string_view host, std::string_view path,
                                     std::string_view organisation) const;

    /// Chooses the service for one request of a route. `draw`, a random number in `[0, 1)`, selects
    /// one of the route's parts by weight.
    std::uint32_t choose_service(const route_match& matched, double draw) const;

    /// The index of a declared organisation in the manifest.
    std::optional<std::uint32_t> find_organisation(std::string_view name) const;

    /// The index of a declared service in the manifest.
    std::optional<std::uint32_t> find_service(std::string_view name) const;

private:
    /// A route. The routes of the same host and prefix form a chain in the order of the manifest.
    struct entry
    {
        route_match target_;
        std::uint32_t first_organisation_; ///< Position in `allowed_organisations_`.
        std::uint32_t organisation_count_; ///< 0 if all organisations are admitted.
        std::int32_t next_;                ///< Position of the next entry, or -1.
    };

    std::optional<route_match> match_host(std::string_view host, std::string_view path,
                                          std::optional<std::uint32_t> organisation,
                                          bool& organisation_refused) const;
    std::optional<route_match> match_prefix(std::string_view host, std::string_view prefix,
                                            std::optional<std::uint32_t> organisation,
                                            bool& organisation_refused) const;
    std::optional<route_match> match_chain(std::int32_t position,
                                           std::optional<std::uint32_t> organisation,
                                           bool& organisation_refused) const;
    /// The service of a route, or of its first part; any service for an unusable route.
    std::uint32_t first_service(const route_spec& route) const;
    void insert(std::uint32_t index);

    const manifest& source_;
    std::vector<entry> entries_;
    std::vector<std::uint32_t> allowed_organisations_;       ///< Sorted within each entry.
    std::unordered_map<std::uint64_t, std::int32_t> chains_; ///< By hash of host and prefix.
    std::unordered_map<std::string_view, std::uint32_t, string_view_hash> organisations_;
    std::unordered_map<std::string_view, std::uint32_t, string_view_hash> services_;
};

} // namespace bamboohoist

#endif
