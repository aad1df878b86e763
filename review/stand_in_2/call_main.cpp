// Sends one request and prints the status of the response, 000 without one.
//
// Usage: call METHOD http://ADDRESS:PORT/PATH [--header "NAME: VALUE"] [--data TEXT]
//             [--data-file FILE]

#include "http.hpp"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace {

using namespace review;

constexpr int wait_s = 5;
constexpr std::string_view scheme = "http://";

std::string read_file(const char* path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    const std::string url = argc > 2 ? argv[2] : "";
    const auto colon = url.rfind(':');
    const auto slash = url.find('/', scheme.size());
    if (argc % 2 == 0 || !url.starts_with(scheme) || slash == std::string::npos || colon > slash)
    {
        std::fprintf(stderr, "usage: call METHOD URL [--header FIELD] [--data TEXT]\n");
        return 2;
    }
    const std::string address = url.substr(scheme.size(), colon - scheme.size());
    http_request request{argv[1], url.substr(slash), {{"Host", address}}, ""};
    for (int i = 3; i + 1 < argc; i += 2)
    {
        const std::string option = argv[i];
        const std::string value = argv[i + 1];
        if (option == "--header")
        {
            const auto end = value.find(": ");
            request.fields_[value.substr(0, end)] = value.substr(end + 2);
        }
        else
        {
            request.body_ = option == "--data-file" ? read_file(argv[i + 1]) : value;
        }
    }
    const auto response = call(address, std::atoi(url.c_str() + colon + 1), request, wait_s);
    std::printf("%03d", response ? response->status_ : 0);
    return 0;
}
