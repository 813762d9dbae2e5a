#include "azurewell/http/event_stream_scanner.h"

#include <algorithm>
#include <utility>

namespace azurewell {

namespace {

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

} // namespace

std::size_t EventStreamScanner::readEvent(std::string_view bytes)
{
    const std::uint64_t eventsBefore = this->events;
    std::size_t used = 0;
    while (used < bytes.size() && this->events == eventsBefore)
        used += this->readPart(bytes.substr(used));
    const bool isLineFeedNext = used < bytes.size() && bytes[used] == '\n';
    if (this->hasReadCarriageReturn && isLineFeedNext)
        used += this->readPart(bytes.substr(used));
    return used;
}

void EventStreamScanner::read(std::string_view bytes)
{
    while (!bytes.empty())
        bytes.remove_prefix(this->readEvent(bytes));
}

bool EventStreamScanner::isBetweenEvents() const
{
    const bool isMarkCut = this->isAtStart && this->markBytes > 0;
    return !this->isEventOpen && this->isLineEmpty && !isMarkCut;
}

/// Reads a byte of the byte order mark. Returns 0 if \a next belongs to the first line.
std::size_t EventStreamScanner::readStart(char next)
{
    if (next == byteOrderMark[this->markBytes]) {
        ++this->markBytes;
        this->isAtStart = this->markBytes < byteOrderMark.size();
        return 1;
    }
    this->isAtStart = false;
    this->isLineEmpty = this->markBytes == 0;
    return 0;
}

/// Reads a line end, or bytes of one line, from the front of \a bytes.
std::size_t EventStreamScanner::readPart(std::string_view bytes)
{
    const char next = bytes.front();
    if (this->isAtStart && this->readStart(next) > 0)
        return 1;
    if (std::exchange(this->hasReadCarriageReturn, false) && next == '\n')
        return 1;
    if (next == '\n' || next == '\r') {
        this->hasReadCarriageReturn = next == '\r';
        this->endLine();
        return 1;
    }
    if (this->isLineEmpty)
        this->isComment = next == ':';
    this->isLineEmpty = false;
    return std::min(bytes.find_first_of("\r\n"), bytes.size());
}

void EventStreamScanner::endLine()
{
    const bool isBlank = std::exchange(this->isLineEmpty, true);
    if (isBlank && std::exchange(this->isEventOpen, false))
        ++this->events;
    if (!isBlank && !this->isComment)
        this->isEventOpen = true;
    this->isComment = false;
}

bool isEventStream(const std::vector<HttpHeader> &headers)
{
    if (headerCount(headers, "Content-Encoding") > 0)
        return false;
    std::string_view type = headerValue(headers, "Content-Type");
    type = type.substr(0, type.find(';'));
    while (!type.empty() && (type.back() == ' ' || type.back() == '\t'))
        type.remove_suffix(1);
    return isSameHeaderName(type, "text/event-stream");
}

} // namespace azurewell
