#include "harness/temporary_file.hpp"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <unistd.h>

namespace bamboohoist::testing {

temporary_file::temporary_file(std::string_view text)
    // mkstemp() replaces the six X by characters that make the name unique.
    : path_((std::filesystem::temp_directory_path() / "bamboohoist-XXXXXX").string())
{
    const int fd = ::mkstemp(path_.data());
    const auto written = ::write(fd, text.data(), text.size());
    ::close(fd);
    if (written != static_cast<ssize_t>(text.size()))
    {
        throw std::runtime_error("cannot write the temporary file " + path_);
    }
}

temporary_file::~temporary_file()
{
    std::remove(path_.c_str());
}

const std::string& temporary_file::path() const
{
    return path_;
}

} // namespace bamboohoist::testing
