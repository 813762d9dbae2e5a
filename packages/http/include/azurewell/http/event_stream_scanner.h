#pragma once

#include "azurewell/http/message.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace azurewell {

/// Finds the ends of the events in a text/event-stream body (HTML standard, section 9.2.5) that
/// arrives in parts of any size. Stores none of its bytes.
///
/// Lines end with LF, CR LF or CR. An event ends with a blank line; a comment line belongs to no
/// event.
class EventStreamScanner
{
public:
    /// Reads \a bytes up to the end of the first event that ends in them, or all of them if none
    /// does. Returns how many bytes were read.
    std::size_t readEvent(std::string_view bytes);

    /// Reads all of \a bytes.
    void read(std::string_view bytes);

    /// Whether the last byte read belongs to no unfinished event or line.
    bool isBetweenEvents() const;

    /// The events that have ended.
    std::uint64_t eventCount() const
    {
        return this->events;
    }

private:
    std::size_t readStart(char next);
    std::size_t readPart(std::string_view bytes);
    void endLine();

    std::uint64_t events = 0;
    std::size_t markBytes = 0; ///< Of the byte order mark that the body may begin with.
    bool isAtStart = true;
    bool isLineEmpty = true;
    bool isComment = false; ///< Of the current line, if it isn't empty.
    bool isEventOpen = false;
    bool hasReadCarriageReturn = false; ///< A LF that follows belongs to the same line end.
};

/// Whether a response with \a headers has a body that EventStreamScanner can read.
bool isEventStream(const std::vector<HttpHeader> &headers);

} // namespace azurewell
