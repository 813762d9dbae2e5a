#include "azurewell/calls/call_number.h"

#include "azurewell/routing/rendezvous.h"

#include <array>
#include <charconv>
#include <string_view>

namespace azurewell {

namespace {

constexpr std::size_t checkDigits = 8;
/// Longer than any number that a host issues; longer texts are rejected unparsed.
constexpr std::size_t maxNumberLength = 200;

/// Removes and returns the part of \a text after its last dot; empty if there is no dot.
std::string_view takeLastField(std::string_view &text)
{
    const std::size_t point = text.rfind('.');
    if (point == std::string_view::npos)
        return {};
    const std::string_view last = text.substr(point + 1);
    text = text.substr(0, point);
    return last;
}

template <typename Number>
bool readNumber(std::string_view text, Number &number, int base)
{
    const std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(),
                                                        number, base);
    return !text.empty() && read.ec == std::errc{} && read.ptr == text.data() + text.size();
}

std::string checkText(std::uint32_t check)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(checkDigits, '0');
    for (std::size_t index = checkDigits; index > 0; --index) {
        text[index - 1] = digits[check & 0xf];
        check >>= 4;
    }
    return text;
}

} // namespace

CallNumber formatCallNumber(const CallNumberParts &parts)
{
    return CallNumber{ parts.host.value + '.' + std::to_string(parts.incarnation.value) + '.'
                       + std::to_string(parts.sequence) + '.' + checkText(parts.check) };
}

std::optional<CallNumberParts> parseCallNumber(const CallNumber &number)
{
    if (number.value.size() > maxNumberLength)
        return std::nullopt;
    std::string_view rest = number.value;
    const std::string_view check = takeLastField(rest);
    const std::string_view sequence = takeLastField(rest);
    const std::string_view incarnation = takeLastField(rest);
    CallNumberParts parts;
    const bool isRead = check.size() == checkDigits && readNumber(check, parts.check, 16)
            && readNumber(sequence, parts.sequence, 10)
            && readNumber(incarnation, parts.incarnation.value, 10) && !rest.empty();
    if (!isRead)
        return std::nullopt;
    parts.host = HostId{ std::string(rest) };
    return parts;
}

std::uint32_t checksumOf(std::uint64_t secret, const CustomerId &customer, std::uint64_t sequence)
{
    const std::string mixed = std::to_string(secret) + '/' + std::to_string(sequence);
    return static_cast<std::uint32_t>(rendezvousWeight(mixed, customer.value) >> 32);
}

} // namespace azurewell
