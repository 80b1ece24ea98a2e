#ifndef POMELOHINGE_DRIVERS_PLATFORM_HTTP_OBJECT_STORE_HPP
#define POMELOHINGE_DRIVERS_PLATFORM_HTTP_OBJECT_STORE_HPP

#include "drivers/http/curl_loop.hpp"
#include "drivers/platform/object_store.hpp"

namespace pomelohinge {

/// The object service over HTTP, as docs/PLATFORM.md describes it.
class http_object_store
{
public:
    http_object_store(curl_loop& http, std::string address)
        : http_(http), address_(std::move(address))
    {
    }

    void get(std::string const& name, std::function<void(get_reply)> done);

    /// Writes if the object's version is `expected`. After a lost answer
    /// the object is read back: the write has taken effect if its value is
    /// there, so values must differ between writers.
    void put(std::string const& name, std::string value, std::uint64_t expected,
        std::function<void(put_reply)> done);

    /// Removes the object if its version is `expected`.
    void remove(std::string const& name, std::uint64_t expected,
        std::function<void(put_reply)> done);

    /// Waits up to `wait` for changes under `prefix` after `since`.
    void watch(std::string const& prefix, std::uint64_t since, duration wait,
        std::function<void(watch_reply)> done);

private:
    std::string url_of(std::string const& name) const;
    void read_back(std::string const& name, std::string const& value,
        std::uint64_t expected, std::function<void(put_reply)> done);

    curl_loop& http_;
    std::string address_;
};

static_assert(ObjectStore<http_object_store>);

} // namespace pomelohinge

#endif
