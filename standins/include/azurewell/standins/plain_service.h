#pragma once

#include "azurewell/standins/standin_server.h"

#include <map>

namespace azurewell::standins {

/// Stand-in for a plain service, such as filing notices or booking machine slots; counts executed
/// calls.
class PlainService : public StandinServer
{
public:
    bool closesWithoutResponse = false; ///< Runs the call, then closes the connection.
    bool closesMidResponse = false;
    int responseDelayMillis = 0; ///< Delay between running the call and responding.
    std::uint64_t runs = 0;
    std::uint64_t requestsWithKey = 0;
    std::map<std::string, std::uint64_t>
            runsByBody; ///< A value above 1 is a call that ran more than once.

protected:
    void onRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
};

} // namespace azurewell::standins
