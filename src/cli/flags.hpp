#ifndef BAMBOOHOIST_CLI_FLAGS_HPP
#define BAMBOOHOIST_CLI_FLAGS_HPP

#include <gflags/gflags.h>

DECLARE_string(node);
DECLARE_string(deployment);
DECLARE_bool(json);
DECLARE_uint64(base);
DECLARE_string(who);
DECLARE_string(why);
DECLARE_string(until);
DECLARE_string(without);
DECLARE_double(since);
DECLARE_string(subject);
DECLARE_string(html);
DECLARE_bool(resume);
DECLARE_string(report);
DECLARE_uint64(seed);

#endif
