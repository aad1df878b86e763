#include "deployment.hpp"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace review {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int beat_period_ms = 1500;
constexpr int deadline_ms = 4000;
constexpr int answer_limit_ms = 6000;
constexpr std::size_t field_bytes = 1000;

const steady_clock::time_point begin = steady_clock::now();

} // namespace

std::string operator_document(int version, const std::vector<route>& routes)
{
    json table = json::object();
    for (const route& entry : routes)
    {
        table["r" + std::to_string(table.size() + 1)] = {
            {"Hostname", entry.host_},
            {"Prefix", entry.prefix_},
            {"Kind", entry.idempotent_ ? "idempotent" : "non_idempotent"},
            {"Timeout", "2000ms"},
            {"TargetLatency", "1000ms"},
            {"Priority", entry.idempotent_ ? 2 : 1},
            {"Service", entry.service_},
            {"Attempts", 2}};
    }
    json services = json::object();
    for (const char* name : {"certs", "ordenes", "cotiza"})
    {
        services[name] = {
            {"HealthPath", "/health"}, {"MaxConnections", 390}, {"Protocol", "h1"}, {"Tls", false}};
    }
    return json{{"Version", version},
                {"Routes", table},
                {"Services", services},
                {"Limits",
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 67108864},
                  {"HeaderTimeout", "3000ms"},
                  {"IdleTimeout", "15000ms"}}}}
        .dump();
}

target::target(record_file& record, std::string id, std::string service, std::string zone,
               int work_ms)
    : record_(record), work_ms_(work_ms),
      service_([this](connection& peer, const http_message& request) { handle(peer, request); })
{
    state_.id_ = std::move(id);
    state_.service_ = std::move(service);
    state_.zone_ = std::move(zone);
    state_.address_ = service_.address();
    state_.born_ = wall_ms();
}

target::~target()
{
    stop_beats();
}

void target::announce_to(node& beside)
{
    beside_ = &beside;
    beating_ = true;
    beats_ = std::thread([this] {
        while (beating_)
        {
            beat();
            for (int waited = 0; waited < beat_period_ms && beating_; waited += 10)
            {
                sleep_ms(10);
            }
        }
    });
}

int target::beat()
{
    return deliver(delayed_beat());
}

http_message target::delayed_beat()
{
    const std::lock_guard lock(mutex_);
    ++state_.sequence_;
    return heartbeat(state_);
}

int target::deliver(const http_message& beat)
{
    const auto reply = call(beside_->control(), beat, 1000);
    return reply ? reply->status() : 0;
}

void target::stop_beats()
{
    beating_ = false;
    if (beats_.joinable())
    {
        beats_.join();
    }
}

int target::deregister(bool with_born)
{
    const std::string body = with_born ? json{{"born", state_.born_}}.dump() : "";
    const auto reply = call(beside_->control(),
                            make_request("POST", "/v1/instances/" + state_.id_ + "/deregister",
                                         {{"Host", "control"}}, body),
                            1000);
    return reply ? reply->status() : 0;
}

void target::end()
{
    ended_ = true;
    service_.close();
}

std::vector<run> target::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

void target::handle(connection& peer, const http_message& request)
{
    const std::string id = request.field("X-Bamboohoist-Attempt-Id");
    const std::string wanted = request.field("X-Bamboohoist-Target-Instance");
    if (!wanted.empty() && wanted != state_.id_)
    {
        peer.write(make_response(421, "", {{"X-Bamboohoist-Attempt-Id", id}}).text());
        return;
    }
    std::size_t index = 0;
    {
        const std::lock_guard lock(mutex_);
        index = runs_.size();
        runs_.push_back({id, request.target(), request.field("X-Bamboohoist-Caller-Service"),
                         elapsed_ms(), false});
    }
    record_.line(state_.id_ + " (" + state_.service_ + ") runs " + id + ", caller service " +
                 request.field("X-Bamboohoist-Caller-Service"));
    for (int waited = 0; waited < work_ms_ && !ended_; waited += 5)
    {
        sleep_ms(5);
    }
    if (ended_)
    {
        const std::lock_guard lock(mutex_);
        runs_[index].cut_ = true;
        record_.line(state_.id_ + " ends while it runs " + id);
        peer.close();
        return;
    }
    http_message answer = make_response(
        200, "answer to " + id,
        {{"X-Bamboohoist-Attempt-Id", id}, {"X-Bamboohoist-Response-Signature", "signed"}});
    for (std::size_t left = further_bytes_; left > 0;)
    {
        const std::size_t bytes = std::min(left, field_bytes);
        answer.fields_.emplace_back("X-Further-" + std::to_string(left), std::string(bytes, 'f'));
        left -= bytes;
    }
    peer.write(answer.text());
}

clients::clients(record_file& record, node& via, std::string name, std::string host,
                 std::string path, std::string method, int period_ms)
    : record_(record), via_(via), name_(std::move(name)), host_(std::move(host)),
      path_(std::move(path)), method_(std::move(method)), period_ms_(period_ms)
{
    thread_ = std::thread([this] {
        for (int number = 1; !stopping_; ++number)
        {
            ++pending_;
            std::thread([this, number] {
                send_one(number);
                --pending_;
            }).detach();
            sleep_ms(period_ms_);
        }
    });
}

clients::~clients()
{
    stop();
}

void clients::stop()
{
    stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
    while (pending_ > 0)
    {
        sleep_ms(10);
    }
}

std::vector<outcome> clients::outcomes()
{
    const std::lock_guard lock(mutex_);
    return outcomes_;
}

void clients::send_one(int number)
{
    outcome seen;
    seen.id_ = name_ + "-" + std::to_string(number);
    seen.via_ = name_;
    seen.sent_ms_ = elapsed_ms();
    record_.line("sent " + seen.id_);
    std::string end;
    const auto reply =
        call(via_.outbound(),
             make_request(method_, path_ + std::to_string(number),
                          {{"Host", host_},
                           {"X-Bamboohoist-Attempt-Id", seen.id_},
                           {"X-Bamboohoist-Deadline-Remaining", std::to_string(deadline_ms)}},
                          method_ == "POST" ? "order" : ""),
             answer_limit_ms, &end);
    seen.status_ = reply ? reply->status() : 0;
    record_.line(
        "answered " + seen.id_ + ": " +
        (reply ? std::to_string(seen.status_) +
                     (reply->has("X-Bamboohoist-Response-Signature") ? ", signed" : ", unsigned")
               : "no answer, " + end));
    const std::lock_guard lock(mutex_);
    outcomes_.push_back(seen);
}

std::int64_t elapsed_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin).count();
}

bool with_trouble()
{
    return env_or("TROUBLE", "1") != "0";
}

void cannot_run(const std::string& why)
{
    throw std::runtime_error(why);
}

int run_case(const std::function<verdict(record_file&)>& body)
{
    record_file record(env_or("RECORD", "record.txt"));
    try
    {
        const verdict result = body(record);
        const std::string line = (result.broken_ ? "broken: " : "held: ") + result.seen_;
        record.line(line);
        std::cout << line << std::endl;
        return result.broken_ ? 1 : 0;
    }
    catch (const std::exception& failure)
    {
        record.line(std::string("could not run: ") + failure.what());
        std::cout << "could not run: " << failure.what() << std::endl;
        return 2;
    }
}

} // namespace review
