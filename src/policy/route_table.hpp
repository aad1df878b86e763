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

/// Where a request goes: a route and, unless the route is divided, its service.
struct route_match
{
    std::uint32_t route_ = 0;   ///< Index in the manifest.
    std::uint32_t service_ = 0; ///< Index in the manifest; the first part of a divided route.
};

/// Finds the service of a request by host, longest path prefix and organisation. Built once for
/// each revision; a search costs one look-up for each segment of the path.
class route_table
{
public:
    /// Keeps a reference to the manifest's strings, which must outlive the table.
    explicit route_table(const manifest& source);

    /// Empty with `no_route` or `unknown_organisation`. The route of the longest prefix that
    /// admits the organisation wins, and a route of the exact host goes before one of any host.
    std::optional<route_match> match(std::string_view host, std::string_view path,
                                     std::string_view organisation) const;

    /// The service of one request of a route: `draw`, from 0 to below 1, falls into the parts by
    /// their weights.
    std::uint32_t choose_service(const route_match& matched, double draw) const;

    /// The index of a declared organisation in the manifest.
    std::optional<std::uint32_t> organisation(std::string_view name) const;

    std::optional<std::uint32_t> service(std::string_view name) const;

private:
    /// Routes that share a host and prefix, chained in the order of the manifest.
    struct entry
    {
        route_match target_;
        std::uint32_t first_organisation_; ///< Position in `admitted_`.
        std::uint32_t organisation_count_; ///< 0 admits all.
        std::int32_t next_;                ///< Position of the next entry, or -1.
    };

    std::optional<route_match> match_host(std::string_view host, std::string_view path,
                                          std::optional<std::uint32_t> organisation,
                                          bool& refused) const;
    std::optional<route_match> match_prefix(std::string_view host, std::string_view prefix,
                                            std::optional<std::uint32_t> organisation,
                                            bool& refused) const;
    std::optional<route_match> match_chain(std::int32_t position,
                                           std::optional<std::uint32_t> organisation,
                                           bool& refused) const;
    void insert(std::uint32_t index);

    const manifest& source_;
    std::vector<entry> entries_;
    std::vector<std::uint32_t> admitted_;                    ///< Sorted within each entry.
    std::unordered_map<std::uint64_t, std::int32_t> chains_; ///< By hash of host and prefix.
    std::unordered_map<std::string_view, std::uint32_t, string_view_hash> organisations_;
    std::unordered_map<std::string_view, std::uint32_t, string_view_hash> services_;
};

} // namespace bamboohoist

#endif
