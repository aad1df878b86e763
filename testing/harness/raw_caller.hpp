#ifndef BAMBOOHOIST_TESTING_RAW_CALLER_HPP
#define BAMBOOHOIST_TESTING_RAW_CALLER_HPP

#include "core/clock.hpp"
#include "core/message.hpp"
#include "wire/endpoint.hpp"

#include <optional>

namespace bamboohoist::testing {

/// A caller that keeps its connection and reads answers byte by byte, without the product's client,
/// so that bytes that follow an answer don't go unnoticed.
class raw_caller
{
public:
    explicit raw_caller(std::string_view server);
    ~raw_caller();

    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    /// Sends a request and returns its answer; empty when none came whole within the time-out.
    std::optional<response_message> call(const request_message& request, duration timeout);

    /// Bytes that came after an answer and belong to none.
    std::size_t stray_bytes() const;

private:
    bool connect();
    void disconnect();
    bool receive(instant deadline);
    std::optional<response_message> read_answer(instant deadline);

    endpoint server_;
    int fd_ = -1;
    std::string received_;
    std::size_t stray_bytes_ = 0;
};

} // namespace bamboohoist::testing

#endif
