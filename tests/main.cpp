#define DOCTEST_CONFIG_IMPLEMENT
#include <csignal>
#include <curl/curl.h>
#include <doctest/doctest.h>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    doctest::Context context(argc, argv);
    return context.run();
}
