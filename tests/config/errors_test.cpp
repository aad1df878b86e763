#include "config/manifest_json.hpp"
#include "config/settings.hpp"
#include "core/error.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

/// An invalid text and the parts that the error message must contain.
struct invalid_text
{
    std::string_view text_;
    std::initializer_list<std::string_view> expected_parts_;
};

void check_reason(const invalid_text& entry, error_kind kind)
{
    CAPTURE(entry.text_);
    CHECK(last_reason().kind_ == kind);
    for (const std::string_view part : entry.expected_parts_)
    {
        CAPTURE(part);
        CHECK(last_reason().text_.find(part) != std::string::npos);
    }
}

} // namespace

TEST_CASE("an invalid manifest is refused with the path, the line and what was expected")
{
    const invalid_text table[] = {
        {"{", {"line 1", "JSON"}},
        {"[]", {"expected an object"}},
        {"{\n\"regions\": 3}", {"/regions", "line 2", "an array of objects"}},
        {"{\"regions\":[{\"name\":\"n\",\"domains\":[\"d\"]}],\n\"services\":[{\"name\":\"s\","
         "\n\"flor\":1}]}",
         {"/services/0/flor", "line 3", "unknown key", "floor"}},
        {"{\"services\":[{\"name\":\"s\",\"floor\":2}]}", {"/services/0/floor", "0.0 to 1.0"}},
        {"{\"services\":[{\"name\":\"s\"},{\"name\":\"s\"}]}", {"declared twice"}},
        {"{\"services\":[{\"name\":\"s\",\"health\":\"fast\"}]}", {"detection-time"}},
        {"{\"services\":[{\"name\":\"s\"}],\"routes\":[{\"host\":\"h\",\"prefix\":\"/\","
         "\"service\":\"x\"}]}",
         {"/routes/0/service", "no service"}},
        {"{\"services\":[{\"name\":\"s\"}],\"routes\":[{\"host\":\"h\",\"prefix\":\"p\","
         "\"service\":\"s\"}]}",
         {"/routes/0/prefix", "starts with /"}},
        {"{\"services\":[{\"name\":\"s\"}],\"stop_plans\":[{\"name\":\"p\",\"node\":\"n\"}]}",
         {"/stop_plans/0/note"}},
        {"{\"services\":[{\"name\":\"s\"}],\"services\":[]}", {"appears twice"}},
        {"{\"notes\":[{\"who\":\"me\"}]}", {"/notes/0/why", "missing"}},
        {"{\"organisations\":[{\"name\":\"o\",\"keys\":[\"secret\"]}]}",
         {"/organisations/0/keys", "32 hexadecimal digits"}},
        {"{\"organisations\":[{\"name\":\"o\",\"keys\":["
         "\"ba7816bf8f01cfea414140de5dae2223\"]},{\"name\":\"p\",\"keys\":["
         "\"ba7816bf8f01cfea414140de5dae2223\"]}]}",
         {"/organisations/1/keys", "declared twice"}},
        {"{\"organisations\":[{\"name\":\"o\",\"rate_per_s\":-1}]}",
         {"/organisations/0/rate_per_s"}},
        {"{}", {"/regions", "missing"}},
    };
    for (const invalid_text& entry : table)
    {
        CHECK_FALSE(parse_manifest(entry.text_));
        check_reason(entry, error_kind::bad_manifest);
    }
}

TEST_CASE("invalid settings are refused with the path, the line and what was expected")
{
    const invalid_text table[] = {
        {"{}", {"/node", "missing"}},
        {"{\"node\":\"n\",\"region\":\"r\",\"domain\":\"d\"}", {"/store"}},
        {"{\"node\":\"n\",\"region\":\"r\",\"domain\":\"d\",\n\"store\":\"there\"}",
         {"/store", "line 2", "ADDRESS:PORT"}},
        {"{\"node\":\"n\",\"region\":\"r\",\"domain\":\"d\",\"store\":\"127.0.0.1:1\","
         "\"peers\":\"127.0.0.1:99999\"}",
         {"/peers"}},
        {"{\"node\":\"n\",\"region\":\"r\",\"domain\":\"d\",\"store\":\"127.0.0.1:1\","
         "\"ingress_threads\":0}",
         {"/ingress_threads", "at least 1"}},
        {"{\"node\":\"n\",\"region\":\"r\",\"domain\":\"d\",\"store\":\"127.0.0.1:1\","
         "\"log\":\"xml\"}",
         {"/log", "\"text\" or \"json\""}},
        {"{\"node\":5}", {"/node", "expected a string, got 5"}},
    };
    for (const invalid_text& entry : table)
    {
        CHECK_FALSE(parse_settings(entry.text_));
        check_reason(entry, error_kind::bad_settings);
    }
}

TEST_CASE("valid settings and a valid manifest are parsed")
{
    const auto parsed = parse_settings(
        R"({"node":"n","region":"r","domain":"d","store":"127.0.0.1:8500",
            "paths":[{"node":"m","peers":"127.0.0.1:1"}],"known_peers":["127.0.0.1:2"]})");
    REQUIRE(parsed);
    CHECK(parsed->store_.port_ == 8500);
    CHECK(parsed->paths_.front().peers_->port_ == 1);
    const auto content = parse_manifest(
        R"({"regions":[{"name":"r","domains":["d"]}],
            "services":[{"name":"s","health":"false-ejections","floor":0.7}]})");
    REQUIRE(content);
    CHECK((*content)->services_.front().health_goal_ == health_goal::false_ejections);
}
