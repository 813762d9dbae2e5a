// Plain servers (filings and look-ups) and the configuration that routes to them.
#pragma once

#include "common.hh"

namespace review {

/// The entry of a plain server as it stands in the store.
inline std::string plainEntry(const std::string &ip, int port, const std::string &zone)
{
    static std::atomic<int> beats{ 0 };
    return "{\"service\":\"ventanilla\",\"address\":\"" + ip + ":" + std::to_string(port)
            + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"warmup-left-ms\":0,\"born\":"
            + std::to_string(wallMillis()) + ",\"sequence\":" + std::to_string(++beats) + "}";
}

inline std::string plainConfiguration()
{
    const auto route = [](const char *name, const char *prefix, const char *kind, int attempts) {
        return std::string("{\"name\":\"") + name + "\",\"host\":\"ficu95.example\",\"prefix\":\""
                + prefix + "\",\"route-type\":\"" + kind
                + "\",\"timeout-ms\":20000,\"target-latency-ms\":300,\"priority\":2,\"service\":"
                  "\"ventanilla\",\"max-attempts\":"
                + std::to_string(attempts) + ",\"public\":false}";
    };
    return "{\"version\":7,\"routes\":[" + route("r-1", "/puxa403/", "non_idempotent", 1) + ","
            + route("r-2", "/cufi504/", "idempotent", 2)
            + "],\"services\":[{\"name\":\"ventanilla\",\"health-path\":\"/healthz\","
              "\"max-connections\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
              "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
              "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api-keys\":["
              "\"i9n73hh2b9wu3fexd9dn\"],\"priority\":1,\"unit\":\"tokens\",\"raw-tokens\":200,"
              "\"rate-per-s\":119769,\"burst\":119769}]}";
}

inline std::string plainRequest(const std::string &method, const std::string &path,
                                const std::string &id, int deadlineMillis,
                                const std::string &body = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMillis)
            + "\r\nX-Key: i9n73hh2b9wu3fexd9dn\r\n"
            + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n")
            + "\r\n" + body;
}

} // namespace review
