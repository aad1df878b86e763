#ifndef BAMBOOHOIST_TESTING_HARNESS_SCRATCH_FILE_HPP
#define BAMBOOHOIST_TESTING_HARNESS_SCRATCH_FILE_HPP

#include <string>
#include <string_view>

namespace bamboohoist::testing {

/// A file in the system's folder for temporary files that is gone with the object.
class scratch_file
{
public:
    explicit scratch_file(std::string_view text = "");
    ~scratch_file();

    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;

    const std::string& path() const;

private:
    std::string path_;
};

} // namespace bamboohoist::testing

#endif
