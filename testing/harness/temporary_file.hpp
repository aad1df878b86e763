#ifndef BAMBOOHOIST_TESTING_TEMPORARY_FILE_HPP
#define BAMBOOHOIST_TESTING_TEMPORARY_FILE_HPP

#include <string>
#include <string_view>

namespace bamboohoist::testing {

/// A file in the system's folder for temporary files. The destructor removes it.
class temporary_file
{
public:
    explicit temporary_file(std::string_view text = "");
    ~temporary_file();

    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    const std::string& path() const;

private:
    std::string path_;
};

} // namespace bamboohoist::testing

#endif
