#ifndef POMELOHINGE_DRIVERS_PLATFORM_HTTP_OBJECT_STORE_HPP
#define POMELOHINGE_DRIVERS_PLATFORM_HTTP_OBJECT_STORE_HPP

#include "drivers/http/curl_loop.hpp"
#include "drivers/platform/object_store.hpp"

namespace pomelohinge {

/// Client of the object service over HTTP; docs/PLATFORM.md describes the
/// protocol.
class http_object_store
{
public:
    http_object_store(curl_loop& http, std::string address)
        : http_(http), address_(std::move(address))
    {
    }

    /// Reads an object.
    void get(std::string const& name, std::function<void(get_reply)> done);

    /// Writes an object if its version is `expected_version`. If the answer is
    /// lost, the object is read back, and the write counts as done if the
    /// object has the written value. Different writers must therefore write
    /// different values.
    void put(std::string const& name, std::string value,
        std::uint64_t expected_version, std::function<void(put_reply)> done);

    /// Removes an object if its version is `expected_version`.
    void remove(std::string const& name, std::uint64_t expected_version,
        std::function<void(put_reply)> done);

    /// Waits up to `wait` for changes under `prefix` after the revision `since`
    /// (long poll).
    void watch(std::string const& prefix, std::uint64_t since, duration wait,
        std::function<void(watch_reply)> done);

    /// The latest era that the store has answered in; 0 if it does not tell.
    std::uint64_t era() const { return era_; }

private:
    std::string url_of(std::string const& name) const;
    void read_back(std::string const& name, std::string const& value,
        std::uint64_t expected_version, std::function<void(put_reply)> done);

    curl_loop& http_;
    std::string address_;
    std::uint64_t era_ = 0;
};

static_assert(ObjectStore<http_object_store>);

} // namespace pomelohinge

#endif
