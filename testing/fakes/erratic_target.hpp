#ifndef BAMBOOHOIST_TESTING_ERRATIC_TARGET_HPP
#define BAMBOOHOIST_TESTING_ERRATIC_TARGET_HPP

#include "core/random_source.hpp"
#include "fakes/answer_ledger.hpp"

#include <atomic>
#include <condition_variable>
#include <list>
#include <mutex>
#include <optional>
#include <thread>

namespace bamboohoist::testing {

struct erratic_options
{
    std::uint64_t seed_ = 1;
    double sound_share_ = 0.6;         ///< Of the answers; the others show one of the faults.
    std::size_t max_connections_ = 64; ///< Further ones are reset or closed at once.
};

/// A target that answers whole, cut, twice, late, not at all, or ends as a process does, at random
/// from a seed. What it does to a request depends only on the seed, the request's identifier and
/// the number of its run. A body without a length never ends early by an ordinary close while the
/// target lives, because HTTP can't tell that from a whole one.
class erratic_target
{
public:
    erratic_target(const erratic_options& options, answer_ledger& ledger);
    ~erratic_target();

    erratic_target(const erratic_target&) = delete;
    erratic_target& operator=(const erratic_target&) = delete;

    std::string address() const;

    /// True when the process that this target stands for has ended.
    bool ended() const;

private:
    /// How the end of a body is told.
    enum class body_form
    {
        length,
        chunked,
        connection,
    };

    /// An answer without its form.
    struct answer
    {
        std::string id_;
        std::string signature_; ///< Empty when the request was not run.
        std::string body_;
        int status_ = 0;
    };

    /// The bytes of an answer; those from `body_at_` on are its body.
    struct encoded_answer
    {
        body_form form_ = body_form::length;
        std::size_t body_at_ = 0;
        std::string bytes_;
    };

    struct connection
    {
        int fd_ = -1;
        std::string received_;           ///< Not yet read as a request.
        std::optional<answer> previous_; ///< To the last request.
        std::string late_;               ///< To be sent before the next answer.
        bool closed_ = false;            ///< Guarded by `mutex_`.
        std::thread thread_;
    };

    /// What a target does with one answer. Returns false when the connection is to be closed.
    using send_member = bool (erratic_target::*)(connection&, const answer&, random_source&);
    struct fault_row
    {
        std::string_view name_;
        std::size_t weight_ = 0;
        send_member send_ = nullptr;
        bool runs_ = true; ///< False when the answer says that the request was not run.
    };
    static const std::vector<fault_row> faults;

    void accept_all();
    void add_connection(int fd);
    void reap_closed();
    static void refuse(int fd, random_source& random);
    void serve(connection& link);
    bool serve_request(connection& link, std::string_view id);
    static std::optional<std::string> read_request(connection& link);

    const fault_row& choose_fault(random_source& random) const;
    answer make_answer(std::string_view id, const fault_row& fault, random_source& random);
    /// The same answer, or what a further run would have given.
    answer repeat(const answer& item, random_source& random);
    /// An answer to be sent before the next one, whole or cut.
    std::string make_late(const answer& item, random_source& random);
    static encoded_answer encode(const answer& item, random_source& random);

    bool send_whole(connection& link, const answer& item, random_source& random);
    bool send_with_extra(connection& link, const answer& item, random_source& random);
    bool send_twice(connection& link, const answer& item, random_source& random);
    bool send_again_with_next(connection& link, const answer& item, random_source& random);
    bool send_previous_instead(connection& link, const answer& item, random_source& random);
    bool cut_and_close(connection& link, const answer& item, random_source& random);
    bool cut_and_reset(connection& link, const answer& item, random_source& random);
    bool cut_and_keep(connection& link, const answer& item, random_source& random);
    bool cut_for_second(connection& link, const answer& item, random_source& random);
    bool cut_and_send_again(connection& link, const answer& item, random_source& random);
    bool cut_and_send_previous(connection& link, const answer& item, random_source& random);
    bool cut_and_end_process(connection& link, const answer& item, random_source& random);
    bool drop(connection& link, const answer& item, random_source& random);

    bool send_part(connection& link, const encoded_answer& item, std::size_t size,
                   random_source& random);
    bool send_second(connection& link, const answer& item, random_source& random);
    void pause(random_source& random);
    void end_process(random_source& random);
    void break_connections();

    erratic_options options_;
    answer_ledger& ledger_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> ended_ = false;
    std::mutex mutex_; ///< Guards `connections_`.
    std::condition_variable end_changed_;
    std::list<connection> connections_;
    std::thread thread_;
};

} // namespace bamboohoist::testing

#endif
