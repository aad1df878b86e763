#include "fakes/erratic_target.hpp"

#include "core/clock.hpp"
#include "wire/endpoint.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboohoist::testing {

namespace {

constexpr int backlog = 64;
constexpr std::size_t max_body_bytes = 40'000;
constexpr std::size_t max_pause_ms = 30;
constexpr std::string_view id_field = "X-Bamboohoist-Attempt-Id: ";
constexpr std::string_view line_end = "\r\n";
constexpr std::array not_run_statuses{503, 429, 421};

void reset_at_close(int fd)
{
    const linger discard{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
}

/// Most bodies are short, some are long.
std::string make_body(random_source& random)
{
    const double size = std::pow(static_cast<double>(max_body_bytes), random.uniform());
    std::string body(static_cast<std::size_t>(size) - 1, ' ');
    for (char& letter : body)
    {
        letter = static_cast<char>(random.index(256));
    }
    return body;
}

std::string to_hex(std::size_t number, random_source& random)
{
    std::array<char, 32> text{};
    const char* const format = random.chance(0.2) ? "%06zx" : "%zx";
    const int size = std::snprintf(text.data(), text.size(), format, number);
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string encode_chunks(std::string_view body, random_source& random)
{
    std::string bytes;
    while (!body.empty())
    {
        const std::size_t size = 1 + random.index(body.size());
        bytes += to_hex(size, random) + "\r\n" + std::string(body.substr(0, size)) + "\r\n";
        body.remove_prefix(size);
    }
    return bytes + "0\r\n\r\n";
}

/// Any byte of the status line, the head or the body, or the end of a line of the head.
std::size_t choose_cut(std::string_view bytes, std::size_t body_at, std::size_t end,
                       random_source& random)
{
    const std::size_t first_line = bytes.find(line_end) + line_end.size();
    switch (random.index(4))
    {
    case 0:
        return random.index(first_line);
    case 1:
        return random.index(body_at);
    case 2:
        return bytes.find(line_end, random.index(body_at - line_end.size())) + line_end.size();
    default:
        return random.index(end);
    }
}

} // namespace

const std::vector<erratic_target::fault_row> erratic_target::faults{
    {"extra bytes", 2, &erratic_target::send_with_extra},
    {"twice", 2, &erratic_target::send_twice},
    {"again with the next", 3, &erratic_target::send_again_with_next},
    {"previous one instead", 3, &erratic_target::send_previous_instead},
    {"cut, closed", 3, &erratic_target::cut_and_close},
    {"cut, reset", 2, &erratic_target::cut_and_reset},
    {"cut, silent", 1, &erratic_target::cut_and_keep},
    {"cut, second one", 6, &erratic_target::cut_and_send_again},
    {"cut, previous one", 4, &erratic_target::cut_and_send_previous},
    {"cut, process ended", 1, &erratic_target::cut_and_end_process},
    {"no answer", 1, &erratic_target::drop},
    {"not run", 1, &erratic_target::send_whole, false},
    {"not run, twice", 1, &erratic_target::send_twice, false},
    {"not run, again with the next", 1, &erratic_target::send_again_with_next, false},
    {"not run, cut, closed", 1, &erratic_target::cut_and_close, false},
    {"not run, cut, second one", 1, &erratic_target::cut_and_send_again, false},
};

erratic_target::erratic_target(const erratic_options& options, answer_ledger& ledger)
    : options_(options), ledger_(ledger),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
    const int bound =
        ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (bound != 0 || ::listen(listener_, backlog) != 0)
    {
        throw std::runtime_error("erratic_target cannot listen on 127.0.0.1");
    }
    port_ = bound_port(listener_);
    thread_ = std::thread([this] { accept_all(); });
}

erratic_target::~erratic_target()
{
    {
        const std::lock_guard lock(mutex_);
        ended_ = true;
    }
    end_changed_.notify_all();
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    break_connections();
    for (connection& link : connections_)
    {
        link.thread_.join();
    }
    ::close(listener_);
}

std::string erratic_target::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

bool erratic_target::ended() const
{
    return ended_;
}

void erratic_target::accept_all()
{
    random_source random(options_.seed_);
    for (int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC); fd >= 0;
         fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC))
    {
        reap_closed();
        if (ended_ || connections_.size() >= options_.max_connections_)
        {
            ledger_.count("connection refused");
            refuse(fd, random);
            continue;
        }
        add_connection(fd);
    }
}

