#include "azurewell/gateway/request_digest.h"

#include "azurewell/routing/rendezvous.h"

#include <fmt/format.h>

namespace azurewell::gateway {

RequestDigest digestOf(const CustomerId &customer, const ContentDigest &content)
{
    return RequestDigest{ rendezvousMix(content.value, stableHash(customer.value)) };
}

RequestDigest digestOf(const PromptPartId &part)
{
    static const std::uint64_t kind = stableHash("prompt part");
    return RequestDigest{ rendezvousMix(part.value, kind) };
}

std::string inHex(const RequestDigest &digest)
{
    return fmt::format("{:016x}", digest.value);
}

} // namespace azurewell::gateway
