#ifndef ACACIADEAL_REVIEW_RECORD_H
#define ACACIADEAL_REVIEW_RECORD_H

#include "base/time.h"

#include <cstdint>
#include <fstream>
#include <string>

namespace acaciadeal::review {

/// Log of what was sent, answered and run. Used only on the loop's single thread.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }

    /// Returns the milliseconds since the record was opened.
    std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now()
                                                        - m_openedAt)
            .count();
    }

    void add(const std::string &text)
    {
        m_file << nowMs() << " ms: " << text << std::endl;
    }

private:
    std::ofstream m_file;
    TimePoint m_openedAt = std::chrono::steady_clock::now();
};

} // namespace acaciadeal::review

#endif
