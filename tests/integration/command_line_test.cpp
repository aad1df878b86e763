#include "harness/fleet.hpp"
#include "harness/temporary_file.hpp"

#include <doctest/doctest.h>
#include <fstream>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

struct command_end
{
    int status_ = -1;
    std::string output_;
};

command_end run_command(std::vector<std::string> arguments)
{
    process command("src/cli/bamboohoist", arguments);
    const auto status = command.wait_exit(std::chrono::seconds(30));
    return {status.value_or(-1), command.output()};
}

bool contains(const command_end& ended, std::string_view text)
{
    return ended.output_.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("bad usage and bad files end with status 2 and a clear message")
{
    CHECK(run_command({}).status_ == 2);
    CHECK(run_command({"help"}).status_ == 0);
    const command_end unknown = run_command({"aply"});
    CHECK(unknown.status_ == 2);
    CHECK(contains(unknown, "unknown command \"aply\""));
    CHECK(run_command({"check"}).status_ == 2);
    const command_end missing = run_command({"check", "/nonexistent"});
    CHECK(missing.status_ == 2);
    CHECK(contains(missing, "cannot read"));
    const temporary_file bad("{\n\"services\": 7}");
    const command_end refused = run_command({"check", bad.path()});
    CHECK(refused.status_ == 2);
    CHECK(contains(refused, "/services (line 2): expected an array"));
    CHECK(run_command({"apply", bad.path()}).status_ == 2); // Without a note.
    const temporary_file load("{\"rate\": 5}");
    CHECK(contains(run_command({"load", load.path()}), "/kinds"));
}

TEST_CASE("logs of processes are explained without a node")
{
    const temporary_file log(R"({"at_ms":1,"node":"a","request":"5","decision":"refused",)"
                             R"("inputs":"overloaded: t@h:1 has no slot in time",)"
                             R"("outcome":"not-run"})");
    const command_end told = run_command({"explain", "5", log.path()});
    CHECK(told.status_ == 0);
    CHECK(contains(told, "cause: refused under load"));
    CHECK(run_command({"explain", "6", log.path()}).status_ == 1);
    CHECK(run_command({"explain", "5", "/nonexistent"}).status_ == 2);
}

TEST_CASE("a node that does not answer ends with status 3")
{
    const command_end ended = run_command({"status", "--node=127.0.0.1:1"});
    CHECK(ended.status_ == 3);
    CHECK(contains(ended, "does not answer"));
}

TEST_CASE("operators apply, look, drain and load from the command line")
{
    fleet started;
    started.add_node("n1", "lagos", "ikeja");
    started.add_backend("ledger", "n1");
    started.add_backend("ledger", "n1");
    const std::string node = "--node=" + started.node("n1").operators_;
    const temporary_file file(make_manifest({"ledger"}, {{"lagos", {"ikeja"}}}).dump(1));

    CHECK(run_command({"check", file.path()}).status_ == 0);
    const command_end applied =
        run_command({"apply", file.path(), node, "--who=ada", "--why=first manifest"});
    CHECK(applied.status_ == 0);
    CHECK(contains(applied, "accepted: revision 1"));
    const command_end stale =
        run_command({"apply", file.path(), node, "--who=bayo", "--why=again"});
    CHECK(stale.status_ == 1);
    CHECK(contains(stale, "revision-conflict"));
    CHECK(contains(stale, "ada: first manifest"));

    const command_end status = run_command({"status", node});
    CHECK(status.status_ == 0);
    CHECK(contains(status, "revision 1 accepted"));
    CHECK(contains(status, "ada: first manifest"));
    CHECK(contains(status, started.backends()[0].target_));
    CHECK(json::parse(run_command({"status", node, "--json"}).output_)["in_force"] == 1);

    const std::string target = started.backends()[0].target_;
    CHECK(run_command({"drain", target, node, "--who=ada", "--why=kernel"}).status_ == 0);
    CHECK(started.node("n1").process_->wait_line("target stopped", std::chrono::seconds(5)));
    const command_end story = run_command({"explain", target, node});
    CHECK(story.status_ == 0);
    CHECK(contains(story, "operator's drain"));
    CHECK(contains(story, "ada: kernel"));
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
    const command_end load = run_command({"load", plan.path(), "--json"});
    CHECK(load.status_ == 0);
    CHECK(json::parse(load.output_)["ends"]["whole"] == 100);
}
