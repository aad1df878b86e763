#include "protocol/api_key.hpp"

namespace bamboohoist {

namespace {

constexpr std::string_view authorization_field = "Authorization";
constexpr int status_unauthorized = 401;

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos
               ? std::string_view{}
               : text.substr(first, text.find_last_not_of(blanks) + 1 - first);
}

} // namespace

std::string_view read_api_key(std::span<const header> headers, std::string_view scheme)
{
    const header* found = nullptr;
    for (const header& field : headers)
    {
        if (!header_names_equal(field.name_, authorization_field))
        {
            continue;
        }
        if (found != nullptr)
        {
            return {};
        }
        found = &field;
    }
    const std::string_view value = found != nullptr ? trim(found->value_) : std::string_view{};
    const bool has_scheme = value.size() > scheme.size() && value[scheme.size()] == ' ' &&
                            header_names_equal(value.substr(0, scheme.size()), scheme);
    return has_scheme ? trim(value.substr(scheme.size())) : std::string_view{};
}

void add_challenge(response_message& response, std::string_view scheme)
{
    if (response.status_ == status_unauthorized)
    {
        response.headers_.push_back(header{"WWW-Authenticate", std::string(scheme)});
    }
}

} // namespace bamboohoist