void erratic_target::add_connection(int fd)
{
    const std::lock_guard lock(mutex_);
    connection& link = connections_.emplace_back();
    link.fd_ = fd;
    link.thread_ = std::thread([this, &link] { serve(link); });
    if (ended_)
    {
        ::shutdown(fd, SHUT_RDWR);
    }
}

void erratic_target::reap_closed()
{
    const std::lock_guard lock(mutex_);
    std::erase_if(connections_, [](connection& link) {
        if (link.closed_)
        {
            link.thread_.join();
        }
        return link.closed_;
    });
}

void erratic_target::refuse(int fd, random_source& random)
{
    if (random.chance(0.5))
    {
        reset_at_close(fd);
    }
    ::close(fd);
}

void erratic_target::serve(connection& link)
{
    bool open = true;
    while (open)
    {
        const auto id = read_request(link);
        open = id && serve_request(link, *id);
    }
    const std::lock_guard lock(mutex_);
    ::close(link.fd_);
    link.closed_ = true;
}

std::optional<std::string> erratic_target::read_request(connection& link)
{
    constexpr std::string_view head_end = "\r\n\r\n";
    constexpr std::string_view length_field = "Content-Length: ";
    std::size_t needed = std::string::npos;
    while (link.received_.size() < needed)
    {
        std::array<char, 4096> buffer{};
        const ssize_t count = ::recv(link.fd_, buffer.data(), buffer.size(), 0);
        if (count <= 0)
        {
            return std::nullopt;
        }
        link.received_.append(buffer.data(), static_cast<std::size_t>(count));
        const std::size_t end = link.received_.find(head_end);
        if (end != std::string::npos)
        {
            const std::size_t length = link.received_.find(length_field);
            const std::size_t body =
                length < end ? std::stoul(link.received_.substr(length + length_field.size())) : 0;
            needed = end + head_end.size() + body;
        }
    }
    const std::size_t id = link.received_.find(id_field);
    if (id == std::string::npos)
    {
        return std::nullopt;
    }
    const std::size_t start = id + id_field.size();
    std::string found = link.received_.substr(start, link.received_.find(line_end, start) - start);
    link.received_.erase(0, needed);
    return found;
}

bool erratic_target::serve_request(connection& link, std::string_view id)
{
    random_source plan(options_.seed_ ^ std::stoull(std::string(id), nullptr, 16) ^
                       ledger_.runs(id));
    const fault_row& fault = choose_fault(plan);
    if (fault.runs_)
    {
        ledger_.add_run(id);
    }
    const answer item = make_answer(id, fault, plan);
    if (!link.late_.empty())
    {
        ::send(link.fd_, link.late_.data(), link.late_.size(), MSG_NOSIGNAL);
        link.late_.clear();
        pause(plan);
    }
    const bool open = (this->*fault.send_)(link, item, plan);
    link.previous_ = item;
    return open;
}

const erratic_target::fault_row& erratic_target::choose_fault(random_source& random) const
{
    static const fault_row sound{"sound", 0, &erratic_target::send_whole};
    if (random.chance(options_.sound_share_))
    {
        return sound;
    }
    std::size_t sum = 0;
    for (const fault_row& row : faults)
    {
        sum += row.weight_;
    }
    std::size_t left = random.index(sum);
    auto row = faults.begin();
    for (; left >= row->weight_; ++row)
    {
        left -= row->weight_;
    }
    return *row;
}

