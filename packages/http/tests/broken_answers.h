#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace azurewell {

/// An answer whose head is no head in the protocol (RFC 9110, 15; RFC 9112, 4 to 6).
struct BrokenAnswer
{
    const char *name;
    std::string statusLine;
    std::string fields; ///< Whole lines that precede the sound ones.
    bool isLengthInFields = false;
};

inline std::ostream &operator<<(std::ostream &out, const BrokenAnswer &answer)
{
    return out << answer.name;
}

/// The whole answer with \a soundFields, which are whole lines, and \a body.
inline std::string bytesOf(const BrokenAnswer &answer, const std::string &soundFields,
                           const std::string &body)
{
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return answer.statusLine + "\r\n" + answer.fields + soundFields
            + (answer.isLengthInFields ? "" : length) + "\r\n" + body;
}

/// Statuses outside 100 to 599, and some that are no status.
inline std::vector<BrokenAnswer> answersWithBrokenStatus()
{
    return {
        { "Status000", "HTTP/1.1 000 Broken", {} },
        { "Status001", "HTTP/1.1 001 Broken", {} },
        { "Status099", "HTTP/1.1 099 Broken", {} },
        { "Status600", "HTTP/1.1 600 Broken", {} },
        { "Status999", "HTTP/1.1 999 Broken", {} },
        { "Status000WithoutReason", "HTTP/1.1 000 ", {} },
        { "StatusOfTwoDigits", "HTTP/1.1 20 OK", {} },
        { "StatusOfFourDigits", "HTTP/1.1 2000 OK", {} },
        { "StatusWithLetter", "HTTP/1.1 2OO OK", {} },
        { "NegativeStatus", "HTTP/1.1 -20 OK", {} },
        { "NoStatus", "HTTP/1.1  OK", {} },
        { "LaterVersion", "HTTP/1.2 200 OK", {} },
        { "ControlByteInReason", "HTTP/1.1 200 O\x01K", {} },
    };
}

/// Field lines whose names are no tokens, or that could be read as no field of their own.
inline std::vector<BrokenAnswer> answersWithBrokenFields()
{
    const std::string ok = "HTTP/1.1 200 OK";
    const auto withByte = [](char byte) {
        return std::string("X") + byte + "Y: z\r\n";
    };
    return {
        { "BlankInName", ok, withByte(' ') },
        { "TabInName", ok, withByte('\t') },
        { "NulInName", ok, withByte('\0') },
        { "ControlByteInName", ok, withByte('\x01') },
        { "VerticalTabInName", ok, withByte('\x0b') },
        { "EscapeInName", ok, withByte('\x1b') },
        { "DeleteInName", ok, withByte('\x7f') },
        { "LetterBeyondAsciiInName", ok, withByte('\xe9') },
        { "SlashInName", ok, withByte('/') },
        { "LongNameWithControlByte", ok, std::string(64, 'X') + "\x01" + ": z\r\n" },
        { "EmptyName", ok, ": z\r\n" },
        { "NoColon", ok, "X\r\n" },
        { "BlankBeforeColon", ok, "X : z\r\n" },
        { "BlankBeforeColonOfLength", ok, "Content-Length : 4\r\n", true },
        { "BlankInLength", ok, "Content- Length: 4\r\n", true },
        { "ControlByteInLength", ok, "Content-Length\x01: 4\r\n", true },
        { "BlankBeforeColonOfCoding", ok, "Transfer-Encoding : chunked\r\n", true },
        { "FirstLineBeginsWithBlank", ok, " X: z\r\n" },
        { "LineBeginsWithBlank", ok, "X: z\r\n Y: z\r\n" },
        { "LineBeginsWithTab", ok, "X: z\r\n\tY: z\r\n" },
        { "LengthBeginsWithBlank", ok, "X: z\r\n Content-Length: 4\r\n", true },
        { "CodingBeginsWithBlank", ok, "X:\r\n Transfer-Encoding: chunked\r\n", true },
        { "ControlByteInValue", ok, "X: a\x01z\r\n" },
        { "CarriageReturnInValue", ok, "X: a\rz\r\n" },
        { "LineFeedInValue", ok, "X: a\nContent-Length: 1\r\n" },
    };
}

inline std::vector<BrokenAnswer> brokenAnswers()
{
    std::vector<BrokenAnswer> all = answersWithBrokenStatus();
    for (const BrokenAnswer &answer : answersWithBrokenFields())
        all.push_back(answer);
    return all;
}

} // namespace azurewell
