#include "ctl/textformat.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace acaciadeal {
namespace {

using nlohmann::json;

std::string cellText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

bool isTable(const json &value)
{
    return value.is_array() && !value.empty()
           && std::all_of(value.begin(), value.end(),
                          [](const json &row) { return row.is_object(); });
}

void appendTable(std::string &text, const json &rows, const std::string &indent)
{
    std::map<std::string, std::size_t> widths;
    for (const json &row : rows) {
        for (const auto &[column, value] : row.items()) {
            std::size_t &width = widths[column];
            width = std::max({width, column.size(), cellText(value).size()});
        }
    }
    const auto appendLine = [&](const auto &cellOf) {
        std::string line = indent;
        for (const auto &[column, width] : widths) {
            const std::string cell = cellOf(column);
            line += cell + std::string(width - cell.size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    };
    appendLine([](const std::string &column) { return column; });
    for (const json &row : rows) {
        appendLine([&row](const std::string &column) {
            return row.contains(column) ? cellText(row[column]) : std::string("-");
        });
    }
}

void appendValue(std::string &text, const json &value, const std::string &indent)
{
    if (isTable(value)) {
        appendTable(text, value, indent);
        return;
    }
    if (!value.is_object()) {
        text += indent + cellText(value) + "\n";
        return;
    }
    for (const auto &[key, member] : value.items()) {
        const bool nested = isTable(member) || (member.is_object() && !member.empty());
        if (nested) {
            text += indent + key + ":\n";
            appendValue(text, member, indent + "  ");
        } else {
            text += indent + key + ": " + cellText(member) + "\n";
        }
    }
}

} // namespace

std::string formatAsText(const std::string &jsonText)
{
    const json value = json::parse(jsonText, nullptr, false);
    if (value.is_discarded()) {
        return jsonText + "\n";
    }
    std::string text;
    appendValue(text, value, "");
    return text;
}

} // namespace acaciadeal
