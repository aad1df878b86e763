#include "core/message.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

// Guards against fields that one hop removes under their name and the next one reads again.
TEST_CASE("the name of a header field has neither blanks nor separators")
{
    for (const char* name : {"Authorization", "x-bamboohoist-tenant", "X_1", "a!#$%&'*+-.^_`|~"})
    {
        CAPTURE(name);
        CHECK(is_field_name(name));
    }
    for (const char* name : {"", " Authorization", "Authorization ", "Authorization\t", "A B",
                             "A:", "A\"", "A\xe9", "A\x01", "(A)"})
    {
        CAPTURE(name);
        CHECK_FALSE(is_field_name(name));
    }
}
