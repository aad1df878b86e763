#include "stand_in/backend_server.hpp"

#include "loop/run_after.hpp"

#include <cstdlib>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace bamboohoist::testing {

namespace {

using json = nlohmann::json;

constexpr duration announce_period = std::chrono::seconds(1);
constexpr std::size_t max_remembered_keys = 100'000;

} // namespace

backend_server::backend_server(event_loop& loop, std::string service, std::uint32_t slots,
                               std::string announce_address, std::uint64_t seed,
                               std::string_view journal)
    : loop_(loop), random_(seed), service_(std::move(service)), slots_(slots),
      announce_address_(std::move(announce_address)), incarnation_(random_.identifier()),
      http_server_(loop,
                   http_server_options{
                       .name_ = "backend", .address_ = "127.0.0.1", .max_body_bytes_ = 4U << 20U},
                   [this](const exchange_ptr& item) { handle(item); }),
      client_(loop, 4), announce_timer_(loop, [this] { announce(); })
{
    if (!journal.empty())
    {
        journal_fd_ =
            ::open(std::string(journal).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    }
}

backend_server::~backend_server()
{
    ::close(journal_fd_);
}

bool backend_server::start()
{
    if (!http_server_.start())
    {
        return false;
    }
    announce();
    announce_timer_.repeat(announce_period);
    return true;
}

std::uint16_t backend_server::port() const
{
    return http_server_.port();
}

void backend_server::handle(const exchange_ptr& item)
{
    const std::string_view path = path_without_query(item->request().target_);
    if (path == "/fault" || path == "/calls" || path == "/health")
    {
        handle_control(item, path);
        return;
    }
    serve(item);
}

void backend_server::handle_control(const exchange_ptr& item, std::string_view path)
{
    if (path == "/fault")
    {
        const json body = json::parse(item->request().body_, nullptr, false);
        faults_.service_ms_ = body.value("service_ms", faults_.service_ms_);
        faults_.sigma_ = body.value("sigma", faults_.sigma_);
        faults_.factor_ = body.value("factor", faults_.factor_);
        faults_.stall_share_ = body.value("stall_share", faults_.stall_share_);
        faults_.error_share_ = body.value("error_share", faults_.error_share_);
        faults_.announcing_ = body.value("announces", faults_.announcing_);
        faults_.leaving_ = body.value("leaving", faults_.leaving_);
        announce();
    }
    calls_.probes_ += path == "/health" ? 1 : 0;
    json response{{"started", calls_.started_},
                  {"finished", calls_.finished_},
                  {"abandoned", calls_.abandoned_},
                  {"probes", calls_.probes_},
                  {"running", calls_.running_},
                  {"most_running", calls_.max_running_},
                  {"last_start_ms", calls_.last_start_ms_}};
    if (path == "/calls")
    {
        response["runs_by_key"] = calls_.runs_by_key_;
    }
    item->complete(json_response(200, response.dump()));
}

void backend_server::serve(const exchange_ptr& item)
{
    const request_message& request = item->request();
    if (find_header(request.headers_, "X-Crash") == "1")
    {
        std::_Exit(3);
    }
    ++calls_.started_;
    ++calls_.running_;
    calls_.max_running_ = std::max(calls_.max_running_, calls_.running_);
    calls_.last_start_ms_ = clock_.wall_ms();
    const auto key = find_header(request.headers_, "Idempotency-Key");
    if (key && calls_.runs_by_key_.size() < max_remembered_keys)
    {
        ++calls_.runs_by_key_[std::string(*key)];
        write_journal(*key, find_header(request.headers_, "Bamboohoist-Request").value_or("?"));
    }
    item->on_abandoned([this] {
        ++calls_.abandoned_;
        --calls_.running_;
    });
    if (random_.chance(faults_.error_share_))
    {
        --calls_.running_;
        item->complete(json_response(500, R"({"backend":"error"})"));
        return;
    }
    if (random_.chance(faults_.stall_share_))
    {
        ++stalled_;
        return;
    }
    const double time_ms =
        random_.log_normal(faults_.service_ms_, faults_.sigma_) * faults_.factor_;
    run_after(loop_, from_ms(time_ms), [this, item] { finish(item); });
}

void backend_server::finish(const exchange_ptr& item)
{
    if (item->closed())
    {
        return;
    }
    ++calls_.finished_;
    --calls_.running_;
    const request_message& request = item->request();
    json body{
        {"service", service_},     {"method", request.method_},
        {"path", request.target_}, {"tag", find_header(request.headers_, "X-Tag").value_or("")},
        {"body", request.body_},   {"incarnation", incarnation_}};
    if (const auto padding = find_header(request.headers_, "X-Padding"))
    {
        body["padding"] = std::string(std::stoul(std::string(*padding)), 'p');
    }
    response_message response =
        json_response(200, body.dump(-1, ' ', false, json::error_handler_t::replace));
    response.headers_.push_back(header{"X-Backend", service_ + ":" + std::to_string(port())});
    item->complete(std::move(response));
}

void backend_server::write_journal(std::string_view key, std::string_view request) const
{
    if (journal_fd_ >= 0)
    {
        const std::string line = std::string(key) + " " + std::string(request) + "\n";
        [[maybe_unused]] const auto written = ::write(journal_fd_, line.data(), line.size());
    }
}

void backend_server::announce()
{
    if (!faults_.announcing_ || announce_address_.empty())
    {
        return;
    }
    transfer_request request;
    request.server_ = announce_address_;
    request.message_.method_ = "PUT";
    request.message_.target_ = "/v1/targets";
    request.message_.body_ = json{
        {"service", service_},
        {"address", "127.0.0.1:" + std::to_string(port())},
        {"slots", slots_},
        {"incarnation", incarnation_},
        {"leaving", faults_.leaving_},
        {"load",
         calls_.running_}}.dump();
    request.timeout_ = announce_period;
    client_.start(std::move(request), [](const transfer_result&) {});
}

} // namespace bamboohoist::testing
