#include "record.h"

#include <chrono>
#include <cstdio>
#include <iostream>
#include <utility>

namespace review {
namespace {

const auto startedAt = std::chrono::steady_clock::now();

} // namespace

Record::Record(const std::string &file)
    : m_file(file)
{
}

void Record::write(const std::string &text)
{
    const std::chrono::duration<double> now = std::chrono::steady_clock::now() - startedAt;
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", now.count());
    m_file << time << text << std::endl;
}

void Record::note(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    write(text);
}

void Record::onStart(const std::string &minion, const std::string &task, std::uint64_t run)
{
    const std::lock_guard lock(m_mutex);
    ++m_starts;
    const std::string what = task + " run " + std::to_string(run) + " on " + minion;
    write("start " + what);
    TaskRecord &record = m_tasks[task];
    for (const auto &[other, where] : record.active) {
        std::string text = "TWICE: " + what;
        text.append(" begins while run ").append(std::to_string(other));
        text.append(" is at work on ").append(where);
        write(text);
        m_broken.push_back(std::move(text));
    }
    if (record.doneNoted) {
        m_broken.push_back("TWICE: " + what + " begins after a done end was taken note of");
        write(m_broken.back());
    }
    record.startedAfter.insert(record.done.begin(), record.done.end());
    record.active[run] = minion;
}

void Record::onEnd(const std::string &minion, const std::string &task, std::uint64_t run,
                   const std::string &how)
{
    const std::lock_guard lock(m_mutex);
    write("end " + task + " run " + std::to_string(run) + " on " + minion + ": " + how);
    TaskRecord &record = m_tasks[task];
    const auto it = record.active.find(run);
    if (it != record.active.end() && it->second == minion) {
        record.active.erase(it);
    }
    if (how == "done") {
        record.done.insert(run);
    }
}

void Record::onNoted(const std::string &task, std::uint64_t run, const std::string &how)
{
    const std::lock_guard lock(m_mutex);
    if (how != "done") {
        return;
    }
    TaskRecord &record = m_tasks[task];
    record.doneNoted = true;
    if (record.startedAfter.contains(run)) {
        m_broken.push_back("TWICE: " + task + " was started after run " + std::to_string(run)
                           + " had ended done, and that end is now taken note of");
        write(m_broken.back());
    }
}

bool Record::isBroken()
{
    const std::lock_guard lock(m_mutex);
    for (const std::string &text : m_broken) {
        std::cout << text << "\n";
    }
    return !m_broken.empty();
}

int Record::starts()
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

} // namespace review