erratic_target::answer erratic_target::make_answer(std::string_view id, const fault_row& fault,
                                                   random_source& random)
{
    answer item{std::string(id), "", make_body(random), 0};
    if (!fault.runs_)
    {
        item.status_ = not_run_statuses[random.index(not_run_statuses.size())];
        ledger_.count(fault.name_);
        return item;
    }
    item.status_ = random.chance(0.1) ? 500 : 200;
    item.signature_ = item.id_ + "." + random.identifier();
    ledger_.add_meant(id, {item.signature_, item.body_}, fault.name_);
    return item;
}

erratic_target::answer erratic_target::repeat(const answer& item, random_source& random)
{
    answer second = item;
    if (!item.signature_.empty() && random.chance(0.5))
    {
        second.body_ = make_body(random);
        second.signature_ = item.id_ + "." + random.identifier();
        ledger_.add_meant(item.id_, {second.signature_, second.body_}, "second body");
    }
    return second;
}

std::string erratic_target::make_late(const answer& item, random_source& random)
{
    const encoded_answer encoded = encode(repeat(item, random), random);
    const std::size_t end = encoded.bytes_.size();
    const bool whole = random.chance(0.6);
    return encoded.bytes_.substr(
        0, whole ? end : choose_cut(encoded.bytes_, encoded.body_at_, end, random));
}

erratic_target::encoded_answer erratic_target::encode(const answer& item, random_source& random)
{
    encoded_answer result;
    result.form_ = static_cast<body_form>(random.index(3));
    std::vector<std::string> fields{std::string(id_field) + item.id_, "X-Filler: some words",
                                    item.signature_.empty()
                                        ? "X-Bamboohoist-Not-Executed: 1"
                                        : "X-Bamboohoist-Response-Signature: " + item.signature_};
    if (result.form_ != body_form::connection)
    {
        fields.push_back(result.form_ == body_form::chunked
                             ? "Transfer-Encoding: chunked"
                             : "Content-Length: " + std::to_string(item.body_.size()));
    }
    result.bytes_ =
        random.chance(0.05) ? "HTTP/1.1 103 Early Hints\r\nX-Filler: early\r\n\r\n" : "";
    result.bytes_ += "HTTP/1.1 " + std::to_string(item.status_) + " Status\r\n";
    while (!fields.empty())
    {
        const auto field =
            fields.begin() + static_cast<std::ptrdiff_t>(random.index(fields.size()));
        result.bytes_ += *field + "\r\n";
        fields.erase(field);
    }
    result.bytes_ += line_end;
    result.body_at_ = result.bytes_.size();
    result.bytes_ +=
        result.form_ == body_form::chunked ? encode_chunks(item.body_, random) : item.body_;
    return result;
}

bool erratic_target::send_whole(connection& link, const answer& item, random_source& random)
{
    const encoded_answer encoded = encode(item, random);
    return send_part(link, encoded, encoded.bytes_.size(), random) &&
           encoded.form_ != body_form::connection;
}

bool erratic_target::send_with_extra(connection& link, const answer& item, random_source& random)
{
    if (!send_whole(link, item, random))
    {
        return false;
    }
    const std::string extra = make_body(random);
    return ::send(link.fd_, extra.data(), extra.size(), MSG_NOSIGNAL) >= 0;
}

bool erratic_target::send_twice(connection& link, const answer& item, random_source& random)
{
    return send_whole(link, item, random) && send_second(link, item, random);
}

bool erratic_target::send_again_with_next(connection& link, const answer& item,
                                          random_source& random)
{
    const bool open = send_whole(link, item, random);
    link.late_ = make_late(item, random);
    return open;
}

bool erratic_target::send_previous_instead(connection& link, const answer& item,
                                           random_source& random)
{
    if (!link.previous_)
    {
        return send_again_with_next(link, item, random);
    }
    link.late_ = make_late(item, random);
    return send_whole(link, *link.previous_, random);
}

