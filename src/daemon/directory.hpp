#ifndef BAMBOOHOIST_DAEMON_DIRECTORY_HPP
#define BAMBOOHOIST_DAEMON_DIRECTORY_HPP

#include "daemon/membership.hpp"
#include "store/store_client.hpp"

#include <string>

namespace bamboohoist {

inline constexpr std::string_view node_prefix = "bamboohoist/nodes/";

/// This node's entry in the store, under a lease, and the search for peers at the start. Liveness
/// is the business of membership; the entries serve only those who know nobody.
class directory : public child
{
public:
    directory(const control_context& context, store_client& store, membership& members);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Takes the entry away, at a planned end.
    void withdraw();

private:
    void open_session();
    void renew();
    void search();
    void join_listed(const store_reply& reply);
    void back_off(void (directory::*step)());

    const control_context& context_;
    store_client& store_;
    membership& members_;
    std::string session_;
    duration retry_delay_;
    timer lease_timer_;
    timer search_timer_;
    bool running_ = false;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
