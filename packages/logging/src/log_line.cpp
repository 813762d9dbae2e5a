#include "azurewell/logging/log_line.h"

#include <array>
#include <charconv>

namespace azurewell {

namespace {

constexpr std::array<std::string_view, 4> levels{ "debug", "info", "warning", "error" };

bool isLevel(std::string_view word)
{
    for (const std::string_view level : levels) {
        if (word == level)
            return true;
    }
    return false;
}

/// Removes the next word from \a text and returns it; a quoted value is part of its word.
std::string_view takeWord(std::string_view &text)
{
    const std::size_t begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos) {
        text = {};
        return {};
    }
    bool isQuoted = false;
    std::size_t end = begin;
    while (end < text.size() && (isQuoted || text[end] != ' ')) {
        isQuoted = text[end] == '"' ? !isQuoted : isQuoted;
        ++end;
    }
    const std::string_view word = text.substr(begin, end - begin);
    text.remove_prefix(end);
    return word;
}

std::string_view unquoted(std::string_view value)
{
    const bool isQuoted = value.size() >= 2 && value.front() == '"' && value.back() == '"';
    return isQuoted ? value.substr(1, value.size() - 2) : value;
}

} // namespace

std::optional<LogLine> readLogLine(std::string_view text)
{
    LogLine line;
    while (!text.empty() && line.level.empty()) {
        const std::string_view word = takeWord(text);
        if (isLevel(word))
            line.level = word;
    }
    line.event = takeWord(text);
    if (line.level.empty() || line.event.empty())
        return std::nullopt;
    while (!text.empty()) {
        const std::string_view word = takeWord(text);
        const std::size_t equals = word.find('=');
        if (equals == std::string_view::npos)
            continue;
        line.fields.emplace(word.substr(0, equals), unquoted(word.substr(equals + 1)));
    }
    return line;
}

std::string_view fieldOf(const LogLine &line, std::string_view key)
{
    const auto found = line.fields.find(key);
    return found == line.fields.end() ? std::string_view() : std::string_view(found->second);
}

long numberOf(const LogLine &line, std::string_view key)
{
    const std::string_view text = fieldOf(line, key);
    long number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace azurewell
