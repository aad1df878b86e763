#include "cli/flags.hpp"

DEFINE_string(node, "127.0.0.1:7300", "address:port of any node's operators' front end");
DEFINE_bool(json, false, "print JSON");
DEFINE_uint64(base, 0, "apply: the revision that you looked at");
DEFINE_string(who, "", "apply, drain, release: who decides this");
DEFINE_string(why, "", "apply, drain, release: why, for the operators of the night");
DEFINE_string(until, "", "apply: until when it is meant to hold");
DEFINE_string(without, "", "apply: failure domains that need not report, separated by commas");
DEFINE_double(since, 3600.0, "timeline: how many seconds to look back");
DEFINE_string(subject, "", "timeline: only events whose subject contains this");
DEFINE_string(html, "", "timeline: write an HTML page with a plot to this file");
DEFINE_bool(resume, false, "drain: send work again");
DEFINE_string(report, "", "load: write an HTML report to this file");
DEFINE_uint64(seed, 1, "load: seed of the arrivals and the choice of requests");