bool erratic_target::cut_and_close(connection& link, const answer& item, random_source& random)
{
    const encoded_answer encoded = encode(item, random);
    const bool ends_with_connection = encoded.form_ == body_form::connection;
    const std::size_t end = ends_with_connection ? encoded.body_at_ : encoded.bytes_.size();
    const std::size_t cut = choose_cut(encoded.bytes_, encoded.body_at_, end, random);
    send_part(link, encoded, std::min(cut, end - 1), random);
    return false;
}

bool erratic_target::cut_and_reset(connection& link, const answer& item, random_source& random)
{
    const encoded_answer encoded = encode(item, random);
    const std::size_t end = encoded.bytes_.size();
    send_part(link, encoded, choose_cut(encoded.bytes_, encoded.body_at_, end, random), random);
    pause(random);
    reset_at_close(link.fd_);
    return false;
}

bool erratic_target::cut_and_keep(connection& link, const answer& item, random_source& random)
{
    const encoded_answer encoded = encode(item, random);
    const std::size_t end = encoded.bytes_.size();
    return send_part(link, encoded, choose_cut(encoded.bytes_, encoded.body_at_, end, random),
                     random);
}

bool erratic_target::cut_for_second(connection& link, const answer& item, random_source& random)
{
    const encoded_answer encoded = encode(item, random);
    const std::size_t end = encoded.bytes_.size();
    return send_part(link, encoded, choose_cut(encoded.bytes_, encoded.body_at_, end, random),
                     random);
}

bool erratic_target::cut_and_send_again(connection& link, const answer& item, random_source& random)
{
    return cut_for_second(link, item, random) && send_second(link, item, random) &&
           random.chance(0.5);
}

bool erratic_target::cut_and_send_previous(connection& link, const answer& item,
                                           random_source& random)
{
    return cut_for_second(link, item, random) &&
           send_second(link, link.previous_.value_or(item), random) && random.chance(0.5);
}

bool erratic_target::cut_and_end_process(connection& link, const answer& item,
                                         random_source& random)
{
    cut_and_keep(link, item, random);
    end_process(random);
    return false;
}

bool erratic_target::drop(connection& link, const answer& /*item*/, random_source& random)
{
    pause(random);
    if (random.chance(0.5))
    {
        reset_at_close(link.fd_);
    }
    return false;
}

bool erratic_target::send_part(connection& link, const encoded_answer& item, std::size_t size,
                               random_source& random)
{
    std::string_view left = std::string_view(item.bytes_).substr(0, size);
    while (!left.empty())
    {
        const std::size_t piece = random.chance(0.5) ? left.size() : 1 + random.index(left.size());
        if (::send(link.fd_, left.data(), piece, MSG_NOSIGNAL) < 0)
        {
            return false;
        }
        left.remove_prefix(piece);
        if (!left.empty())
        {
            pause(random);
        }
    }
    return true;
}

bool erratic_target::send_second(connection& link, const answer& item, random_source& random)
{
    pause(random);
    return send_whole(link, repeat(item, random), random);
}

void erratic_target::pause(random_source& random)
{
    const std::size_t pause_ms = random.chance(0.5) ? 0 : random.index(max_pause_ms);
    std::unique_lock lock(mutex_);
    end_changed_.wait_for(lock, std::chrono::milliseconds(pause_ms),
                          [this] { return ended_.load(); });
}

void erratic_target::end_process(random_source& random)
{
    {
        const std::lock_guard lock(mutex_);
        ended_ = true;
    }
    end_changed_.notify_all();
    if (random.chance(0.5))
    {
        ::shutdown(listener_, SHUT_RDWR);
    }
    break_connections();
    ::shutdown(listener_, SHUT_RDWR);
}

void erratic_target::break_connections()
{
    const std::lock_guard lock(mutex_);
    for (const connection& link : connections_)
    {
        if (!link.closed_)
        {
            ::shutdown(link.fd_, SHUT_RDWR);
        }
    }
}

} // namespace bamboohoist::testing
