#include "cli/flags.hpp"

DEFINE_string(node, "127.0.0.1:7300", "address:port of the operators' server of any node");
DEFINE_string(deployment, "own", "check: the format of the file: own or platform");
DEFINE_bool(json, false, "print JSON");
DEFINE_uint64(base, 0, "apply: the revision that the change is based on");
DEFINE_string(who, "", "apply, drain, release: who made the decision");
DEFINE_string(why, "", "apply, drain, release: the reason, for operators who were not present");
DEFINE_string(until, "", "apply: when the change is intended to end");
DEFINE_string(without, "", "apply: failure domains that need not report, separated by commas");
DEFINE_double(since, 3600.0, "timeline: how many seconds to look back");
DEFINE_string(subject, "", "timeline: show only events whose subject contains this text");
DEFINE_string(html, "", "timeline: write an HTML page with a plot to this file");
DEFINE_bool(resume, false, "drain: send requests to the target again");
DEFINE_string(report, "", "load: write an HTML report to this file");
DEFINE_uint64(seed, 1, "load: seed for the random choice of requests");
