#pragma once

#include "azurewell/standins/standin_server.h"

#include <map>

namespace azurewell::standins {

/// Stand-in for a plain service that files notices or books machine slots, and counts what it ran.
class PlainService : public StandinServer
{
public:
    bool closesWithoutAnswer = false; ///< Runs the call, then closes.
    bool closesAfterHalfAnswer = false;
    int answerMillis = 0; ///< Between the run and the answer.
    std::uint64_t runs = 0;
    std::uint64_t keysSeen = 0;
    std::map<std::string, std::uint64_t>
            runsByBody; ///< A value above 1 is a filing that ran twice.

protected:
    void onRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
};

} // namespace azurewell::standins
