#ifndef BAMBOOHOIST_TESTING_ANSWER_LEDGER_HPP
#define BAMBOOHOIST_TESTING_ANSWER_LEDGER_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist::testing {

/// What one run of a request is to be answered with.
struct meant_answer
{
    std::string signature_;
    std::string body_;
};

/// Records which requests the targets of a test have run and what they meant to answer. Used by
/// the threads of all targets and callers.
class answer_ledger
{
public:
    void add_run(std::string_view id)
    {
        const std::lock_guard lock(mutex_);
        ++entry_of(id).runs_;
    }

    void add_meant(std::string_view id, meant_answer answer, std::string_view fault)
    {
        const std::lock_guard lock(mutex_);
        entry& known = entry_of(id);
        known.meant_.push_back(std::move(answer));
        known.faults_ += " " + std::string(fault);
        ++fault_counts_[std::string(fault)];
    }

    void count(std::string_view fault)
    {
        const std::lock_guard lock(mutex_);
        ++fault_counts_[std::string(fault)];
    }

    /// True when one run of the request was to be answered with this body and this signature.
    bool was_meant(std::string_view id, std::string_view signature, std::string_view body)
    {
        const std::lock_guard lock(mutex_);
        return std::ranges::any_of(entry_of(id).meant_, [&](const meant_answer& answer) {
            return answer.signature_ == signature && answer.body_ == body;
        });
    }

    std::size_t runs(std::string_view id)
    {
        const std::lock_guard lock(mutex_);
        return entry_of(id).runs_;
    }

    /// The runs, the lengths meant and the faults of one request, for reports.
    std::string describe(std::string_view id)
    {
        const std::lock_guard lock(mutex_);
        const entry& known = entry_of(id);
        std::string text = std::to_string(known.runs_) + " runs, bodies of";
        for (const meant_answer& answer : known.meant_)
        {
            text += " " + std::to_string(answer.body_.size());
        }
        return text + " bytes, faults" + known.faults_;
    }

    std::map<std::string, std::uint64_t> fault_counts()
    {
        const std::lock_guard lock(mutex_);
        return fault_counts_;
    }

private:
    struct entry
    {
        std::size_t runs_ = 0;
        std::vector<meant_answer> meant_;
        std::string faults_;
    };

    entry& entry_of(std::string_view id)
    {
        return entries_[std::string(id)];
    }

    std::mutex mutex_; ///< Guards all below.
    std::map<std::string, entry> entries_;
    std::map<std::string, std::uint64_t> fault_counts_;
};

} // namespace bamboohoist::testing

#endif
