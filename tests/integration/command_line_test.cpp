#include "harness/fleet.hpp"
#include "harness/temporary_file.hpp"

#include <doctest/doctest.h>
#include <fstream>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

struct command_result
{
    int status_ = -1;
    std::string output_;
};

command_result run_command(std::vector<std::string> arguments)
{
    process command("src/cli/bamboohoist", arguments);
    const auto status = command.wait_exit(std::chrono::seconds(30));
    return {status.value_or(-1), command.output()};
}

bool contains(const command_result& result, std::string_view text)
{
    return result.output_.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("invalid usage and invalid files exit with status 2 and a clear message")
{
    CHECK(run_command({}).status_ == 2);
    CHECK(run_command({"help"}).status_ == 0);
    const command_result unknown = run_command({"aply"});
    CHECK(unknown.status_ == 2);
    CHECK(contains(unknown, "unknown command \"aply\""));
    CHECK(run_command({"check"}).status_ == 2);
    const command_result missing = run_command({"check", "/nonexistent"});
    CHECK(missing.status_ == 2);
    CHECK(contains(missing, "cannot read"));
    const temporary_file invalid_file("{\n\"services\": 7}");
    const command_result refused = run_command({"check", invalid_file.path()});
    CHECK(refused.status_ == 2);
    CHECK(contains(refused, "/services (line 2): expected an array"));
    CHECK(run_command({"apply", invalid_file.path()}).status_ == 2); // Without a note.
    const temporary_file load("{\"rate\": 5}");
    CHECK(contains(run_command({"load", load.path()}), "/kinds"));
}

TEST_CASE("check names the parts of an operator's document that are not understood")
{
    const temporary_file document(
        R"({"Version": 3, "Services": {"orders": {"MaxConnections": 20}}, "Routes": {)"
        R"("r-1": {"Hostname": "h", "Prefix": "/a/", "Kind": "later", "Service": "orders"},)"
        R"("r-2": {"Hostname": "h", "Prefix": "/b/", "Kind": "idempotent", "Service": "gone"}}})");
    const command_result checked = run_command({"check", document.path(), "--deployment=platform"});
    CHECK(checked.status_ == 0);
    CHECK(contains(checked, "1 unusable_routes"));
    CHECK(contains(checked, "unknown Kind \"later\"; its requests are never repeated"));
    CHECK(contains(checked, "requests for h/b/ are refused"));
    CHECK(run_command({"check", document.path(), "--deployment=other"}).status_ == 2);
}

TEST_CASE("explain reads the logs of processes without a node")
{
    const temporary_file log(R"({"at_ms":1,"node":"a","request":"5","decision":"refused",)"
                             R"("inputs":"overloaded: t@h:1 has no slot in time",)"
                             R"("outcome":"not-run"})");
    const command_result explained = run_command({"explain", "5", log.path()});
    CHECK(explained.status_ == 0);
    CHECK(contains(explained, "cause: refused under load"));
    CHECK(run_command({"explain", "6", log.path()}).status_ == 1);
    CHECK(run_command({"explain", "5", "/nonexistent"}).status_ == 2);
}

TEST_CASE("a node that does not respond makes a command exit with status 3")
{
    const command_result result = run_command({"status", "--node=127.0.0.1:1"});
    CHECK(result.status_ == 3);
    CHECK(contains(result, "does not answer"));
}

TEST_CASE("operators apply a manifest, read the status, drain a target and run a load")
{
    fleet started;
    started.add_node("n1", "lagos", "ikeja");
    started.add_backend("ledger", "n1");
    started.add_backend("ledger", "n1");
    const std::string node = "--node=" + started.node("n1").operators_;
    const temporary_file file(make_manifest({"ledger"}, {{"lagos", {"ikeja"}}}).dump(1));

    CHECK(run_command({"check", file.path()}).status_ == 0);
    const command_result applied =
        run_command({"apply", file.path(), node, "--who=ada", "--why=first manifest"});
    CHECK(applied.status_ == 0);
    CHECK(contains(applied, "accepted: revision 1"));
    const command_result stale =
        run_command({"apply", file.path(), node, "--who=bayo", "--why=again"});
    CHECK(stale.status_ == 1);
    CHECK(contains(stale, "revision-conflict"));
    CHECK(contains(stale, "ada: first manifest"));

    const command_result status = run_command({"status", node});
    CHECK(status.status_ == 0);
    CHECK(contains(status, "revision 1 accepted"));
    CHECK(contains(status, "ada: first manifest"));
    CHECK(contains(status, started.backends()[0].target_));
    CHECK(json::parse(run_command({"status", node, "--json"}).output_)["in_force"] == 1);

    const std::string target = started.backends()[0].target_;
    CHECK(run_command({"drain", target, node, "--who=ada", "--why=kernel"}).status_ == 0);
    CHECK(started.node("n1").process_->wait_line("target stopped", std::chrono::seconds(5)));
    const command_result explained = run_command({"explain", target, node});
    CHECK(explained.status_ == 0);
    CHECK(contains(explained, "operator's drain"));
    CHECK(contains(explained, "ada: kernel"));
    CHECK(run_command({"explain", "nothing-of-the-kind", node}).status_ == 1);
    CHECK(run_command({"drain", "no@target", node, "--who=a", "--why=b"}).status_ == 1);

    const temporary_file page("");
    CHECK(run_command({"timeline", node, "--html=" + page.path()}).status_ == 0);
    std::ifstream written(page.path());
    const std::string html((std::istreambuf_iterator<char>(written)), {});
    CHECK(html.find("<svg") != std::string::npos);
    CHECK(html.find("target stopped") != std::string::npos);

    const temporary_file plan(json{{"callers", {started.node("n1").callers_}},
                                   {"rate", 100},
                                   {"seconds", 1},
                                   {"kinds", {{{"name", "get"}, {"path", "/ledger"}}}}}
                                  .dump());
    const command_result load = run_command({"load", plan.path(), "--json"});
    CHECK(load.status_ == 0);
    CHECK(json::parse(load.output_)["ends"]["whole"] == 100);
}
