#ifndef POMELOHINGE_MAIN_CLI_BLOCKING_PLATFORM_HPP
#define POMELOHINGE_MAIN_CLI_BLOCKING_PLATFORM_HPP

#include "config/configuration_text.hpp"
#include "drivers/http/curl_loop.hpp"
#include "drivers/platform/http_object_store.hpp"
#include "drivers/platform/journal_client.hpp"

#include <absl/status/statusor.h>
#include <asio/io_context.hpp>
#include <map>

namespace pomelohinge {

/// The configuration that the platform stores, with its history.
struct stored_configuration
{
    configuration current;
    /// The version of `current`; 0 if nothing is stored.
    std::uint64_t version = 0;
    /// All entries in the order of their versions, which start at 1.
    std::vector<journal_entry> journal;

    /// Returns the configuration as it was at version `at`.
    configuration at_version(std::uint64_t at) const;
};

/// A synchronous client of the platform: each call blocks until it is answered.
class blocking_platform
{
public:
    explicit blocking_platform(std::string address)
        : http_(context_), store_(http_, std::move(address)), platform_(store_)
    {
    }

    /// Reads the whole journal. The error is `DataLoss` if an entry is missing.
    absl::StatusOr<stored_configuration> read();

    /// Appends an entry. The error is `Aborted` if its version already exists.
    absl::Status append(journal_entry const& entry);

    /// Fetches a page over HTTP and returns its body.
    absl::StatusOr<std::string> get(std::string const& url);

private:
    void run();

    asio::io_context context_;
    curl_loop http_;
    http_object_store store_;
    journal_client<http_object_store> platform_;
};

} // namespace pomelohinge

#endif
